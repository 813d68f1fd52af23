#pragma once

#include <cstdint>
#include <string_view>

namespace Quetzallift
{
// The weight of a candidate for a key. Whoever knows the same candidates ranks them alike, without asking anyone, and a
// candidate that comes or goes moves only the keys that it wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);
}
