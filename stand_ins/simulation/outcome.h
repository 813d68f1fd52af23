#pragma once

#include "quetzallift/model/time.h"

namespace Simulation
{
// How a simulated searcher treats one sub-request.
enum class OutcomeKind {
    Ok,
    Silent,
    Refuse,
    Reset,
    Shed,
    Drain,
    WrongSnapshot,
    Crossed,
    Truncated,
    Doubled,
};

// How and when one sub-request ends.
struct Outcome {
    OutcomeKind kind = OutcomeKind::Ok;
    Quetzallift::Duration delay = std::chrono::milliseconds(5);
};
}
