#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Requests the claim of a non-repeatable request. No sub-request is sent before the claim is granted.
void requestClaim(ReduceContext &context, RunningQuery &query);
}
