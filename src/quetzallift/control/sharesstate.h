#pragma once

#include "quetzallift/model/sharesrecord.h"
#include "quetzallift/model/time.h"

#include <map>
#include <optional>

namespace Quetzallift
{
// How this host follows the division of connections.
struct SharesState {
    SharesRecord record;
    // True once every host of an earlier epoch has acknowledged this one or holds nothing any more.
    bool settled = true;
    TimePoint adoptedAt;
    // Version of the platform object, 0 if it does not exist, and whether it was ever read.
    std::uint64_t version = 0;
    bool read = false;
    // True while a call about the object is not answered.
    bool calling = false;
    // The record of a write that is not answered.
    SharesRecord written;
    // When this host may try to write a new epoch; empty while the present one fits the membership.
    std::optional<TimePoint> writeAt;
    TimePoint nextRemind;
    TimePoint nextRead;
    // The epoch that each traffic thread keeps to.
    std::map<unsigned, std::uint64_t> applied;
    std::uint64_t acknowledged = 0;
};
}
