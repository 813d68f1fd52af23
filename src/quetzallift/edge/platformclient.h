#pragma once

#include "quetzallift/control/effects.h"
#include "quetzallift/edge/httpclient.h"
#include "quetzallift/edge/platformhttp.h"

#include <functional>
#include <string>

namespace Quetzallift
{
class EventLoop;

// How calls are written for a platform and its replies read. The default is the project's own object API.
struct PlatformCodec {
    std::function<HttpRequest(const std::string &address, const PlatformRequest &request)> encode = encodePlatformCall;
    std::function<PlatformReply(const PlatformRequest &request, const HttpResult &result)> decode = decodePlatformReply;
};

// Carries out CallPlatform and turns each result into one PlatformReplied event.
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
