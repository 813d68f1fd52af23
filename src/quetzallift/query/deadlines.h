#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// The instant at which the answer must leave so that it reaches the caller before its deadline.
TimePoint answerInstant(TimePoint arrivedAt, Duration deadline);

// The instant after which a sub-reply is of no use, which leaves room for the way back and the merge.
TimePoint subRequestInstant(TimePoint arrivedAt, TimePoint answerAt);
}
