#pragma once

#include "quetzallift/edge/httpclient.h"
#include "quetzallift/model/platform.h"

#include <string>

namespace Quetzallift
{
// The HTTP request of a platform call. The address is the platform's "ip:port".
HttpRequest encodePlatformCall(const std::string &address, const PlatformRequest &request);

// Reads the reply to a platform call from the result of its HTTP request. If the response body is invalid, the outcome is
// Unknown.
PlatformReply decodePlatformReply(const PlatformRequest &request, const HttpResult &result);
}
