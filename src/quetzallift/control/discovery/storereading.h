#pragma once

#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/time.h"

#include <optional>
#include <string>

namespace Quetzallift
{
struct ReduceContext;

// Whether this host reads the metadata store and relays the tables to its data centre. Store calls are billed, so one host
// of a data centre reads for all.
bool isStoreReader(const ReduceContext &context);

// Whether this host must read the store itself: because it is the reader, or because no reader has confirmed this
// host's tables within RelayTimeout.
bool mustReadStore(const ReduceContext &context);

// How long a watch may last, so that the next confirmation for the hosts that follow this one comes in time even if nothing
// changes. `readAt` is the latest time for which the watched table is known to be up to date.
Duration watchTime(const ReduceContext &context, const std::optional<TimePoint> &readAt, Duration longest);

// Logs that the searchers known here are now confirmed by another source: the store itself or the named host. They were up to date at
// the given time; a confirmation that is older than the last one is no news.
void recordConfirmation(ReduceContext &context, const std::string &source, TimePoint readAt);

// Starts the timer after which a host that does not read the store checks again whether it must.
void scheduleReadCheck(ReduceContext &context, TimerKind timer);
}
