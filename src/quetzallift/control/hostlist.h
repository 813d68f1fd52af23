#pragma once

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Reads the platform's host list.
void readHostList(ReduceContext &context);

// Adds listed hosts to the membership and schedules the next read.
void handleHostListReply(ReduceContext &context, const PlatformReply &reply);
}
