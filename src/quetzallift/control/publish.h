#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Publishes the present control decisions to the traffic threads.
void publish(ReduceContext &context);

// Publishes if the membership or the connection shares changed since the last time.
void publishChanges(ReduceContext &context);
}
