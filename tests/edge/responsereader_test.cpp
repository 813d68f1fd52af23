#include "quetzallift/edge/responsereader.h"

#include <criterion/criterion.h>

#include <string>

using namespace Quetzallift;

namespace
{
constexpr const char *Whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=4\r\n\r\nabc";
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
