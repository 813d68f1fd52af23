#include "quetzallift/edge/responsereader.h"

#include <criterion/criterion.h>

#include <string>

using namespace Quetzallift;

namespace
{
constexpr const char *Whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=4\r\n\r\nabc";
}

// Guards against a response that is taken as whole before its last byte.
Test(responsereader, everyCutIsIncomplete)
{
    const std::string whole = Whole;
    for (std::size_t length = 0; length < whole.size(); ++length) {
        ResponseReader reader;
        cr_assert(reader.take(whole.substr(0, length)) == ResponseReader::State::Reading);
        cr_assert(reader.takeEnd() == ResponseReader::State::Broken, "cut at %zu bytes", length);
    }
    ResponseReader reader;
    cr_assert(reader.take(whole) == ResponseReader::State::Complete);
    cr_assert(reader.persistent() && reader.keepAlive() == std::chrono::seconds(4));
    cr_assert(reader.release().body == "abc");
}

// Guards against bytes behind a response that are taken for the next one on a connection that is used again.
Test(responsereader, surplusEndsTheConnection)
{
    ResponseReader reader;
    cr_assert(reader.take(std::string(Whole) + "HTTP/1.1 200") == ResponseReader::State::Complete);
    cr_assert(reader.surplus() && !reader.persistent());
}

// Guards against a response without a length that is lost, or taken as whole before the peer closed.
Test(responsereader, endOfStreamCompletesAnUnframedResponse)
{
    ResponseReader reader;
    cr_assert(reader.take("HTTP/1.1 200 OK\r\n\r\nabc") == ResponseReader::State::Reading);
    cr_assert(reader.takeEnd() == ResponseReader::State::Complete);
    cr_assert(!reader.persistent());
    cr_assert(reader.release().body == "abc");
}

// Guards against a peer that speaks another protocol.
Test(responsereader, otherBytesAreBroken)
{
    ResponseReader reader;
    cr_assert(reader.take("\x16\x03\x01 not HTTP") == ResponseReader::State::Broken);
    cr_assert(reader.problem() != nullptr);
}

// Guards against an interim response that is taken as the answer.
Test(responsereader, interimResponsesArePassedOver)
{
    ResponseReader reader;
    cr_assert(reader.take(std::string("HTTP/1.1 100 Continue\r\n\r\n") + Whole) == ResponseReader::State::Complete);
    cr_assert_eq(reader.release().status, 200U);
}
