#pragma once

#include "quetzallift/edge/httpclient.h"
#include "quetzallift/model/platform.h"

#include <string>

namespace Quetzallift
{
// The HTTP request of a platform call. The address is the platform's "ip:port".
HttpRequest encodePlatformCall(const std::string &address, const PlatformRequest &request);

// The outcome of a platform call by the result of its HTTP request. An invalid response body gives an unknown outcome.
PlatformReply decodePlatformReply(const PlatformRequest &request, const HttpResult &result);
}
