#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct ReduceContext;
struct SearcherLoad;

// Records that the searcher replied with success after the given time, which ends an ejection.
void recordSuccess(ReduceContext &context, SearcherLoad &searcher, Duration latency);

// Records a reply by which the searcher shed a sub-request.
void recordShed(ReduceContext &context, SearcherLoad &searcher);

// Records a failed attempt; several consecutive failures eject the searcher. The cause is logged.
void recordFailedAttempt(ReduceContext &context, SearcherLoad &searcher, const std::string &cause);

// Records an attempt that had no reply for longer than any ordinary pause, which ejects the searcher.
void recordSilence(ReduceContext &context, SearcherLoad &searcher);
}
