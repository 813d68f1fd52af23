#pragma once

#include <cstddef>

namespace Quetzallift
{
// The most bytes in the name of a host, searcher, service or data centre. Peers reject messages with a longer one.
constexpr std::size_t MaximumNameLength = 256;
}
