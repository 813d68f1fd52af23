#include "tests/platform/soak/answercheck.h"
#include "tests/platform/soak/configurations.h"
#include "tests/platform/soak/requestledger.h"

#include <criterion/criterion.h>

using namespace Soak;
using Quetzallift::Clock;
using Quetzallift::UpstreamResponse;

namespace
{
struct ChecksFixture {
    RequestLedger ledger;
    Configurations configurations;
    SentRequest request;

    explicit ChecksFixture(const std::string &target)
    {
        request.id = "r1";
        request.target = target;
        request.idempotent = !target.starts_with("/payment/");
        request.maxAttempts = 2;
        ledger.noteSent(request);
    }

    bool check(unsigned status, std::vector<Quetzallift::Header> headers, const std::string &body)
    {
        return checkAnswer(ledger, configurations, request, {status, std::move(headers), body});
    }
};

std::string record(char letter)
{
    return std::string(16, letter);
}
}

// Guards against a soak that passes whatever happens: each kind of broken promise must be seen.
Test(soakchecks, unsafeRequestThatRunsTwice)
{
    ChecksFixture fixture("/payment/1");
    fixture.ledger.noteRun({"r1", "desk", "i-1", true, {}});
    cr_assert_eq(fixture.ledger.violations(), 0U);
    fixture.ledger.noteRun({"r1", "desk", "i-2", true, {}});
    cr_assert_eq(fixture.ledger.violations(), 1U);
}

Test(soakchecks, refusalOfARequestThatRuns)
{
    ChecksFixture before("/payment/1");
    before.ledger.noteRun({"r1", "desk", "i-1", true, {}});
    before.check(503, {}, {});
    cr_assert_eq(before.ledger.violations(), 1U);
    ChecksFixture after("/payment/1");
    after.check(503, {}, {});
    after.ledger.noteRun({"r1", "desk", "i-1", true, {}});
    cr_assert_eq(after.ledger.violations(), 1U);
}

Test(soakchecks, requestThatNobodySent)
{
    ChecksFixture fixture("/lookup/1");
    fixture.ledger.noteRun({"other", "desk", "i-1", true, {}});
    cr_assert_eq(fixture.ledger.violations(), 1U);
}

Test(soakchecks, bodyOfAnotherRequest)
{
    ChecksFixture fixture("/lookup/1");
    const std::string signature = fixture.ledger.noteRun({"r1", "desk", "i-1", true, "mine"});
    cr_assert(fixture.check(200, {{"Server-Stamp", signature}}, "mine"));
    cr_assert_eq(fixture.ledger.violations(), 0U);
    fixture.check(200, {{"Server-Stamp", signature}}, "other");
    cr_assert_eq(fixture.ledger.violations(), 1U);
}

Test(soakchecks, mergedAnswer)
{
    ChecksFixture fixture("/catalogue/1");
    std::string signatures;
    for (unsigned shard = 0; shard < 4; ++shard) {
        const std::string signature =
            fixture.ledger.noteRun({"r1", shardName(0, shard), "i-" + std::to_string(shard), true, record(static_cast<char>('a' + shard))});
        signatures += (signatures.empty() ? "" : ", ") + signature;
    }
    const std::string body = record('d') + record('c') + record('b') + record('a');
    cr_assert(fixture.check(200, {{"Part-Stamps", signatures}, {"Missing-Parts", "1"}}, body));
    cr_assert_eq(fixture.ledger.violations(), 0U);
    fixture.check(200, {{"Part-Stamps", signatures}, {"Missing-Parts", "0"}}, body);
    cr_assert_eq(fixture.ledger.violations(), 1U);
    fixture.check(200, {{"Part-Stamps", signatures}, {"Missing-Parts", "1"}}, record('d'));
    cr_assert_eq(fixture.ledger.violations(), 2U);
    const std::string mixed = signatures + ", " + fixture.ledger.noteRun({"r1", shardName(1, 0), "i-9", true, record('z')});
    fixture.check(200, {{"Part-Stamps", mixed}, {"Missing-Parts", "0"}}, record('z') + body);
    cr_assert_eq(fixture.ledger.violations(), 3U);
}

Test(soakchecks, extraRequestsBeyondTheBudget)
{
    ChecksFixture fixture("/lookup/1");
    const auto now = Clock::now();
    fixture.ledger.noteDemand("desk", now);
    for (int arrival = 0; arrival < 6; ++arrival) {
        fixture.ledger.noteArrival("r1", "desk", now);
    }
    fixture.ledger.judgeBudget(0.2, 5.0, std::chrono::seconds(10));
    cr_assert_eq(fixture.ledger.violations(), 0U);
    fixture.ledger.noteArrival("r1", "desk", now);
    fixture.ledger.judgeBudget(0.2, 5.0, std::chrono::seconds(10));
    cr_assert_eq(fixture.ledger.violations(), 1U);
}
