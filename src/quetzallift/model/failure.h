#pragma once

#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
// The causes of a failed step that the decision code distinguishes.
enum class FailureKind {
    ConnectionRefused,
    ConnectionReset,
    Timeout,
    Shed,
    Draining,
    SnapshotGone,
    ShardNotHeld,
    Truncated,
    BadReply,
    NotSent,
    Cancelled,
};

// Returns the name of a failure kind in logs and answers.
const char *toString(FailureKind kind);

// An error with the step and the peer at which it occurred.
struct Failure {
    Step step = Step::Wait;
    std::string peer;
    FailureKind kind = FailureKind::BadReply;
    std::string detail;
};
}
