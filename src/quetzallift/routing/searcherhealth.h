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

// Records a failed attempt. Several failures without a success between them eject the searcher; after an ejection, one
// is enough until the next success. The cause of an ejection is logged.
void recordFailedAttempt(ReduceContext &context, SearcherLoad &searcher, const std::string &cause);

// Records an attempt that had no reply for longer than any ordinary pause, which ejects the searcher unless it is ejected
// already.
void recordSilence(ReduceContext &context, SearcherLoad &searcher);
}
