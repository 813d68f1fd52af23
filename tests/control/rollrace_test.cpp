#include "quetzallift/control/rollattempt.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace Quetzallift;

// Explores every interleaving of two operators that roll at the same time, with at most one lost answer and one crash,
// using the real RollAttempt. A write whose answer is lost may take effect immediately, later or never.
namespace
{
struct Operator {
    RollAttempt attempt;
    RollStep step;
    bool crashed = false;
};

struct World {
    std::uint64_t version = 0;
    RolloutRecord record;
    std::map<std::uint64_t, std::string> tokenOfGeneration;
    std::array<Operator, 2> operators;
    std::optional<PlatformRequest> delayedWrite;
    bool answerLost = false;
    bool crashUsed = false;
};

struct Totals {
    std::size_t ends = 0;
    std::size_t wins = 0;
    std::size_t unknowns = 0;
};

Operator makeOperator(const std::string &name)
{
    RolloutRecord record;
    record.digest = "digest-" + name;
    record.token = name;
    record.operatorName = name;
    RollAttempt attempt(record);
    RollStep first = attempt.start();
    return {std::move(attempt), std::move(first)};
}

PlatformReply apply(World &world, const PlatformRequest &request)
{
    PlatformReply reply{PlatformOutcome::Applied, world.version, {}, {}};
    if (request.verb == PlatformVerb::Read) {
        reply.outcome = world.version == 0 ? PlatformOutcome::NotApplied : PlatformOutcome::Applied;
        reply.value = world.version == 0 ? PlatformValue() : PlatformValue(world.record);
        return reply;
    }
    const bool holds = request.verb == PlatformVerb::Create ? world.version == 0 : world.version == request.version;
    if (!holds) {
        reply.outcome = PlatformOutcome::NotApplied;
        return reply;
    }
    world.record = std::get<RolloutRecord>(request.value);
    const bool isNew = world.tokenOfGeneration.emplace(world.record.generation.value, world.record.token).second;
    cr_assert(isNew, "generation %lu was written twice", static_cast<unsigned long>(world.record.generation.value));
    reply.version = ++world.version;
    return reply;
}

bool tookEffect(const World &world, const std::string &token)
{
    for (const auto &[generation, written] : world.tokenOfGeneration) {
        if (written == token) {
            return true;
        }
    }
    return false;
}

void checkEnd(const World &world, Totals &totals)
{
    ++totals.ends;
    for (const Operator &each : world.operators) {
        if (each.crashed) {
            continue;
        }
        const RollOutcome outcome = std::get<RollResult>(each.step).outcome;
        const bool effective = tookEffect(world, each.attempt.proposed().token);
        totals.wins += outcome == RollOutcome::Won ? 1 : 0;
        totals.unknowns += outcome == RollOutcome::Unknown ? 1 : 0;
        cr_assert(outcome != RollOutcome::Won || effective, "a win was reported for a write that did not take effect");
        cr_assert((outcome != RollOutcome::Lost && outcome != RollOutcome::NotWritten) || !effective,
                  "a write that took effect was reported as lost or not written");
    }
}

void explore(const World &world, Totals &totals);

void exploreOperator(const World &world, std::size_t index, Totals &totals)
{
    const auto *request = std::get_if<PlatformRequest>(&world.operators[index].step);
    if (request == nullptr || world.operators[index].crashed) {
        return;
    }
    World answered = world;
    answered.operators[index].step = answered.operators[index].attempt.next(apply(answered, *request));
    explore(answered, totals);
    if (!world.answerLost) {
        World lost = world;
        lost.answerLost = true;
        lost.operators[index].step = lost.operators[index].attempt.next(PlatformReply());
        if (request->verb != PlatformVerb::Read) {
            lost.delayedWrite = *request;
        }
        explore(lost, totals);
    }
    if (!world.crashUsed) {
        World crashed = world;
        crashed.crashUsed = true;
        crashed.operators[index].crashed = true;
        if (request->verb != PlatformVerb::Read && !crashed.delayedWrite) {
            crashed.delayedWrite = *request;
        }
        explore(crashed, totals);
    }
}

void explore(const World &world, Totals &totals)
{
    bool ended = true;
    for (std::size_t index = 0; index < world.operators.size(); ++index) {
        ended = ended && (world.operators[index].crashed || std::holds_alternative<RollResult>(world.operators[index].step));
        exploreOperator(world, index, totals);
    }
    if (world.delayedWrite) {
        World arrived = world;
        arrived.delayedWrite.reset();
        apply(arrived, *world.delayedWrite);
        explore(arrived, totals);
    }
    if (ended) {
        checkEnd(world, totals);
    }
}
}

// Guards against two winners of one generation and against a false outcome that is reported to an operator.
Test(rollrace, everyInterleavingOfTwoOperatorsReportsTheTrueOutcome)
{
    World world{0, {}, {}, {makeOperator("desk"), makeOperator("agent")}, {}};
    Totals totals;
    explore(world, totals);
    cr_assert_gt(totals.ends, 100U);
    cr_assert_gt(totals.wins, 0U);
    cr_assert_gt(totals.unknowns, 0U);
    cr_log_info("%zu ends, %zu wins, %zu unknown", totals.ends, totals.wins, totals.unknowns);
}
