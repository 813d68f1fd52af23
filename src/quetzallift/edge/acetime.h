#pragma once

#include "quetzallift/model/time.h"

#include <ace/Time_Value.h>

namespace Quetzallift
{
// Converts a duration for ACE, rounded up to the next microsecond so that a timer never fires early.
inline ACE_Time_Value toAceTime(Duration duration)
{
    const auto micros = std::chrono::ceil<std::chrono::microseconds>(duration);
    const auto seconds = std::chrono::floor<std::chrono::seconds>(micros);
    return ACE_Time_Value(seconds.count(), static_cast<suseconds_t>((micros - seconds).count()));
}
}
