#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Stops the traffic threads once the last address list that names this host has expired.
void handleAddressesExpired(ReduceContext &context);

// Cuts off running queries.
void handleStopLimit(ReduceContext &context);

// Ends the process although a traffic thread has not reported its number of cut-off queries.
void handleCutOffLimit(ReduceContext &context);

// Ends the process after a delay in which the last messages are sent.
void handleExitDelay(ReduceContext &context);
}
