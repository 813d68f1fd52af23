#include "tests/platform/crowd/crowd.h"
#include "tests/platform/crowd/entryfixture.h"

#include <criterion/criterion.h>

using namespace Crowd;

namespace
{
constexpr std::size_t Clients = 200;
constexpr std::size_t SmallPiece = 4096;
constexpr std::size_t LargeChunk = 65536;
constexpr std::size_t TinyChunk = 8;

std::string contentLength(std::size_t size)
{
    return "Content-Length: " + std::to_string(size) + "\r\n";
}

std::string chunk(std::size_t size)
{
    char head[32];
    snprintf(head, sizeof(head), "%zx\r\n", size);
    return head + std::string(size, 'c') + "\r\n";
}

std::string chunks(std::size_t size, std::size_t total)
{
    std::string all;
    for (std::size_t sent = 0; sent < total; sent += size) {
        all += chunk(size);
    }
    return all;
}

std::string chunkedHead()
{
    return requestHead("/lookup/x", "Transfer-Encoding: chunked\r\n");
}

// Sends the same bytes from a crowd and checks the host while it stays, and after it has left.
void sendFromCrowd(std::size_t clients, const std::string &bytes, std::size_t pieceSize)
{
    EntryFixture entry;
    {
        Connections crowd(entry.clientAddress(), clients);
        crowd.send(
            [&bytes](std::size_t) {
                return bytes;
            },
            pieceSize);
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}
}

// Guards against a process that runs out of memory as many clients each send a body of legal size but for its last byte.
Test(bodies, wholeAndOneByteShort)
{
    sendFromCrowd(Clients, requestHead("/lookup/x", contentLength(BodyLimit)) + std::string(BodyLimit - 1, 'b'), BodyLimit);
}

// Guards against the same from clients that send small pieces by turns.
Test(bodies, inPiecesAndOneByteShort)
{
    sendFromCrowd(Clients, requestHead("/lookup/x", contentLength(BodyLimit)) + std::string(BodyLimit - 1, 'b'), SmallPiece);
}

// Guards against the same from clients that send large chunks and never the last one.
Test(bodies, largeChunksWithoutTheLast)
{
    sendFromCrowd(Clients, chunkedHead() + chunks(LargeChunk, BodyLimit), BodyLimit);
}

// Guards against the same from clients that send tiny chunks and never the last one.
Test(bodies, tinyChunksWithoutTheLast)
{
    sendFromCrowd(Clients, chunkedHead() + chunks(TinyChunk, BodyLimit), BodyLimit);
}

// Guards against bodies that are held although they exceed the limit of the configuration.
Test(bodies, beyondTheConfiguredLimit)
{
    constexpr std::size_t LowLimit = 16384;
    EntryFixture::Options options;
    options.limits["body-bytes"] = LowLimit;
    EntryFixture entry(options);
    Connections crowd(entry.clientAddress(), Clients);
    const std::string body(BodyLimit - 1, 'b');
    crowd.send(
        [&body](std::size_t number) {
            return number % 2 == 0 ? requestHead("/lookup/x", contentLength(BodyLimit)) + body : chunkedHead() + chunk(body.size());
        },
        BodyLimit);
    entry.checkHealthy();
}

// Guards against memory or descriptors that are held for bodies without end, announced or just sent.
Test(bodies, withoutEnd)
{
    constexpr std::size_t Sent = 8 * BodyLimit;
    EntryFixture entry;
    Connections announced(entry.clientAddress(), Clients / 4);
    Connections justSent(entry.clientAddress(), Clients / 4);
    announced.send(
        [](std::size_t) {
            return requestHead("/lookup/x", "Content-Length: 1000000000000\r\n");
        },
        SmallPiece);
    justSent.send(
        [](std::size_t) {
            return chunkedHead();
        },
        SmallPiece);
    announced.repeat(std::string(LargeChunk, 'b'), Sent);
    justSent.repeat(chunk(LargeChunk), Sent);
    entry.checkHealthy();
}
