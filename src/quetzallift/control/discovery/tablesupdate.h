#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>

namespace Quetzallift
{
struct ReduceContext;

// Passes on what this host has just read from the store, if it reads for others: the changes of searchers that follow on
// the given version, or that nothing changed.
void passTablesOn(ReduceContext &context, std::uint64_t from, const SearcherPage &changes);
}
