#include "quetzallift/routing/merge.h"

#include <algorithm>
#include <functional>

namespace Quetzallift
{
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t limit)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + RecordSize <= part.size(); offset += RecordSize) {
            records.push_back(part.substr(offset, RecordSize));
        }
    }
    const std::size_t count = std::min(limit, records.size());
    // string_view compares bytes as unsigned char.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * RecordSize);
    for (std::size_t index = 0; index < count; ++index) {
        merged += records[index];
    }
    return merged;
}
}
