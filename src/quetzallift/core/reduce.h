#pragma once

#include "quetzallift/core/effect.h"

namespace Quetzallift
{
struct Event;
struct State;

// Applies one event to the state and returns the effects for the edge to execute. All decisions are made in this call.
Effects reduce(State &state, const Event &event);
}
