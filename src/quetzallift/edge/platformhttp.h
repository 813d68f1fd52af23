#pragma once

#include "quetzallift/edge/httpclient.h"
#include "quetzallift/model/platform.h"

#include <string>

namespace Quetzallift
{
// The HTTP request that carries a platform call. The address is the platform's "ip:port".
HttpRequest encodePlatformCall(const std::string &address, const PlatformRequest &request);

// What the end of that HTTP request says about the call. A reply that cannot be read is an unknown outcome.
PlatformReply decodePlatformReply(const PlatformRequest &request, const HttpResult &result);
}
