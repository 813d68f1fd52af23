#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

namespace Quetzallift
{
// What a traffic thread has observed of a searcher through its own sub-requests.
struct SearcherView {
    unsigned inFlight = 0;
    SnapshotVersion oldestSnapshot;
    SnapshotVersion newestSnapshot;
    bool draining = false;
};
}
