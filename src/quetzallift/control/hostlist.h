#pragma once

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Reads the platform's host list.
void readHostList(ReduceContext &context);

// Publishes a changed host list and reads it again after a while.
void handleHostListReply(ReduceContext &context, const PlatformReply &reply);
}
