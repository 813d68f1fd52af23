#pragma once

namespace Quetzallift
{
struct QueryState;
struct RunningQuery;

// Pins a snapshot and lays the query out over the shards of its layout. Returns false if the back end has no shards.
bool plan(QueryState &state, RunningQuery &query);
}
