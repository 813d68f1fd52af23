#include "quetzallift/edge/responsewriter.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <string_view>

namespace Quetzallift
{
namespace
{
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

bool hasHeader(const std::vector<Header> &headers, const char *name)
{
    return std::any_of(headers.begin(), headers.end(), [name](const Header &header) {
        return boost::beast::iequals(header.name, name);
    });
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

// The time of day in the format of RFC 9110, section 5.6.7. The names do not depend on the locale, which is never set.
std::string httpDate()
{
    const std::time_t now = std::time(nullptr);
    std::tm fields{};
    gmtime_r(&now, &fields);
    std::array<char, 64> text{};
    return {text.data(), std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &fields)};
}
}

std::string writeResponse(const HttpServerResponse &response, const std::string &method, AfterResponse after)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    if (!hasHeader(response.headers, "Date")) {
        appendHeader(text, "Date", httpDate());
    }
    for (const Header &header : response.headers) {
        appendHeader(text, header.name, header.value);
    }
    if (after == AfterResponse::Close && !hasHeader(response.headers, "Connection")) {
        appendHeader(text, "Connection", "close");
    } else if (after == AfterResponse::KeepAliveHttp10) {
        appendHeader(text, "Connection", "keep-alive");
    }
    const bool mayHaveBody = response.status != StatusNoContent && response.status != StatusNotModified;
    if (mayHaveBody) {
        appendHeader(text, "Content-Length", std::to_string(response.body.size()));
    }
    text.append("\r\n");
    if (mayHaveBody && method != "HEAD") {
        text.append(response.body);
    }
    return text;
}
}
