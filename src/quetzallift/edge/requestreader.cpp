#include "quetzallift/edge/requestreader.h"

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <utility>

namespace Quetzallift
{
namespace
{
namespace Http = boost::beast::http;

constexpr unsigned VersionHttp10 = 10;
// The last chunk of a body and the empty line after it: what is left of a chunked body is never shorter.
constexpr std::size_t LastChunkSize = 5;
// The bytes of framing that a chunk may have without being counted as excess: its size, its line ends and a short extension.
constexpr std::size_t OrdinaryFraming = 16;
// The memory of a header field beside its bytes: that of the parser, of the request and of the request that is passed on.
constexpr std::size_t FieldOverhead = 256;
constexpr std::size_t CopiesOfHead = 3;

// Some clients send an empty line after the body of their previous request (RFC 9112, section 2.2).
std::size_t sizeOfEmptyLines(const std::string &bytes)
{
    return std::min(bytes.find_first_not_of("\r\n"), bytes.size());
}

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}
}

namespace
{
// A body for Boost.Beast's parser that takes memory as bytes arrive. The library's own takes it for the announced length.
struct ReceivedBody {
    class Reader
    {
    public:
        template<bool isRequest, typename Fields>
        Reader(Http::header<isRequest, Fields> &, std::string &body)
            : m_body(body)
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            m_length = length.value_or(0);
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            const std::size_t size = boost::beast::buffer_bytes(buffers);
            const std::size_t needed = m_body.size() + size;
            if (needed > m_body.capacity() && needed <= m_length) {
                m_body.reserve(std::min(static_cast<std::size_t>(m_length), std::max(needed, 2 * m_body.capacity())));
            }
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            error = {};
            return size;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        std::string &m_body;
        // Zero if the length is not known.
        std::uint64_t m_length = 0;
    };

    // The names that the library expects.
    using value_type = std::string;
    using reader = Reader;
};
}

class RequestReader::Parser : public Http::request_parser<ReceivedBody>
{
};

RequestReader::RequestReader(std::size_t headLimit, std::size_t bodyLimit)
    : m_parser(std::make_unique<Parser>())
    , m_headLimit(headLimit)
{
    // The parser's own limit on headers is not exact.
    m_parser->header_limit(UINT32_MAX);
    m_parser->body_limit(bodyLimit);
}

RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::consume(std::string &bytes)
{
    std::size_t offset = m_parser->got_some() ? 0 : sizeOfEmptyLines(bytes);
    State state = parse(bytes, offset);
    bytes.erase(0, offset);
    // The line of a chunk's size and the trailers are left unread until they are complete, and so are the last few bytes.
    if (state == State::Reading && m_headComplete && m_excessFraming + bytes.size() > m_headLimit + LastChunkSize) {
        state = State::HeadTooLarge;
    }
    return state;
}

RequestReader::State RequestReader::parse(const std::string &bytes, std::size_t &offset)
{
    while (offset < bytes.size()) {
        const std::size_t left = bytes.size() - offset;
        if (m_headComplete && m_parser->chunked() && left < LastChunkSize) {
            // The parser does not expect to be called again with less after it has read the size of the last chunk.
            return State::Reading;
        }
        boost::beast::error_code error;
        const std::size_t bodySize = m_parser->get().body().size();
        const std::size_t read = m_parser->put(boost::asio::buffer(bytes.data() + offset, left), error);
        offset += read;
        if (m_headComplete) {
            countFraming(read, m_parser->get().body().size() - bodySize);
        } else {
            m_headSize += read;
            const std::size_t unread = m_parser->is_header_done() ? 0 : bytes.size() - offset;
            if (m_headSize + unread > m_headLimit) {
                return State::HeadTooLarge;
            }
        }
        if (m_excessFraming > m_headLimit) {
            return State::HeadTooLarge;
        }
        if (error == Http::error::need_more) {
            return State::Reading;
        }
        if (error) {
            m_errorDescription = error.message();
            return error == Http::error::body_limit ? State::BodyTooLarge : State::Invalid;
        }
        if (m_parser->is_header_done() && !m_headComplete) {
            readHead();
        }
        if (!m_errorDescription.empty()) {
            return State::Invalid;
        }
        if (m_parser->is_done()) {
            m_request.body = std::move(m_parser->get().body());
            return State::Complete;
        }
    }
    return State::Reading;
}

void RequestReader::countFraming(std::size_t read, std::size_t content)
{
    m_excessFraming += read - content;
    if (content > 0) {
        m_excessFraming -= std::min(m_excessFraming, OrdinaryFraming);
    }
}

// Called before the parser reads trailers, which it would add to the headers.
void RequestReader::readHead()
{
    m_headComplete = true;
    const auto &message = m_parser->get();
    m_request.method = toString(message.method_string());
    m_request.target = toString(message.target());
    m_request.keepAlive = message.keep_alive();
    m_request.isHttp10 = message.version() == VersionHttp10;
    for (const auto &field : message) {
        m_request.headers.push_back({toString(field.name_string()), toString(field.value())});
    }
    if (message.count(Http::field::transfer_encoding) > 0 && !m_parser->chunked()) {
        // The end of the body is unknown, so that its bytes could be taken for another request.
        m_errorDescription = "the transfer encoding is not supported";
    }
    m_expectsContinue = !m_request.isHttp10 && boost::beast::iequals(message[Http::field::expect], "100-continue");
}

bool RequestReader::expectsContinue() const
{
    return m_expectsContinue;
}

bool RequestReader::hasBegun() const
{
    return m_parser->got_some();
}

bool RequestReader::hasHead() const
{
    return m_headComplete;
}

std::size_t RequestReader::memory() const
{
    const std::size_t bodySize = m_request.body.empty() ? m_parser->get().body().capacity() : m_request.body.capacity();
    return CopiesOfHead * m_headSize + FieldOverhead * m_request.headers.size() + bodySize;
}

const std::string &RequestReader::errorDescription() const
{
    return m_errorDescription;
}

HttpServerRequest RequestReader::release()
{
    return std::move(m_request);
}
}
