#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// The time at which the answer must be sent to reach the caller before its deadline.
TimePoint answerInstant(TimePoint arrivedAt, Duration deadline);

// The time after which a sub-reply is of no use; reserves time for the network and the merge.
TimePoint subRequestInstant(TimePoint arrivedAt, TimePoint answerAt);
}
