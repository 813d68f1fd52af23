#pragma once

#include "quetzallift/control/effects.h"
#include "quetzallift/edge/httpclient.h"
#include "quetzallift/edge/platformhttp.h"

#include <functional>
#include <string>

namespace Quetzallift
{
class EventLoop;

// The encoding of platform calls and their replies. The default is this project's own object API.
struct PlatformCodec {
    std::function<HttpRequest(const std::string &address, const PlatformRequest &request)> encode = encodePlatformCall;
    std::function<PlatformReply(const PlatformRequest &request, const HttpResult &result)> decode = decodePlatformReply;
};

// Executes CallPlatform and dispatches each result as one PlatformReplied event.
class PlatformClient
{
public:
    // The address is "ip:port".
    PlatformClient(EventLoop &loop, std::string address, PlatformCodec codec = {});

    void call(const CallPlatform &effect);

private:
    EventLoop &m_loop;
    std::string m_address;
    PlatformCodec m_codec;
    HttpClient m_http;
};
}
