#pragma once

namespace Quetzallift
{
struct ControlSnapshot;
struct ReduceContext;
struct SearcherView;

// Stops new work for a searcher, moves its queue to other replicas and probes its health until it is available again. The
// reason is a metric label.
void startDraining(ReduceContext &context, SearcherView &view, const char *reason);

// Drains the searchers that the host list shows as leaving, and allows health probes of those that it no longer does.
void applyHostList(ReduceContext &context, const ControlSnapshot &snapshot);

// Sends a health probe to a draining or ejected searcher if it may be probed now.
void probeHealth(ReduceContext &context, SearcherView &view);
}
