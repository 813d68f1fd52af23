#pragma once

#include "quetzallift/core/timerkey.h"

namespace Quetzallift
{
struct ReduceContext;

// Whether this host reads the metadata store and relays the tables to its data centre. Store calls are billed, so one host
// of a data centre reads for all.
bool isStoreReader(const ReduceContext &context);

// Whether this host must read the store itself: because it is the reader, or because no reader has confirmed this
// host's tables within RelayTimeout.
bool mustReadStore(const ReduceContext &context);

// Starts the timer after which a host that does not read the store checks again whether it must.
void scheduleReadCheck(ReduceContext &context, TimerKind timer);
}
