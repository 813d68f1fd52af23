#include "quetzallift/model/burnrecord.h"

namespace Quetzallift
{
namespace
{
void dropExpired(std::map<WindowIndex, ServiceTable> &windows, WindowIndex newest, std::size_t kept)
{
    windows.erase(windows.begin(), windows.lower_bound(newest - static_cast<WindowIndex>(kept) + 1));
}
}

WindowIndex shortWindowAt(WallTime time)
{
    return time.time_since_epoch() / ShortWindow;
}

WindowIndex longWindowAt(WallTime time)
{
    return time.time_since_epoch() / LongWindow;
}

void BurnRecord::count(WallTime at, const ServiceTable &table)
{
    addTo(shortWindows[shortWindowAt(at)], table);
    addTo(longWindows[longWindowAt(at)], table);
    dropExpired(shortWindows, shortWindowAt(at), ShortWindowsKept);
    dropExpired(longWindows, longWindowAt(at), LongWindowsKept);
}

void BurnRecord::addEarlierRun(const BurnRecord &earlier)
{
    for (const auto &[window, table] : earlier.shortWindows) {
        addTo(shortWindows[window], table);
    }
    for (const auto &[window, table] : earlier.longWindows) {
        addTo(longWindows[window], table);
    }
}
}
