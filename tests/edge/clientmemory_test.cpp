#include "quetzallift/edge/clientmemory.h"

#include <criterion/criterion.h>

#include <list>
#include <vector>

using namespace Quetzallift;

namespace
{
constexpr std::size_t Limit = 1000000;
constexpr std::size_t Large = 100000;
constexpr std::size_t Ordinary = 1000;
// Large requests may take three quarters of the limit.
constexpr std::size_t LargeRequests = 7;

// Charges that are released when they are reclaimed.
struct Holders {
    ClientMemoryPtr memory = ClientMemoryPtr(new ClientMemory(Limit));
    std::list<ClientMemory::Charge> charges;
    std::vector<const ClientMemory::Charge *> reclaimed;

    // Adds a holder, whose bytes others may reclaim. Returns null if there is no room.
    ClientMemory::Charge *add(std::size_t bytes)
    {
        ClientMemory::Charge &charge = charges.emplace_back(memory);
        charge.setReclaim([this, &charge] {
            reclaimed.push_back(&charge);
            charge.resize(0);
        });
        return charge.resize(bytes) ? &charge : nullptr;
    }

    // Adds holders whose bytes are protected until the next one has no room.
    void fill(std::size_t bytes)
    {
        while (add(bytes) != nullptr) {
            charges.back().setReclaim(nullptr);
        }
    }
};
}

// Guards against memory that grows with the number of requests, and against new requests that are refused for old ones that do
// not move.
Test(clientmemory, takesFromTheOldestLargeRequest)
{
    Holders holders;
    const ClientMemory::Charge *ordinary = holders.add(Ordinary);
    const ClientMemory::Charge *first = holders.add(Large);
    for (std::size_t number = 1; number < LargeRequests; ++number) {
        cr_assert_not_null(holders.add(Large));
    }
    cr_assert(holders.reclaimed.empty());
    cr_assert_not_null(holders.add(Large));
    cr_assert(holders.reclaimed == std::vector<const ClientMemory::Charge *>{first});
    cr_assert_eq(ordinary->bytes(), Ordinary);
    cr_assert_leq(holders.memory->bytes(), Limit);
}

// Guards against ordinary requests that are refused since large ones hold all memory.
Test(clientmemory, keepsRoomForOrdinaryRequests)
{
    Holders holders;
    holders.fill(Large);
    cr_assert_null(holders.add(Large));
    cr_assert_not_null(holders.add(Ordinary));
}

// Guards against ordinary requests that are given up for a large one.
Test(clientmemory, largeRequestsTakeNothingFromOrdinaryOnes)
{
    Holders holders;
    while (holders.reclaimed.empty()) {
        cr_assert_not_null(holders.add(Ordinary));
    }
    holders.reclaimed.clear();
    cr_assert_null(holders.add(Large));
    cr_assert(holders.reclaimed.empty());
}

// Guards against the oldest request that grows at the cost of all others.
Test(clientmemory, theOldestLargeRequestDoesNotGrow)
{
    Holders holders;
    ClientMemory::Charge *first = holders.add(Large);
    for (std::size_t number = 1; number < LargeRequests; ++number) {
        holders.add(Large);
    }
    cr_assert_not(first->resize(2 * Large));
    cr_assert_eq(first->bytes(), Large);
    cr_assert(holders.reclaimed.empty());
}

// Guards against bytes that are no longer counted although a request still holds them, or for ever.
Test(clientmemory, sharedBytesAreChargedUntilTheLastReference)
{
    const ClientMemoryPtr memory(new ClientMemory(Limit));
    LifetimePtr held;
    {
        ClientMemory::Charge charge(memory);
        cr_assert(charge.resize(Large + Ordinary));
        held = charge.split(Large);
        cr_assert_eq(charge.bytes(), Ordinary);
    }
    const LifetimePtr copy = held;
    held = nullptr;
    cr_assert_eq(memory->bytes(), Large);
}

// Guards against bytes that stay charged after their request.
Test(clientmemory, bytesAreReleased)
{
    Holders holders;
    holders.fill(Ordinary);
    holders.charges.clear();
    cr_assert_eq(holders.memory->bytes(), 0);
}

// Guards against a holder that, while it releases its bytes, takes those of the one that asked for them.
Test(clientmemory, holdersTakeNothingWhileTheyRelease)
{
    Holders holders;
    ClientMemory::Charge released(holders.memory);
    ClientMemory::Charge asking(holders.memory);
    cr_assert(released.resize(Ordinary));
    holders.fill(Large);
    holders.fill(Ordinary);
    bool grew = true;
    bool askingReleased = false;
    released.setReclaim([&] {
        grew = released.resize(Limit);
    });
    asking.setReclaim([&askingReleased] {
        askingReleased = true;
    });
    cr_assert_not(asking.resize(Ordinary));
    cr_assert_not(grew);
    cr_assert_not(askingReleased);
}
