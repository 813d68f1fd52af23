#include "quetzallift/edge/responsereader.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace Quetzallift
{
namespace
{
// A part of an answer is a few kilobytes; only a faulty peer sends a larger body.
constexpr std::size_t MaximumBodySize = std::size_t{8} * 1024 * 1024;
// The version, a blank, three digits, and the byte after them.
constexpr std::size_t StatusLineStart = 13;
constexpr unsigned FirstStatus = 100;
// The peer leaves HTTP after this response, which no request asks for.
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
// Interim responses beyond this number come from a faulty peer, which may send them without end.
constexpr unsigned MaximumInterimResponses = 8;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isStatus(unsigned status)
{
    return status >= FirstStatus && status <= LastStatus && status != StatusSwitchingProtocols;
}

// True if a text is a token (RFC 9110, section 5.6.2). http_parser accepts blanks in the names of fields.
bool isToken(const std::string &text)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [Symbols](char c) {
        const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
        return isAlphanumeric || Symbols.find(c) != std::string_view::npos;
    });
}

bool haveValidNames(const std::vector<Header> &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const Header &header) {
        return isToken(header.name);
    });
}
}

std::string_view UpstreamResponse::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return equalsIgnoringCase(header.name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

ResponseReader::ResponseReader()
{
    reset(true);
}

void ResponseReader::reset(bool expectsBody)
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_response = {};
    m_expectsBody = expectsBody;
    m_hasHeaderValue = false;
    m_complete = false;
    m_persistent = false;
    m_surplus = false;
    m_interimResponses = 0;
    m_interimEnded = false;
    m_statusLine.clear();
    m_problem = nullptr;
}

ResponseReader::State ResponseReader::state()
{
    if (m_complete) {
        return State::Complete;
    }
    return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK ? State::Reading : State::Invalid;
}

ResponseReader::State ResponseReader::consume(std::string_view bytes)
{
    std::size_t taken = 0;
    do {
        m_interimEnded = false;
        taken += parse(bytes.substr(taken));
    } while (m_interimEnded && taken < bytes.size());
    if (m_complete) {
        m_surplus = taken < bytes.size();
    }
    return state();
}

std::size_t ResponseReader::parse(std::string_view bytes)
{
    static const http_parser_settings Settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = &ResponseReader::onHeaderName;
        settings.on_header_value = &ResponseReader::onHeaderValue;
        settings.on_headers_complete = &ResponseReader::onHeadersComplete;
        settings.on_body = &ResponseReader::onBody;
        settings.on_message_complete = &ResponseReader::onMessageComplete;
        return settings;
    }();
    readStatusLine(bytes);
    const std::size_t taken = http_parser_execute(&m_parser, &Settings, bytes.data(), bytes.size());
    if (m_interimEnded) {
        constexpr int Continue = 0;
        http_parser_pause(&m_parser, Continue);
        m_statusLine.clear();
    }
    return taken;
}

void ResponseReader::readStatusLine(std::string_view bytes)
{
    // The parser skips empty lines before a response.
    const std::size_t begin = m_statusLine.empty() ? std::min(bytes.find_first_not_of("\r\n"), bytes.size()) : 0;
    m_statusLine.append(bytes.substr(begin, StatusLineStart - std::min(StatusLineStart, m_statusLine.size())));
}

bool ResponseReader::hasStatusOfThreeDigits() const
{
    constexpr std::string_view Version = "HTTP/1.1";
    constexpr std::size_t Digits = 3;
    const std::size_t first = Version.size() + 1;
    return m_statusLine.size() == StatusLineStart && m_statusLine[Version.size()] == ' '
           && std::all_of(m_statusLine.begin() + first,
                          m_statusLine.begin() + first + Digits,
                          [](char c) {
                              return c >= '0' && c <= '9';
                          })
           && std::string_view(" \r\n").find(m_statusLine.back()) != std::string_view::npos;
}

ResponseReader::State ResponseReader::consumeEnd()
{
    const State result = consume({});
    // http_parser reports no error if the stream ends before the first byte of a response.
    return result == State::Reading ? State::Invalid : result;
}

bool ResponseReader::hasSurplus() const
{
    return m_surplus;
}

bool ResponseReader::isPersistent() const
{
    return m_persistent && !m_surplus;
}

std::optional<Duration> ResponseReader::keepAliveTimeout() const
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string_view value = m_response.header("Keep-Alive");
    const std::size_t at = value.find(Parameter);
    unsigned seconds = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const char *begin = value.data() + at + Parameter.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

const char *ResponseReader::errorDescription() const
{
    return m_problem != nullptr ? m_problem : http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
}

int ResponseReader::fail(const char *problem)
{
    m_problem = problem;
    return -1;
}

UpstreamResponse ResponseReader::release()
{
    return std::move(m_response);
}

int ResponseReader::onHeaderName(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<ResponseReader *>(parser->data);
    if (self.m_response.headers.empty() || self.m_hasHeaderValue) {
        self.m_response.headers.emplace_back();
        self.m_hasHeaderValue = false;
    }
    self.m_response.headers.back().name.append(data, size);
    return 0;
}

int ResponseReader::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<ResponseReader *>(parser->data);
    self.m_hasHeaderValue = true;
    if (!self.m_response.headers.empty()) {
        self.m_response.headers.back().value.append(data, size);
    }
    return 0;
}

int ResponseReader::onHeadersComplete(http_parser *parser)
{
    auto &self = *static_cast<ResponseReader *>(parser->data);
    if (!self.hasStatusOfThreeDigits() || !isStatus(parser->status_code)) {
        return self.fail("the status is not one of HTTP");
    }
    if (!haveValidNames(self.m_response.headers)) {
        return self.fail("the name of a header field is not a token");
    }
    self.m_headFields = self.m_response.headers.size();
    constexpr int SkipBody = 1;
    const bool isInterim = parser->status_code < FirstFinalStatus;
    return self.m_expectsBody && !isInterim ? 0 : SkipBody;
}

int ResponseReader::onBody(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<ResponseReader *>(parser->data);
    if (self.m_response.body.size() + size > MaximumBodySize) {
        return self.fail("the body is too large");
    }
    self.m_response.body.append(data, size);
    return 0;
}

int ResponseReader::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<ResponseReader *>(parser->data);
    if (parser->status_code < FirstFinalStatus) {
        // An interim response; the final one follows.
        self.m_response = {};
        self.m_hasHeaderValue = false;
        if (++self.m_interimResponses > MaximumInterimResponses) {
            return self.fail("too many interim responses");
        }
        self.m_interimEnded = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    if (!haveValidNames(self.m_response.headers)) {
        return self.fail("the name of a trailer field is not a token");
    }
    self.m_response.headers.resize(self.m_headFields);
    self.m_complete = true;
    self.m_persistent = http_should_keep_alive(parser) != 0;
    self.m_response.status = parser->status_code;
    http_parser_pause(parser, 1);
    return 0;
}
}
