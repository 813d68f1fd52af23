#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct ReduceContext;
struct SearcherLoad;

// Learns that the searcher replied with success after the given time.
void noteSuccess(ReduceContext &context, SearcherLoad &searcher, Duration latency);

// Learns that the searcher is full.
void noteShed(ReduceContext &context, SearcherLoad &searcher);

// Learns that an attempt failed; several in a row make the searcher rest. The cause is logged.
void noteFailedAttempt(ReduceContext &context, SearcherLoad &searcher, const std::string &cause);

// Learns that an attempt had no reply in a time that no pause lasts.
void noteSilence(ReduceContext &context, SearcherLoad &searcher);
}
