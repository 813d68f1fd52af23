#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>

namespace Quetzallift
{
struct ReduceContext;

// Relays a read of the store to the data centre if this host is its reader: the changes of searchers since the given
// version, which may be empty.
void relayTables(ReduceContext &context, std::uint64_t from, const SearcherPage &changes);
}
