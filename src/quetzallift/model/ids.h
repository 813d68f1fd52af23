#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace Quetzallift
{
namespace detail
{
// A strongly typed identifier. Ids of different kinds do not convert into each other.
template<typename Tag>
struct Id {
    std::uint64_t value = 0;

    auto operator<=>(const Id &) const = default;
};
}

// Identifies a running query within one traffic thread.
using QueryId = detail::Id<struct QueryIdTag>;

// Identifies one sub-request sent to one searcher within one traffic thread.
using AttemptId = detail::Id<struct AttemptIdTag>;

// Identifies a shard within a layout.
using ShardId = detail::Id<struct ShardIdTag>;

// An index version of a back end.
using SnapshotVersion = detail::Id<struct SnapshotVersionTag>;

// The number of a rollout, which increases with each rollout.
using Generation = detail::Id<struct GenerationTag>;

// Identifies a call to the platform made by the control thread.
using PlatformCallId = detail::Id<struct PlatformCallIdTag>;
}

template<typename Tag>
struct std::hash<Quetzallift::detail::Id<Tag>> {
    std::size_t operator()(const Quetzallift::detail::Id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
