#pragma once

#include "quetzallift/model/sharesrecord.h"
#include "quetzallift/model/time.h"

#include <map>
#include <optional>

namespace Quetzallift
{
// State of the division of connections among hosts.
struct SharesState {
    SharesRecord record;
    // True once every host of an earlier epoch has acknowledged the current epoch or holds no connection.
    bool settled = true;
    TimePoint adoptedAt;
    // Version of the platform object, 0 if it does not exist, and whether it was read at least once.
    std::uint64_t version = 0;
    bool everRead = false;
    // True while a call about the object has no reply.
    bool callPending = false;
    // The record of a write without a reply.
    SharesRecord pendingRecord;
    // The earliest time at which this host may write a new epoch; empty while the current epoch matches the membership.
    std::optional<TimePoint> writeAt;
    TimePoint nextReminderAt;
    TimePoint nextReadAt;
    // The newest epoch that each traffic thread has applied.
    std::map<unsigned, std::uint64_t> applied;
    std::uint64_t acknowledged = 0;
};
}
