#include "quetzallift/model/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Quetzallift
{
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), XXH3_64bits(key.data(), key.size()));
}
}
