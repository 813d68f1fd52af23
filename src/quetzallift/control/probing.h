#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ReduceContext;

// Sets the timer of the next probe period.
void scheduleNextPeriod(ReduceContext &context);

// Sends the probes of one period: to the next host in the probe order, or to the configured peers if no host is known,
// and, every fifth period, to one host that is gone and did not announce its stop.
void probeNextMember(ReduceContext &context);

// Requests indirect probes, through a few other hosts, of a host that did not answer in time.
void handleProbeTimeout(ReduceContext &context, std::uint64_t number);

// Records a missed probe of a host that answered neither a direct nor an indirect probe.
void handleProbeFailed(ReduceContext &context, std::uint64_t number);

// Answers a probe, probes on behalf of another host, or records an answer.
void handleProbe(ReduceContext &context, const PeerSender &sender, const Probe &probe);
void handleIndirectProbe(ReduceContext &context, const PeerSender &sender, const IndirectProbe &probe);
void handleProbeReply(ReduceContext &context, const ProbeReply &reply);
}
