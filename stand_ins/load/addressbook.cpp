#include "stand_ins/load/addressbook.h"

#include "quetzallift/edge/eventloop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Load
{
using namespace Quetzallift;

namespace
{
constexpr std::chrono::milliseconds RetryDelay{100};
constexpr std::chrono::seconds AvoidFor{2};
}

AddressBook::AddressBook(EventLoop &loop, HttpClient &client, std::vector<std::string> seeds, std::string query)
    : m_loop(loop)
    , m_client(client)
    , m_seeds(std::move(seeds))
    , m_query(std::move(query))
{ }

void AddressBook::start(std::function<void()> ready)
{
    m_ready = std::move(ready);
    ask(0);
}

const std::string &AddressBook::host(unsigned tryNumber) const
{
    std::vector<const std::string *> order;
    for (const std::string &host : m_hosts) {
        order.push_back(&host);
    }
    std::stable_partition(order.begin(), order.end(), [this](const std::string *host) {
        const auto failed = m_failedAt.find(*host);
        return failed == m_failedAt.end() || Clock::now() - failed->second > AvoidFor;
    });
    return *order[tryNumber % order.size()];
}

std::size_t AddressBook::size() const
{
    return m_hosts.size();
}

void AddressBook::noteFailure(const std::string &host)
{
    m_failedAt[host] = Clock::now();
}

void AddressBook::ask(std::size_t index)
{
    const std::vector<std::string> &known = m_hosts.empty() ? m_seeds : m_hosts;
    HttpRequest request;
    request.url = "http://" + known[index % known.size()] + "/v1/addresses?" + m_query;
    m_client.send(std::move(request), [this, index](const HttpResult &result) {
        take(result, index);
    });
}

void AddressBook::take(const HttpResult &result, std::size_t index)
{
    if (result.outcome != HttpOutcome::Responded || result.status != 200) {
        m_loop.callAt(Clock::now() + RetryDelay, [this, index] {
            ask(index + 1);
        });
        return;
    }
    const nlohmann::json answer = nlohmann::json::parse(result.body);
    std::vector<std::string> hosts;
    for (const nlohmann::json &host : answer.at("hosts")) {
        hosts.push_back(host.at("address"));
    }
    // A host that is stopping may know of no other; the addresses known before are then still the best.
    if (!hosts.empty()) {
        m_hosts = std::move(hosts);
    }
    m_loop.callAt(Clock::now() + std::chrono::milliseconds(answer.value("keep_ms", 1000)), [this] {
        ask(0);
    });
    if (m_ready && !m_hosts.empty()) {
        const std::function<void()> ready = std::move(m_ready);
        m_ready = nullptr;
        ready();
    }
}
}
