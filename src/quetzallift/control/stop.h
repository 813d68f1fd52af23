#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Stops the traffic threads, once the last answer that named this host has run out.
void handleAddressesExpired(ReduceContext &context);

// Cuts off the queries that still run.
void handleStopLimit(ReduceContext &context);

// Ends the process although a traffic thread has not reported what it cut off.
void handleCutOffLimit(ReduceContext &context);

// Ends the process after the last messages had time to leave.
void handleExitDelay(ReduceContext &context);
}
