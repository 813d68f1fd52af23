#include "tests/platform/crowd/crowd.h"
#include "tests/platform/crowd/entryfixture.h"

#include <criterion/criterion.h>

#include <list>

using namespace Crowd;

namespace
{
std::string wholeRequest(const std::string &path)
{
    return requestHead(path, "Content-Length: " + std::to_string(BodyLimit) + "\r\n") + std::string(BodyLimit, 'b');
}

void sendRequests(std::size_t clients, const std::string &bytes)
{
    EntryFixture entry;
    {
        Connections crowd(entry.clientAddress(), clients);
        crowd.send(
            [&bytes](std::size_t) {
                return bytes;
            },
            BodyLimit);
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}
}

// Guards against copies of the bodies of requests that wait for a searcher.
Test(served, largeRequestsThatWait)
{
    sendRequests(100, wholeRequest("/stuck/x"));
}

// Guards against a copy of the body for each shard of a scattered request.
Test(served, largeScatteredRequests)
{
    sendRequests(24, wholeRequest("/parts/x"));
}

// Guards against large answers that are held for clients that do not read them.
Test(served, answersThatNobodyReads)
{
    // More at the same time would exceed the memory for responses that are not complete.
    constexpr std::size_t AtOnce = 2;
    constexpr std::size_t Groups = 50;
    EntryFixture entry;
    {
        std::list<Connections> crowd;
        for (std::size_t group = 0; group < Groups; ++group) {
            crowd.emplace_back(entry.clientAddress(), AtOnce)
                .send(
                    [](std::size_t) {
                        return requestHead("/large/x", "Content-Length: 0\r\n");
                    },
                    BodyLimit);
            entry.settle();
        }
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}

// Guards against a process that ends as a client resets its connection after it has sent much behind a request that waits.
Test(served, resetsBehindRequestsThatWait)
{
    constexpr std::size_t Clients = 16;
    EntryFixture entry;
    {
        Connections crowd(entry.clientAddress(), Clients);
        crowd.send(
            [](std::size_t) {
                return requestHead("/stuck/x", "Content-Length: 0\r\n") + std::string(BodyLimit, 'p');
            },
            BodyLimit);
        entry.settle();
        crowd.reset();
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}

// Guards against a process that ends, or takes a new connection for an old one, after clients have closed their side while a
// large answer was being sent.
Test(served, clientsThatCloseTheirSideEarly)
{
    constexpr std::size_t Clients = 2;
    constexpr std::size_t Rounds = 4;
    EntryFixture entry;
    for (std::size_t round = 0; round < Rounds; ++round) {
        Connections crowd(entry.clientAddress(), Clients);
        crowd.send(
            [](std::size_t) {
                return requestHead("/large/x", "Content-Length: 0\r\n");
            },
            BodyLimit);
        entry.settle();
        crowd.finish();
        entry.checkHealthy();
    }
    entry.checkLargestRequest();
}
