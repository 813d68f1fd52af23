#pragma once

#include "quetzallift/core/effect.h"
#include "quetzallift/core/event.h"
#include "quetzallift/core/state.h"

#include <utility>

namespace Quetzallift
{
// The state, time and effect list that handlers share while one event is applied.
struct ReduceContext {
    State &state;
    TimePoint now;
    Effects &effects;

    void emit(Effect effect)
    {
        effects.push_back(std::move(effect));
    }
};
}
