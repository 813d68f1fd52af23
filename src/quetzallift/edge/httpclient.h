#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Quetzallift
{
class EventLoop;

// A request to be sent by HttpClient.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string body;
    // Lines of the form "Name: value".
    std::vector<std::string> headers;
    Duration timeout = std::chrono::seconds(1);
    // True if the connection must not be reused for another request.
    bool closeAfter = false;
    // If set, encodes the body again once the connection is established, for a body that states the time that is left. The
    // result is padded with spaces to the size of `body`; it is not used if it is longer.
    std::function<std::string()> encodeBody = {};
};

enum class HttpOutcome {
    // A complete response arrived, regardless of its status.
    Responded,
    Refused,
    Reset,
    TimedOut,
};

// How a request ended.
struct HttpResult {
    HttpOutcome outcome = HttpOutcome::Reset;
    long status = 0;
    std::string body;
    // The value of the ETag header without quotes; empty if there is none.
    std::string etag;
    std::string error;
    // False only if no byte of the request was sent.
    bool sent = true;
};

using TransferId = detail::Id<struct TransferIdTag>;

// Sends HTTP requests over persistent connections with libcurl's multi interface, driven by the reactor of one thread.
class HttpClient
{
public:
    using Completion = std::function<void(HttpResult)>;

    // Connections are made from the given IP address, or from one that the system chooses if it is empty.
    explicit HttpClient(EventLoop &loop, const std::string &localAddress = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends a request. The completion is called once, unless the transfer is cancelled first.
    TransferId send(HttpRequest request, Completion completion);

    // Closes the connection of a transfer that has not ended. Unknown transfers are ignored.
    void cancel(TransferId transfer);

private:
    class Engine;
    std::unique_ptr<Engine> m_engine;
};
}
