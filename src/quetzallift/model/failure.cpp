#include "quetzallift/model/failure.h"

namespace Quetzallift
{
const char *toString(FailureKind kind)
{
    switch (kind) {
    case FailureKind::ConnectionRefused:
        return "connection_refused";
    case FailureKind::ConnectionReset:
        return "connection_reset";
    case FailureKind::Timeout:
        return "timeout";
    case FailureKind::Shed:
        return "shed";
    case FailureKind::Draining:
        return "draining";
    case FailureKind::SnapshotGone:
        return "snapshot_gone";
    case FailureKind::ShardNotHeld:
        return "shard_not_held";
    case FailureKind::Truncated:
        return "truncated";
    case FailureKind::BadReply:
        return "bad_reply";
    case FailureKind::NotSent:
        return "not_sent";
    case FailureKind::Cancelled:
        return "cancelled";
    }
    return "unknown";
}
}
