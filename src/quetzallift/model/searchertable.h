#pragma once

#include "quetzallift/model/refcounted.h"
#include "quetzallift/model/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
// What is known of one searcher process.
struct SearcherEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    unsigned slots = 1;
    // True if it announced that it leaves, or its entry is gone.
    bool draining = false;
    // Until when it is slow after its start.
    TimePoint coldUntil = {};
    // Unix milliseconds of its start; a searcher that starts again under its id has a later one.
    std::uint64_t startedAtMs = 0;
};

// All searchers that requests may be sent to, by id. Immutable.
struct SearcherTable : RefCounted<SearcherTable> {
    std::map<std::string, SearcherEntry> entries;
};

using SearcherTablePtr = RefPtr<const SearcherTable>;
}
