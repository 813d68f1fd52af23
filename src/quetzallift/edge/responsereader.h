#pragma once

#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/time.h"

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Quetzallift
{
// A complete HTTP response.
struct UpstreamResponse {
    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;

    // The value of a header, or empty. The name is compared without regard to case.
    std::string_view header(std::string_view name) const;
};

// Parses one HTTP/1.1 response from a byte stream with http_parser.
class ResponseReader
{
public:
    enum class State {
        Reading,
        Complete,
        // The bytes are not an HTTP response, its status or the name of a field is not one of HTTP, or its body is too large.
        Invalid,
    };

    ResponseReader();

    // Starts a new response. If no body is expected, as after HEAD, the response ends with its headers.
    void reset(bool expectsBody);

    // Parses bytes up to the end of the response; see hasSurplus() for bytes after it.
    State consume(std::string_view bytes);

    // Handles the end of the stream, which completes a response without a length.
    State consumeEnd();

    // True if bytes followed the response in the same call of consume().
    bool hasSurplus() const;

    // True if the peer keeps the connection open after this response.
    bool isPersistent() const;

    // The peer's timeout for idle connections, if the Keep-Alive header gives it.
    std::optional<Duration> keepAliveTimeout() const;

    // Why the state is Invalid.
    const char *errorDescription() const;

    // Moves the response out; only valid once it is complete.
    UpstreamResponse release();

private:
    static int onHeaderName(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    State state();
    // Parses bytes up to the end of an interim or final response. Returns how many were read.
    std::size_t parse(std::string_view bytes);
    // Keeps the start of the status line, of which the parser drops zeros before the status.
    void readStatusLine(std::string_view bytes);
    bool hasStatusOfThreeDigits() const;

    // Ends the response as Invalid; to be returned by a callback.
    int fail(const char *problem);

    http_parser m_parser{};
    UpstreamResponse m_response;
    // The number of fields in the head; those after it are trailers.
    std::size_t m_headFields = 0;
    bool m_expectsBody = true;
    bool m_hasHeaderValue = false;
    bool m_complete = false;
    bool m_persistent = false;
    bool m_surplus = false;
    // The status line up to the byte after the status, and whether an interim response has just ended.
    std::string m_statusLine;
    bool m_interimEnded = false;
    unsigned m_interimResponses = 0;
    // Why a callback ended the response; null if none did.
    const char *m_problem = nullptr;
};
}
