#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>
#include <string>

namespace Quetzallift
{
struct ReduceContext;

// If this host is the store reader of its data centre, sends changes of the searchers that it has just applied to the data centre's
// serving hosts. The changes apply to tables of the versions from `from` to `upTo`.
void relaySearchers(ReduceContext &context, std::uint64_t from, std::uint64_t upTo, const SearcherPage &changes);

// Sends a configuration that was not sent yet to the same hosts.
void relayConfiguration(ReduceContext &context);

// Requests the peer's configuration, if it is newer, and its searchers, if wanted.
void requestTables(ReduceContext &context, const std::string &address, bool searchers);
}
