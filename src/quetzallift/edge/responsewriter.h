#pragma once

#include "quetzallift/model/clientrequest.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// A response of an HttpServer.
struct HttpServerResponse {
    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;
};

// What follows the response on its connection.
enum class AfterResponse {
    KeepAlive,
    // As KeepAlive, for a client that closes the connection unless it is told.
    KeepAliveHttp10,
    Close,
};

// Returns the bytes of a response to a request with the given method. Headers that frame the message are added.
std::string writeResponse(const HttpServerResponse &response, const std::string &method, AfterResponse after);
}
