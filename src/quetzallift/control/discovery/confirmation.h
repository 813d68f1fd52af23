#pragma once

#include <string>

namespace Quetzallift
{
struct ReduceContext;

// Asks the host at the peer address to confirm this host's tables after its next read of the store.
void requestConfirmation(ReduceContext &context, const std::string &address);

// Asks the store reader of this data centre for a confirmation, unless a request is still on its way.
void pollConfirmation(ReduceContext &context);

// Sends a confirmation to each host that waits for one; called after each read of the store.
void confirmTables(ReduceContext &context);
}
