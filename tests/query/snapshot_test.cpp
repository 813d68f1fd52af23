#include "tests/query/simulationfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using namespace std::chrono_literals;

// Guards against a newly started entry host that fails its first queries because it pinned a snapshot that is no longer
// served.
Test(snapshot, firstQueryDiscoversTheServedSnapshots)
{
    SimulationFixture fixture(3);
    fixture.serve(7, 9);
    cr_assert(fixture.run(1).status == AnswerStatus::Whole);
    cr_assert_eq(fixture.answer(1).snapshot.value, 9U);
    cr_assert_eq(fixture.counts[Metric::Restarts], 1.0);
}

// Guards against rows of two snapshots in one answer if the searchers drop the pinned one while sub-requests are in flight.
Test(snapshot, goneSnapshotRestartsTheWholeQuery)
{
    SimulationFixture fixture(4);
    fixture.run(1);
    fixture.simulation.outcome = [](const SendSubRequest &send) {
        return Outcome{OutcomeKind::Ok, send.request.shard.value == 0 ? 2ms : 8ms};
    };
    fixture.query(2);
    fixture.simulation.after(5ms, [&fixture] {
        fixture.serve(2, 3);
    });
    fixture.simulation.run();
    const QueryAnswer &answer = fixture.answer(2);
    cr_assert(answer.status == AnswerStatus::Whole);
    cr_assert_eq(answer.snapshot.value, 3U);
    for (const Row &row : answer.rows) {
        cr_assert(row.text.find("snapshot 3 ") != std::string::npos);
    }
}

// Guards against endless restarts, and against a missing reason for uncovered shards, when snapshots change continuously.
Test(snapshot, restartsAreBounded)
{
    SimulationFixture fixture(2);
    std::uint64_t newest = 1;
    fixture.simulation.outcome = [&](const SendSubRequest &) {
        ++newest;
        fixture.serve(newest, newest);
        return Outcome{};
    };
    const QueryAnswer &answer = fixture.run(1);
    cr_assert(answer.status == AnswerStatus::Failed);
    cr_assert_eq(fixture.counts[Metric::Restarts], 3.0);
    cr_assert(answer.missing.at(0).failure.kind == FailureKind::SnapshotGone);
}

// Guards against a query pinned to an announced layout that no searcher serves yet, and against one that stays on the old
// layout after the searchers, some of which are new, serve the new one.
Test(snapshot, announcedLayoutIsUsedOnceItIsServed)
{
    SimulationFixture fixture(3);
    fixture.run(1);
    fixture.simulation.world.searchers["s3r0"] = fixture.simulation.world.searchers["s3r1"] = {{1}, {1}};
    fixture.simulation.roll(Simulation::repartition(fixture.simulation.bundle(), {5}));
    cr_assert_eq(fixture.run(2).coverage.shardsTotal, 3U);
    cr_assert(fixture.answer(2).status == AnswerStatus::Whole);
    fixture.serve(4, 6);
    fixture.run(3);
    cr_assert(fixture.answer(3).status == AnswerStatus::Whole);
    for (std::uint64_t query = 4; query < 8; ++query) {
        fixture.simulation.after(2s, [] {
        });
        fixture.simulation.run();
        cr_assert(fixture.run(query).status == AnswerStatus::Whole);
    }
    cr_assert_eq(fixture.answer(7).snapshot.value, 6U);
    cr_assert_eq(fixture.answer(7).coverage.shardsTotal, 4U);
}

// Guards against recording the snapshots of replies that belong to another request.
Test(snapshot, foreignRepliesAreNotRecorded)
{
    SimulationFixture fixture(1, 1);
    fixture.run(1);
    SubReply reply;
    reply.newestSnapshot = {99};
    reply.oldestSnapshot = {99};
    for (const std::uint64_t attempt : {0U, 1U, 77U}) {
        fixture.simulation.after(0ms, EventBody{SubReplyArrived{{attempt}, reply}});
    }
    cr_assert_eq(fixture.run(2).snapshot.value, 1U);
    cr_assert_eq(fixture.labels["foreign"], 2.0);
    cr_assert_eq(fixture.labels["doubled"], 1.0);
    fixture.simulation.outcome = [](const SendSubRequest &) {
        return Outcome{OutcomeKind::WrongSnapshot, 5ms};
    };
    fixture.serve(1, 99);
    cr_assert(fixture.run(3).status == AnswerStatus::Failed);
    cr_assert_eq(fixture.labels["wrong_snapshot"], 1.0);
    cr_assert_eq(fixture.simulation.state.query.replicaRecords["s0r0"].newestSnapshot.value, 1U);
}
