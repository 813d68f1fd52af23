#pragma once

#include "quetzallift/model/clientrequest.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Quetzallift
{
// A request as it was received.
struct HttpServerRequest {
    std::string method;
    // Path and query string as received.
    std::string target;
    // All headers in the order received, without trailers.
    std::vector<Header> headers;
    std::string body;
    // True if the connection may carry another request after the response.
    bool keepAlive = false;
    // True if the client speaks HTTP/1.0, which closes connections unless the response says otherwise.
    bool isHttp10 = false;
};

// Reads one HTTP request from the bytes of a connection, with Boost.Beast's parser. Takes memory only for what was received.
class RequestReader
{
public:
    enum class State {
        Reading,
        Complete,
        // The bytes are not an HTTP request.
        Invalid,
        // The request line, the headers and the framing of a chunked body, or the body itself, exceed the limit.
        HeadTooLarge,
        BodyTooLarge,
    };

    RequestReader(std::size_t headLimit, std::size_t bodyLimit);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    // Reads from the bytes and removes what was read. Bytes after the end of the request are left.
    State consume(std::string &bytes);

    // True if the client waits for an interim response before it sends the body.
    bool expectsContinue() const;

    // Whether any byte of the request was read; empty lines before it do not count.
    bool hasBegun() const;

    // Whether the head is complete.
    bool hasHead() const;

    // An upper bound of the memory that the request takes, with a copy of its headers, in bytes.
    std::size_t memory() const;

    // Why the request is invalid.
    const std::string &errorDescription() const;

    // Returns the request; may be called once, after State::Complete.
    HttpServerRequest release();

private:
    class Parser;

    // Reads from the bytes at the offset, and moves it.
    State parse(const std::string &bytes, std::size_t &offset);
    // Counts bytes of a body that were read, of which some are content.
    void countFraming(std::size_t read, std::size_t content);
    void readHead();

    std::unique_ptr<Parser> m_parser;
    std::size_t m_headLimit;
    // The bytes of the head that were read.
    std::size_t m_headSize = 0;
    // The bytes of the framing of a chunked body, beyond what chunks of ordinary size need.
    std::size_t m_excessFraming = 0;
    HttpServerRequest m_request;
    bool m_headComplete = false;
    bool m_expectsContinue = false;
    std::string m_errorDescription;
};
}
