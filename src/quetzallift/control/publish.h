#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Publishes the present control decisions to the traffic threads.
void publish(ReduceContext &context);
}
