#include "quetzallift/model/clientanswer.h"

namespace Quetzallift
{
const char *toString(ClientAnswerKind kind)
{
    switch (kind) {
    case ClientAnswerKind::Reply:
        return "reply";
    case ClientAnswerKind::Merged:
        return "merged";
    case ClientAnswerKind::Refused:
        return "refused";
    case ClientAnswerKind::NoRoute:
        return "no_route";
    case ClientAnswerKind::Failed:
        return "failed";
    case ClientAnswerKind::TimedOut:
        return "timed_out";
    }
    return "unknown";
}
}
