#include "quetzallift/edge/platformhttp.h"

#include "quetzallift/edge/platformcodec.h"
#include "quetzallift/edge/urlencoding.h"
#include "quetzallift/model/error.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Quetzallift
{
namespace
{
constexpr long StatusOk = 200;
constexpr long StatusCreated = 201;
constexpr long StatusNotFound = 404;
constexpr long StatusPreconditionFailed = 412;
// The timeout of a watch's HTTP request is its wait time plus this margin, within which the platform's answer must arrive.
constexpr Duration WatchMargin = std::chrono::seconds(1);

// The path of an object. A name has segments, whose texts callers and requests choose.
std::string encodePath(std::string_view name)
{
    std::string encoded;
    for (std::size_t begin = 0; begin <= name.size();) {
        const std::size_t end = std::min(name.find('/', begin), name.size());
        encoded += (begin == 0 ? "" : "/") + encodeUrlComponent(name.substr(begin, end - begin));
        begin = end + 1;
    }
    return encoded;
}
}

HttpRequest encodePlatformCall(const std::string &address, const PlatformRequest &request)
{
    HttpRequest http;
    http.url = "http://" + address + "/v1/objects/" + encodePath(request.object);
    http.timeout = request.timeout;
    switch (request.verb) {
    case PlatformVerb::Read:
        break;
    case PlatformVerb::Watch: {
        const auto wait = std::chrono::floor<std::chrono::milliseconds>(request.timeout);
        http.url += "?watch=" + std::to_string(request.version) + "&wait_ms=" + std::to_string(wait.count());
        http.timeout += WatchMargin;
        break;
    }
    case PlatformVerb::Create:
        http.method = "PUT";
        http.headers = {"If-None-Match: *"};
        http.body = encodePlatformValue(request.value);
        break;
    case PlatformVerb::Update:
        http.method = "PUT";
        http.headers = {"If-Match: \"" + std::to_string(request.version) + "\""};
        http.body = encodePlatformValue(request.value);
        break;
    case PlatformVerb::ReadHosts:
        http.url = "http://" + address + "/v1/hosts";
        break;
    case PlatformVerb::ReadConfiguration:
    case PlatformVerb::WatchConfiguration:
    case PlatformVerb::ListSearchers:
    case PlatformVerb::WatchSearchers:
    case PlatformVerb::CreateHost:
    case PlatformVerb::UpdateHost:
    case PlatformVerb::DeleteHost:
        throw Error(Step::Watch, address, "the object API of bundles does not store routes, searchers or host entries");
    }
    return http;
}

namespace
{
PlatformOutcome outcomeOf(const HttpResult &result)
{
    if (result.outcome != HttpOutcome::Responded) {
        return result.sent ? PlatformOutcome::Unknown : PlatformOutcome::NotApplied;
    }
    if (result.status == StatusOk || result.status == StatusCreated) {
        return PlatformOutcome::Applied;
    }
    const bool refused = result.status == StatusNotFound || result.status == StatusPreconditionFailed;
    return refused ? PlatformOutcome::NotApplied : PlatformOutcome::Unknown;
}

PlatformReply decodeReply(const PlatformRequest &request, const HttpResult &result)
{
    PlatformReply reply;
    reply.outcome = outcomeOf(result);
    reply.detail = result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error;
    std::from_chars(result.etag.data(), result.etag.data() + result.etag.size(), reply.version);
    if (reply.outcome != PlatformOutcome::Applied) {
        return reply;
    }
    if (request.verb == PlatformVerb::ReadHosts) {
        reply.value = decodeHostList(result.body);
    } else if (request.verb == PlatformVerb::Read || request.verb == PlatformVerb::Watch) {
        reply.value = decodePlatformValue(request.object, result.body);
    }
    return reply;
}
}

PlatformReply decodePlatformReply(const PlatformRequest &request, const HttpResult &result)
{
    try {
        return decodeReply(request, result);
    } catch (const Error &error) {
        PlatformReply reply;
        reply.detail = error.what();
        return reply;
    }
}
}
