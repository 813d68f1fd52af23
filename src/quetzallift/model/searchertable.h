#pragma once

#include "quetzallift/model/refcounted.h"
#include "quetzallift/model/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
// One searcher process.
struct SearcherEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    unsigned slots = 1;
    // True if the searcher announced that it is leaving, or its entry was removed.
    bool draining = false;
    // The time until which the searcher is slow after its start.
    TimePoint coldUntil = {};
    // Unix time in milliseconds of the searcher's start; a restarted searcher with the same id has a later start.
    std::uint64_t startedAtMs = 0;
};

// All searchers that may receive requests, by id. Immutable.
struct SearcherTable : RefCounted<SearcherTable> {
    std::map<std::string, SearcherEntry> entries;
};

using SearcherTablePtr = RefPtr<const SearcherTable>;
}
