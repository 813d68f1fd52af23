#pragma once

#include <cstddef>

namespace Quetzallift
{
// The most bytes in the name of a host, searcher, service or data centre. Peers reject messages with a longer one.
constexpr std::size_t MaximumNameLength = 256;

// The most requests that a searcher may run at a time. Peers reject messages with a greater number.
constexpr unsigned MaximumSearcherSlots = 100000;
}
