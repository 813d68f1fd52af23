#include "quetzallift/model/routetable.h"

#include <algorithm>
#include <cctype>

namespace Quetzallift
{
namespace
{
// Host names are compared case-insensitively and without a port.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name;
}
}

void RouteTable::index()
{
    m_byHost.clear();
    for (std::size_t position = 0; position < routes.size(); ++position) {
        m_byHost[normalizedHost(routes[position].host)].push_back(position);
    }
    for (auto &[host, positions] : m_byHost) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(normalizedHost(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t position : found->second) {
        if (path.starts_with(routes[position].pathPrefix)) {
            return &routes[position];
        }
    }
    return nullptr;
}
}
