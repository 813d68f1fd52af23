#pragma once

#include "quetzallift/model/time.h"

#include <ace/Time_Value.h>

namespace Quetzallift
{
// A duration as ACE counts it, rounded up to a microsecond so that a timer never fires early.
inline ACE_Time_Value toAceTime(Duration duration)
{
    const auto micros = std::chrono::ceil<std::chrono::microseconds>(duration);
    const auto seconds = std::chrono::floor<std::chrono::seconds>(micros);
    return ACE_Time_Value(seconds.count(), static_cast<suseconds_t>((micros - seconds).count()));
}
}
