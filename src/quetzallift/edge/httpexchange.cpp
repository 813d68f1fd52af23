#include "quetzallift/edge/httpexchange.h"

#include "quetzallift/edge/serverconnection.h"
#include "quetzallift/edge/urlencoding.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Quetzallift
{
namespace
{
// Decodes a name or value of a query string, in which a plus sign stands for a space.
std::string unescapeArgument(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return decodeUrlComponent(spaced);
}
}

HttpExchange::HttpExchange(ServerConnection &connection, HttpServerRequest request, Duration waited, LifetimePtr memory)
    : m_connection(&connection)
    , m_request(std::move(request))
    , m_peer(connection.peer())
    , m_waited(waited)
    , m_memory(std::move(memory))
{ }

const std::string &HttpExchange::method() const
{
    return m_request.method;
}

std::string HttpExchange::path() const
{
    return decodeUrlComponent(std::string_view(m_request.target).substr(0, m_request.target.find('?')));
}

const std::string &HttpExchange::target() const
{
    return m_request.target;
}

const std::string &HttpExchange::body() const
{
    return m_request.body;
}

std::string HttpExchange::takeBody()
{
    return std::move(m_request.body);
}

const LifetimePtr &HttpExchange::memory() const
{
    return m_memory;
}

Duration HttpExchange::waited() const
{
    return m_waited;
}

const std::string &HttpExchange::peer() const
{
    return m_peer;
}

std::string HttpExchange::argument(const std::string &name) const
{
    std::string value;
    const std::size_t mark = m_request.target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(m_request.target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (unescapeArgument(pair.substr(0, equals)) == name) {
            value = unescapeArgument(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    }
    return value;
}

std::string HttpExchange::header(const std::string &name) const
{
    const auto found = std::find_if(m_request.headers.begin(), m_request.headers.end(), [&name](const Header &header) {
        return boost::beast::iequals(header.name, name);
    });
    return found == m_request.headers.end() ? std::string() : found->value;
}

const std::vector<Header> &HttpExchange::headers() const
{
    return m_request.headers;
}

void HttpExchange::respondWith(unsigned status, const std::vector<Header> &headers, std::string body)
{
    if (m_connection == nullptr) {
        return;
    }
    m_response.status = status;
    m_response.body = std::move(body);
    m_response.headers.insert(m_response.headers.end(), headers.begin(), headers.end());
    m_connection->finishExchange();
}

void HttpExchange::respond(unsigned status, std::string body, const std::string &contentType)
{
    respondWith(status, {{"Content-Type", contentType}}, std::move(body));
}

void HttpExchange::drop()
{
    if (m_connection != nullptr) {
        m_dropped = true;
        m_connection->finishExchange();
    }
}

void HttpExchange::addHeader(std::string name, std::string value)
{
    m_response.headers.push_back({std::move(name), std::move(value)});
}

void HttpExchange::setClosedHandler(std::function<void()> handler)
{
    m_closedHandler = std::move(handler);
}

void HttpExchange::reportClosed()
{
    if (const std::function<void()> handler = std::exchange(m_closedHandler, nullptr)) {
        handler();
    }
}

void HttpExchange::detach()
{
    m_connection = nullptr;
    m_closedHandler = nullptr;
}

bool HttpExchange::isDropped() const
{
    return m_dropped;
}

const HttpServerResponse &HttpExchange::response() const
{
    return m_response;
}
}
