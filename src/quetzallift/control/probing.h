#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ReduceContext;

// Sets the timer of the next period.
void startPeriod(ReduceContext &context);

// Probes one host, which is the work of one period.
void probeNext(ReduceContext &context);

// Asks a few other hosts to probe a host that did not answer in time.
void handleProbeTimeout(ReduceContext &context, std::uint64_t number);

// Suspects a host that answered neither directly nor through others.
void handleProbeFailed(ReduceContext &context, std::uint64_t number);

// Answers a probe, probes for another host, or notes an answer.
void handleProbe(ReduceContext &context, const PeerSender &sender, const Probe &probe);
void handleIndirectProbe(ReduceContext &context, const PeerSender &sender, const IndirectProbe &probe);
void handleProbeReply(ReduceContext &context, const ProbeReply &reply);
}
