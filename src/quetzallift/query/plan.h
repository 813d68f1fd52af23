#pragma once

#include <string>

namespace Quetzallift
{
struct QueryState;
struct RunningQuery;

// Pins the newest snapshot that every shard is known to serve and lays the query out over its shards. Returns false if
// the back end has no layout.
bool plan(const QueryState &state, RunningQuery &query);
}
