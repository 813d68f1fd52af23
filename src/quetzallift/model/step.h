#pragma once

namespace Quetzallift
{
// The processing step of a query or of control work to which an error or a log line belongs.
enum class Step {
    Admit,
    Claim,
    Plan,
    Connect,
    Send,
    Wait,
    Hedge,
    Cancel,
    Gather,
    Merge,
    Answer,
    Stop,
    Prepare,
    Approve,
    Roll,
    Watch,
    PassOn,
    Adopt,
    Join,
    Leave,
    Renew,
    Settings,
};

// Returns the name of a step in logs and answers.
const char *toString(Step step);
}
