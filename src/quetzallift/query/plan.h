#pragma once

namespace Quetzallift
{
struct QueryState;
struct RunningQuery;

// Pins a snapshot and sets up the shards of its layout for the query. Returns false if the back end has no shards.
bool plan(QueryState &state, RunningQuery &query);
}
