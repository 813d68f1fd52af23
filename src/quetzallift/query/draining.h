#pragma once

namespace Quetzallift
{
struct ControlSnapshot;
struct ReduceContext;
struct SearcherView;

// Gives a searcher no new work from now on, moves its queue elsewhere and probes its health page until it is back.
void startDraining(ReduceContext &context, SearcherView &view, const char *sign);

// Drains the searchers that the host list shows as leaving, and probes those that it does not show as leaving any more.
void followHostList(ReduceContext &context, const ControlSnapshot &snapshot);

// Sends the health probe of a draining or ejected searcher if it may be probed now.
void probeHealth(ReduceContext &context, SearcherView &view);
}
