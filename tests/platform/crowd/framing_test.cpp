#include "tests/platform/crowd/crowd.h"
#include "tests/platform/crowd/entryfixture.h"

#include <criterion/criterion.h>

using namespace Crowd;

namespace
{
constexpr std::size_t Clients = 64;
constexpr std::size_t Sent = std::size_t{4} * 1024 * 1024;
constexpr std::size_t Piece = 65536;

// Sends the start of a request from a crowd, then the same bytes without end, and checks the host.
void sendWithoutEnd(const std::string &start, const std::string &bytes)
{
    EntryFixture entry;
    {
        Connections crowd(entry.clientAddress(), Clients);
        crowd.send(
            [&start](std::size_t) {
                return start;
            },
            Piece);
        crowd.repeat(bytes, Sent);
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}
}

// Guards against a line with the size of a chunk that is kept although it has no end.
Test(framing, chunkExtensionWithoutEnd)
{
    sendWithoutEnd(requestHead("/lookup/x", "Transfer-Encoding: chunked\r\n") + "5;name=", std::string(Piece, 'e'));
}

// Guards against trailers that are kept although they have no end.
Test(framing, trailersWithoutEnd)
{
    sendWithoutEnd(requestHead("/lookup/x", "Transfer-Encoding: chunked\r\n") + "1\r\nb\r\n0\r\n", "trailer: " + std::string(1000, 't') + "\r\n");
}

// Guards against heads of legal size whose many fields take many times their size, held by requests whose body stops short.
Test(framing, headsOfManyFields)
{
    constexpr std::size_t MoreClients = 200;
    std::string fields = "Content-Length: 10\r\n";
    while (fields.size() < HeadLimit - 1000) {
        fields += "a:\r\n";
    }
    EntryFixture entry;
    {
        Connections crowd(entry.clientAddress(), MoreClients);
        crowd.send(
            [&fields](std::size_t) {
                return requestHead("/lookup/x", fields);
            },
            HeadLimit);
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}
