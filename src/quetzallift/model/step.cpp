#include "quetzallift/model/step.h"

namespace Quetzallift
{
const char *toString(Step step)
{
    switch (step) {
    case Step::Admit:
        return "admit";
    case Step::Claim:
        return "claim";
    case Step::Plan:
        return "plan";
    case Step::Connect:
        return "connect";
    case Step::Send:
        return "send";
    case Step::Wait:
        return "wait";
    case Step::Hedge:
        return "hedge";
    case Step::Cancel:
        return "cancel";
    case Step::Gather:
        return "gather";
    case Step::Merge:
        return "merge";
    case Step::Answer:
        return "answer";
    case Step::Stop:
        return "stop";
    case Step::Prepare:
        return "prepare";
    case Step::Approve:
        return "approve";
    case Step::Roll:
        return "roll";
    case Step::Watch:
        return "watch";
    case Step::PassOn:
        return "pass_on";
    case Step::Adopt:
        return "adopt";
    case Step::Join:
        return "join";
    case Step::Leave:
        return "leave";
    case Step::Renew:
        return "renew";
    case Step::Settings:
        return "settings";
    }
    return "unknown";
}
}
