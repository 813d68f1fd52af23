#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

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

// The last platform call among the effects.
CallPlatform lastCall(const Effects &effects)
{
    CallPlatform last;
    for (const Effect &effect : effects) {
        if (const auto *call = std::get_if<CallPlatform>(&effect)) {
            last = *call;
        }
    }
    return last;
}

// The first call for an object whose name starts with the prefix.
CallPlatform callFor(const Effects &effects, const std::string &prefix)
{
    for (const Effect &effect : effects) {
        const auto *call = std::get_if<CallPlatform>(&effect);
        if (call != nullptr && call->request.object.starts_with(prefix)) {
            return *call;
        }
    }
    return {};
}

Effects rolloutRead(State &state, PlatformCallId call, std::uint64_t generation, const std::string &digest)
{
    PlatformReply reply{PlatformOutcome::Applied, generation, RolloutRecord{{generation}, digest, "t", "op"}, {}};
    return reduce(state, Event{TimePoint(), PlatformReplied{call, reply}});
}
}

// Guards against a host that returns to an older bundle when it reads a rollout of an older generation late.
Test(rollout, olderGenerationIsNotAdopted)
{
    State state;
    const Effects started = reduce(state, Event{TimePoint(), Started{}});
    const Effects read = rolloutRead(state, callFor(started, "rollout").call, 5, "five");
    const CallPlatform bundleCall = callFor(read, "bundle/");
    const PlatformReply bundleReply{PlatformOutcome::Applied, 1, bundleNamed("five"), {}};
    reduce(state, Event{TimePoint(), PlatformReplied{bundleCall.call, bundleReply}});
    cr_assert_eq(state.control.generation.value, 5U);
    const Effects again = rolloutRead(state, lastCall(read).call, 4, "four");
    cr_assert(callFor(again, "bundle/").request.object.empty());
    cr_assert_eq(state.control.generation.value, 5U);
}
