#pragma once

#include "quetzallift/core/timerkey.h"

namespace Quetzallift
{
struct ReduceContext;

// Whether this host passes on to its data centre what it reads from the metadata store. Each call of the store has a price,
// so that one host of a data centre reads for all.
bool readsForOthers(const ReduceContext &context);

// Whether this host must read the store itself: it reads for others, or nobody has vouched for what it knows for a while.
bool mustReadStore(const ReduceContext &context);

// Sets the timer with which a host that does not read the store looks again whether it must.
void lookAgainLater(ReduceContext &context, TimerKind timer);
}
