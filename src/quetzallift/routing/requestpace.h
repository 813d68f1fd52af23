#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// Spaces this thread's requests to a searcher that limits how many requests a second it takes from all hosts together.
class RequestPace
{
public:
    // Sets the thread's rate in requests a second. The first call also sets the part of a request, from 0 to 1, that is
    // saved at the beginning: hosts that learn of a limit at the same time must not all send at once.
    void setRate(double perSecond, double saved, TimePoint now);

    // The earliest time at which a request may be sent after the given number of others; `now` if it may be sent already.
    TimePoint nextAt(TimePoint now, double before = 0.0) const;

    // Records that a request was sent.
    void take(TimePoint now);

private:
    // The number of requests that may be sent at once.
    double savedAt(TimePoint now) const;

    double m_rate = 0.0;
    double m_saved = 0.0;
    TimePoint m_updatedAt;
};
}
