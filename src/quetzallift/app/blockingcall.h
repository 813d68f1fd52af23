#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace Quetzallift
{
// The response to a blocking call.
struct CallResponse {
    long status = 0;
    std::string body;
    // The ETag header without its quotes, if there was one.
    std::string etag;
};

// An HTTP request of a command, which may wait for its response.
struct BlockingCall {
    // "ip:port".
    std::string peer;
    std::string path;
    std::string method = "GET";
    std::string body = {};
    // Lines of the form "Name: value".
    std::vector<std::string> headers = {};
    std::chrono::milliseconds timeout{2000};
};

// Sends the request and waits. Throws Error that names the peer if there is no response.
CallResponse call(const BlockingCall &request);
}
