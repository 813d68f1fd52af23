#pragma once

#include <cstdint>
#include <string_view>

namespace Quetzallift
{
// Returns the rendezvous hashing weight of a candidate for a key. All hosts that know the same candidates rank them
// equally without coordination, and adding or removing a candidate moves only the keys for which it has the highest weight.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);
}
