#include "quetzallift/edge/httpexchange.h"

#include "quetzallift/edge/socketaddress.h"

#include <microhttpd.h>

#include <utility>

namespace Quetzallift
{
namespace
{
MHD_Result collectArgument(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &arguments = *static_cast<std::map<std::string, std::string> *>(context);
    arguments[name] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &headers = *static_cast<std::vector<Header> *>(context);
    headers.push_back({name, value != nullptr ? value : ""});
    return MHD_YES;
}
}

HttpExchange::HttpExchange(MHD_Connection *connection, std::string target, Duration waited)
    : m_connection(connection)
    , m_target(std::move(target))
    , m_waited(waited)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info != nullptr) {
        m_peer = formatAddress(*info->client_addr);
    }
}

void HttpExchange::start(const char *method, const char *path)
{
    m_started = true;
    m_method = method;
    m_path = path;
    MHD_get_connection_values(m_connection, MHD_GET_ARGUMENT_KIND, &collectArgument, &m_arguments);
}

const std::string &HttpExchange::method() const
{
    return m_method;
}

const std::string &HttpExchange::path() const
{
    return m_path;
}

const std::string &HttpExchange::target() const
{
    return m_target;
}

const std::string &HttpExchange::body() const
{
    return m_body;
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
    const auto found = m_arguments.find(name);
    return found == m_arguments.end() ? std::string() : found->second;
}

std::string HttpExchange::header(const std::string &name) const
{
    if (m_connection == nullptr) {
        return {};
    }
    const char *value = MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name.c_str());
    return value != nullptr ? value : "";
}

std::vector<Header> HttpExchange::headers() const
{
    std::vector<Header> headers;
    if (m_connection != nullptr) {
        MHD_get_connection_values(m_connection, MHD_HEADER_KIND, &collectHeader, &headers);
    }
    return headers;
}

void HttpExchange::respondWith(unsigned status, const std::vector<Header> &headers, std::string body)
{
    if (m_responded || m_connection == nullptr) {
        return;
    }
    m_responded = true;
    m_status = status;
    m_response = std::move(body);
    m_headers.insert(m_headers.end(), headers.begin(), headers.end());
    resume();
}

void HttpExchange::respond(unsigned status, std::string body, const std::string &contentType)
{
    respondWith(status, {{"Content-Type", contentType}}, std::move(body));
}

void HttpExchange::drop()
{
    if (m_responded || m_connection == nullptr) {
        return;
    }
    m_responded = true;
    m_dropped = true;
    resume();
}

void HttpExchange::resume()
{
    if (m_suspended.is_linked()) {
        m_suspended.unlink();
        m_resumeConnection();
    }
}

void HttpExchange::addHeader(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

void HttpExchange::setClosedHandler(std::function<void()> handler)
{
    m_closedHandler = std::move(handler);
}
}
