#include "tests/platform/crowd/crowd.h"
#include "tests/platform/crowd/entryfixture.h"

#include <criterion/criterion.h>

using namespace Crowd;

namespace
{
constexpr std::size_t Descriptors = 512;
constexpr std::size_t Clients = 600;

// Opens more connections than the process has descriptors, and lets each send the bytes.
void openMany(const std::string &bytes)
{
    EntryFixture::Options options;
    options.descriptors = Descriptors;
    EntryFixture entry(options);
    Connections clients(entry.clientAddress(), Clients);
    Connections directory(entry.directoryAddress(), Clients);
    if (!bytes.empty()) {
        const auto content = [&bytes](std::size_t) {
            return bytes;
        };
        clients.send(content, bytes.size());
        directory.send(content, bytes.size());
    }
    entry.checkHealthy();
    const std::string question = "GET /quetzallift/resolution?name=h HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    cr_expect(isSuccess(requestAt(entry.directoryAddress(), question)), "a client that asks for addresses is not answered");
}
}

// Guards against connections that send nothing and leave no descriptor for other clients or for searchers.
Test(connections, thatSendNothing)
{
    openMany({});
}

// Guards against the same by connections that stop in the middle of a head.
Test(connections, thatStopInTheHead)
{
    openMany("GET /lookup/x HTTP/1.1\r\nHo");
}
