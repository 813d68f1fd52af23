#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>

namespace Quetzallift
{
struct ReduceContext;

// If this host is the store reader of its data centre, sends the changes of searchers since version `from` to the data
// centre's serving hosts; also sends an update if there are no changes.
void relayTables(ReduceContext &context, std::uint64_t from, const SearcherPage &changes);
}
