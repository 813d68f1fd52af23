#pragma once

#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/time.h"

#include <http_parser.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Quetzallift
{
// A whole HTTP response.
struct UpstreamResponse {
    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;

    // The value of a header, compared without case, or empty.
    std::string_view header(std::string_view name) const;
};

// Reads one HTTP/1.1 response from a stream of bytes with http_parser.
class ResponseReader
{
public:
    enum class State {
        Reading,
        Complete,
        // The bytes are no response, or the response is too large.
        Broken,
    };

    ResponseReader();

    // Begins with a new response. Without a body expected, as after HEAD, the response ends with its headers.
    void reset(bool expectsBody);

    // Takes bytes. Those after the end of the response are not taken; see surplus().
    State take(std::string_view bytes);

    // Takes the end of the stream, which completes a response that has no length.
    State takeEnd();

    // True if bytes followed the response.
    bool surplus() const;

    // True if the peer keeps the connection open after this response.
    bool persistent() const;

    // How long the peer keeps the connection open while it is idle, if it said so.
    std::optional<Duration> keepAlive() const;

    // What went wrong, if the state is Broken.
    const char *problem() const;

    // The response; to be taken once it is complete.
    UpstreamResponse release();

private:
    static int onHeaderName(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    State state();

    http_parser m_parser{};
    UpstreamResponse m_response;
    bool m_expectsBody = true;
    bool m_valueSeen = false;
    bool m_complete = false;
    bool m_persistent = false;
    bool m_surplus = false;
};
}
