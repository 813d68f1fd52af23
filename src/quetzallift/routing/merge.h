#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Quetzallift
{
// Size in bytes of a record in a searcher's reply to a part of a scattered request.
constexpr std::size_t RecordSize = 16;

// The greatest records of all parts in descending byte order. Equal records are all kept; a remainder shorter than a
// record is ignored.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t limit);
}
