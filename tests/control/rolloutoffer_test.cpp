#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
BundlePtr bundleNamed(const std::string &digest)
{
    RefPtr<Bundle> bundle(new Bundle);
    bundle->digest = digest;
    return bundle;
}

RolloutRecord rolloutOf(std::uint64_t generation, const std::string &digest)
{
    RolloutRecord rollout;
    rollout.generation.value = generation;
    rollout.digest = digest;
    return rollout;
}

struct Offers {
    State state;
    Effects effects;

    bool offer(const RolloutRecord &rollout, const std::string &digest, const std::string &source)
    {
        effects.clear();
        ReduceContext context{state, TimePoint(), effects};
        return offerRollout(context, rollout, bundleNamed(digest), source);
    }

    std::size_t errorsLogged() const
    {
        std::size_t count = 0;
        for (const Effect &effect : effects) {
            const auto *log = std::get_if<WriteLog>(&effect);
            count += log != nullptr && log->record.level == LogLevel::Error ? 1 : 0;
        }
        return count;
    }
};
}

// Guards against a host that returns to an older generation that arrives late, twice or from another source.
Test(rolloutoffer, onlyHigherGenerationsAreAdopted)
{
    Offers offers;
    cr_assert(offers.offer(rolloutOf(3, "c"), "c", "10.0.0.2:7000"));
    cr_assert_not(offers.offer(rolloutOf(2, "b"), "b", "platform"));
    cr_assert_not(offers.offer(rolloutOf(3, "x"), "x", "10.0.0.3:7000"));
    cr_assert_eq(offers.state.control.bundle->digest, "c");
    cr_assert(offers.offer(rolloutOf(9, "a"), "a", "platform"));
    cr_assert_eq(offers.state.control.generation.value, 9U);
}

// Guards against the adoption of a bundle that does not match the rollout's digest, and against a refused offer that blocks
// the valid one.
Test(rolloutoffer, tamperedBundleIsRefusedAndTheValidOneStillAdopted)
{
    Offers offers;
    offers.offer(rolloutOf(1, "a"), "a", "platform");
    cr_assert_not(offers.offer(rolloutOf(2, "b"), "tampered", "10.0.0.2:7000"));
    cr_assert_eq(offers.errorsLogged(), 1U);
    cr_assert_not(offers.offer(rolloutOf(2, "b"), "tampered", "10.0.0.2:7000"));
    cr_assert_eq(offers.errorsLogged(), 0U);
    cr_assert_eq(offers.state.control.bundle->digest, "a");
    cr_assert(offers.offer(rolloutOf(2, "b"), "b", "10.0.0.3:7000"));
}

// Guards against the adoption of a bundle whose approval the hook refuses.
Test(rolloutoffer, refusedApprovalKeepsTheOldBundle)
{
    Offers offers;
    offers.offer(rolloutOf(1, "a"), "a", "platform");
    offers.state.hooks.verifyApproval = [](const RolloutRecord &rollout, const Bundle &) {
        return rollout.approval.approver.empty() ? std::string("no approval") : std::string();
    };
    cr_assert_not(offers.offer(rolloutOf(2, "b"), "b", "platform"));
    cr_assert_eq(offers.state.control.generation.value, 1U);
    RolloutRecord approved = rolloutOf(2, "b");
    approved.approval.approver = "desk-lead";
    cr_assert(offers.offer(approved, "b", "platform"));
}
