#include "quetzallift/edge/responsereader.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace Quetzallift;

namespace
{
constexpr const char *Whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=4\r\n\r\nabc";

// The state after the bytes, which arrive in two pieces, and after the end of the stream.
ResponseReader::State stateAfter(const std::string &bytes, std::size_t division)
{
    ResponseReader reader;
    const ResponseReader::State first = reader.consume(bytes.substr(0, division));
    if (first != ResponseReader::State::Reading) {
        return first;
    }
    const ResponseReader::State second = division < bytes.size() ? reader.consume(bytes.substr(division)) : first;
    return second == ResponseReader::State::Reading ? reader.consumeEnd() : second;
}

void assertInvalid(const std::string &bytes)
{
    for (std::size_t division = 1; division <= bytes.size(); ++division) {
        cr_assert(stateAfter(bytes, division) == ResponseReader::State::Invalid, "divided at %zu: %s", division, bytes.c_str());
    }
}

// Field lines whose names are no tokens (RFC 9110, section 5.6.2).
std::vector<std::string> linesWithInvalidNames()
{
    std::vector<std::string> lines = {
        " X-Odd: 1", "\tX-Odd: 1", "X-Odd : 1", "Content-Length : 1", "Content-Length x: 1", "Transfer-Encoding : chunked", ": 1", "X-Odd"};
    for (int byte = 0; byte < 256; ++byte) {
        const auto c = static_cast<char>(byte);
        const bool isToken = byte > ' ' && byte < 127 && std::string("()<>@,;:\\\"/[]?={}").find(c) == std::string::npos;
        if (!isToken && c != ':' && c != '\r' && c != '\n') {
            lines.push_back("X" + std::string(1, c) + "Odd: 1");
        }
    }
    return lines;
}
}

// Guards against a response that is treated as complete before its last byte.
Test(responsereader, truncatedResponseIsInvalid)
{
    const std::string whole = Whole;
    for (std::size_t length = 0; length < whole.size(); ++length) {
        ResponseReader reader;
        cr_assert(reader.consume(whole.substr(0, length)) == ResponseReader::State::Reading);
        cr_assert(reader.consumeEnd() == ResponseReader::State::Invalid, "cut at %zu bytes", length);
    }
    ResponseReader reader;
    cr_assert(reader.consume(whole) == ResponseReader::State::Complete);
    cr_assert(reader.isPersistent() && reader.keepAliveTimeout() == std::chrono::seconds(4));
    cr_assert(reader.release().body == "abc");
}

// Guards against bytes after a response that are read as the next response on a reused connection.
Test(responsereader, surplusBytesPreventReuse)
{
    ResponseReader reader;
    cr_assert(reader.consume(std::string(Whole) + "HTTP/1.1 200") == ResponseReader::State::Complete);
    cr_assert(reader.hasSurplus() && !reader.isPersistent());
}

// Guards against a response without a length that is lost, or treated as complete before the peer closes the connection.
Test(responsereader, endOfStreamCompletesAResponseWithoutLength)
{
    ResponseReader reader;
    cr_assert(reader.consume("HTTP/1.1 200 OK\r\n\r\nabc") == ResponseReader::State::Reading);
    cr_assert(reader.consumeEnd() == ResponseReader::State::Complete);
    cr_assert(!reader.isPersistent());
    cr_assert(reader.release().body == "abc");
}

// Guards against bytes of another protocol that are accepted as a response.
Test(responsereader, otherProtocolIsInvalid)
{
    ResponseReader reader;
    cr_assert(reader.consume("\x16\x03\x01 not HTTP") == ResponseReader::State::Invalid);
    cr_assert(reader.errorDescription() != nullptr);
}

// Guards against an interim response that is treated as the final one.
Test(responsereader, interimResponsesAreSkipped)
{
    ResponseReader reader;
    cr_assert(reader.consume(std::string("HTTP/1.1 100 Continue\r\n\r\n") + Whole) == ResponseReader::State::Complete);
    cr_assert_eq(reader.release().status, 200U);
}

// Guards against a searcher whose bytes never end and that keeps its attempt or fills the memory of the host.
Test(responsereader, endlessBytesAreInvalid)
{
    const std::string filler(4096, 'x');
    const std::vector<std::pair<std::string, std::string>> endless = {
        {"HTTP/1.1 200 OK\r\n", "X-" + filler + ": " + filler + "\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Long: ", filler},
        {"HTTP/1.1 200 ", filler},
        {"HTTP/1.1 200 OK\r\n\r\n", filler},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-" + filler + ": y\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
    constexpr std::size_t MaximumBytes = std::size_t{16} * 1024 * 1024;
    for (const auto &[head, repeated] : endless) {
        ResponseReader reader;
        reader.consume(head);
        std::size_t bytes = 0;
        ResponseReader::State state = ResponseReader::State::Reading;
        while (state == ResponseReader::State::Reading && bytes < MaximumBytes) {
            state = reader.consume(repeated);
            bytes += repeated.size();
        }
        cr_assert(state == ResponseReader::State::Invalid, "%.30s, then %.30s", head.c_str(), repeated.c_str());
    }
}

// Guards against a status that HTTP does not have and that reaches the client, or that hides the bytes after it.
Test(responsereader, statusesOutsideOfHttpAreInvalid)
{
    for (const char *status : {"000", "0", "00", "001", "020", "099", "99", "101", "600", "999", "1000", "-200", "2 0", "2x0", ""}) {
        const std::string head = std::string("HTTP/1.1 ") + status + " Odd\r\n";
        assertInvalid(head + "Content-Length: 3\r\n\r\nabc");
        assertInvalid(head + "\r\n" + Whole);
        assertInvalid(head + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n" + Whole);
    }
    for (const char *status : {"200", "204", "304", "404", "500", "503", "599"}) {
        ResponseReader reader;
        cr_assert(reader.consume(std::string("HTTP/1.1 ") + status + " Fine\r\nContent-Length: 0\r\n\r\n") == ResponseReader::State::Complete, "%s", status);
        cr_assert_eq(reader.release().status, static_cast<unsigned>(std::stoul(status)));
    }
}

// Guards against a head with a field name that is no token: it reached the client as it was, or framed the body in a way that
// the client does not share.
Test(responsereader, invalidFieldNamesAreInvalid)
{
    for (const std::string &line : linesWithInvalidNames()) {
        assertInvalid("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + line + "\r\n\r\nabc");
        assertInvalid("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc");
        assertInvalid("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + Whole);
        assertInvalid("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + line + "\r\n\r\n");
    }
}

// Guards against control bytes in a field value, which could end the line at the next recipient.
Test(responsereader, controlBytesInFieldValuesAreInvalid)
{
    for (int byte = 0; byte < 128; ++byte) {
        if ((byte < ' ' || byte == 127) && byte != '\t' && byte != '\r' && byte != '\n') {
            assertInvalid("HTTP/1.1 200 OK\r\nX-Odd: a" + std::string(1, static_cast<char>(byte)) + "b\r\nContent-Length: 3\r\n\r\nabc");
        }
    }
}

// Guards against fields after a chunked body that are taken for fields of the head, such as a signature that the head lacks.
Test(responsereader, trailersAreNoHeaders)
{
    ResponseReader reader;
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-Head: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: 2\r\n\r\n";
    cr_assert(reader.consume(bytes) == ResponseReader::State::Complete);
    const UpstreamResponse response = reader.release();
    cr_assert(response.body == "abc" && response.header("X-Head") == "1");
    cr_assert(response.header("X-Trailer").empty());
}

// Guards against bytes after an interim head that are dropped as its body, so that the response behind them is misread.
Test(responsereader, interimResponsesHaveNoBody)
{
    ResponseReader reader;
    cr_assert(reader.consume(std::string("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n") + Whole) == ResponseReader::State::Complete);
    const UpstreamResponse response = reader.release();
    cr_assert(response.status == 200 && response.body == "abc");
}

// Guards against a status that is read as another one, since the parser drops zeros before it: the client got a success.
Test(responsereader, statusesHaveThreeDigits)
{
    for (const char *status : {"0200", "00200", "000200", " 200", "20", "2", "020", "2000"}) {
        const std::string line = std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 0\r\n\r\n";
        assertInvalid(line);
        assertInvalid("HTTP/1.1 100 Continue\r\n\r\n" + line);
    }
    for (const std::string &end : std::vector<std::string>{" OK\r\n", " \r\n", "\r\n"}) {
        const std::string bytes = "HTTP/1.1 100" + end + "\r\nHTTP/1.1 200" + end + "Content-Length: 0\r\n\r\n";
        for (std::size_t division = 1; division <= bytes.size(); ++division) {
            cr_assert(stateAfter(bytes, division) == ResponseReader::State::Complete, "divided at %zu: %s", division, bytes.c_str());
        }
    }
}
