#pragma once

#include "quetzallift/model/bundle.h"

namespace Simulation
{
// A bundle with the caller "guide" and the back end "data", of which every shard has replicas on searchers of its own,
// named for instance s3r0 for the first replica of shard 3.
Quetzallift::RefPtr<Quetzallift::Bundle> makeBundle(std::size_t shards, std::size_t replicas, Quetzallift::DeadlinePreference preference);

// A copy of a bundle with one more layout from a snapshot on: other weights, and one shard more on searchers of its own.
Quetzallift::RefPtr<Quetzallift::Bundle> repartition(const Quetzallift::Bundle &bundle, Quetzallift::SnapshotVersion firstSnapshot);
}
