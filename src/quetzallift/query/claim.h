#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Asks for the claim of a request that may not be repeated. Nothing is sent before it is granted.
void requestClaim(ReduceContext &context, RunningQuery &query);
}
