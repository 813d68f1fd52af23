#include "quetzallift/model/clientrejection.h"

namespace Quetzallift
{
const char *rejectionName(ClientRejection rejection)
{
    switch (rejection) {
    case ClientRejection::Invalid:
        return "invalid";
    case ClientRejection::HeadTooLarge:
        return "head_too_large";
    case ClientRejection::BodyTooLarge:
        return "body_too_large";
    case ClientRejection::TooSlow:
        return "too_slow";
    case ClientRejection::Memory:
        return "memory";
    case ClientRejection::Connections:
        return "connections";
    case ClientRejection::AnswerNotRead:
        return "answer_not_read";
    }
    return "unknown";
}
}
