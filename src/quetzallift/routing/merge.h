#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Quetzallift
{
// Size of a record in a part of a scattered request's answer.
constexpr std::size_t RecordSize = 16;

// The greatest records of all parts, greatest first, compared byte by byte. Equal records all count; a remainder shorter
// than a record is left out.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t limit);
}
