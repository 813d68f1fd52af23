#include "tests/platform/crowd/entryfixture.h"

#include <criterion/criterion.h>

using namespace Crowd;

namespace
{
std::string chunks(std::size_t size)
{
    char head[32];
    snprintf(head, sizeof(head), "%zx\r\n", size);
    std::string all;
    for (std::size_t sent = 0; sent < BodyLimit; sent += size) {
        all += head + std::string(size, 'c') + "\r\n";
    }
    return all + "0\r\n\r\n";
}

void expectServed(const std::string &answer)
{
    cr_expect(answer.ends_with("body of " + std::to_string(BodyLimit) + " bytes\n"), "the answer is %s", answer.substr(0, 200).c_str());
}
}

// Guards against limits that refuse a single request of the largest legal size.
Test(singlerequest, withALength)
{
    EntryFixture entry;
    entry.checkLargestRequest();
}

// Guards against limits that refuse a chunked request of the largest legal size.
Test(singlerequest, inLargeChunks)
{
    EntryFixture entry;
    expectServed(sendPieces(entry.clientAddress(), {requestHead("/lookup/x", "Transfer-Encoding: chunked\r\n"), chunks(65536)}));
}

// Guards against limits that count the framing of tiny chunks as part of the body.
Test(singlerequest, inChunksOfOneByte)
{
    EntryFixture entry;
    expectServed(sendPieces(entry.clientAddress(), {requestHead("/lookup/x", "Transfer-Encoding: chunked\r\n"), chunks(1)}));
}

// Guards against a body that is refused or lost if its client waits to be asked for it.
Test(singlerequest, afterContinue)
{
    EntryFixture entry;
    const std::string head = requestHead("/lookup/x", "Expect: 100-continue\r\nContent-Length: " + std::to_string(BodyLimit) + "\r\n");
    expectServed(sendPieces(entry.clientAddress(), {head, std::string(BodyLimit, 'b')}));
}

// Guards against a limit on time that ends the body of a slow client.
Test(singlerequest, slowly)
{
    constexpr std::size_t Pieces = 16;
    EntryFixture entry;
    std::vector<std::string> pieces = {requestHead("/lookup/x", "Content-Length: " + std::to_string(BodyLimit) + "\r\n")};
    pieces.resize(1 + Pieces, std::string(BodyLimit / Pieces, 'b'));
    expectServed(sendPieces(entry.clientAddress(), pieces, std::chrono::milliseconds(200)));
}
