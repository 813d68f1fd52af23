#include "quetzallift/query/fairshare.h"

#include "quetzallift/query/admissionstate.h"

#include <algorithm>
#include <cmath>

namespace Quetzallift
{
namespace
{
// A caller without running queries and without arrivals for this time is inactive: its whole share can be borrowed.
constexpr Duration ActivityTimeout = std::chrono::seconds(2);
constexpr Duration PeakHalfLife = std::chrono::seconds(1);
// Queries reserved beyond a caller's recent peak for its next burst.
constexpr double BurstReserve = 2.0;
// A caller within its share may exceed the back end's limit by this factor; the excess ends as borrowed queries end.
constexpr double OvercommitFactor = 1.25;

bool isActive(const CallerLoad &caller, TimePoint now)
{
    return caller.running > 0 || now - caller.lastArrival < ActivityTimeout;
}

double currentPeak(const CallerLoad &caller, TimePoint now)
{
    return caller.recentPeak * std::exp2(-(Seconds(now - caller.peakAt) / Seconds(PeakHalfLife)));
}

double activeShares(const BackEndLoad &load, TimePoint now)
{
    double sum = 0.0;
    for (const auto &[name, caller] : load.callers) {
        sum += isActive(caller, now) ? caller.share : 0.0;
    }
    return sum;
}

// The capacity reserved for the other active callers: their share, as far as they are expected to use it.
double reservedForOthers(const BackEndLoad &load, const std::string &self, double shares, TimePoint now)
{
    double reserved = 0.0;
    for (const auto &[name, caller] : load.callers) {
        if (name != self && isActive(caller, now)) {
            const double fair = load.limit * caller.share / shares;
            reserved += std::max(0.0, std::min(fair, currentPeak(caller, now) + BurstReserve) - caller.running);
        }
    }
    return reserved;
}
}

void recordArrival(BackEndLoad &load, const std::string &caller, double share, TimePoint now)
{
    CallerLoad &entry = load.callers[caller];
    entry.share = share;
    entry.lastArrival = now;
    const double wanted = entry.running + 1.0;
    if (wanted >= currentPeak(entry, now)) {
        entry.recentPeak = wanted;
        entry.peakAt = now;
    }
}

LimitDecision checkFairShare(const BackEndLoad &load, const std::string &caller, TimePoint now)
{
    const CallerLoad &self = load.callers.at(caller);
    const double shares = activeShares(load, now);
    const double fair = load.limit * self.share / std::max(shares, self.share);
    const double running = load.running + 1.0;
    if (self.running + 1.0 <= fair && running <= load.limit * OvercommitFactor) {
        return LimitDecision::Admitted;
    }
    if (running + reservedForOthers(load, caller, shares, now) <= load.limit) {
        return LimitDecision::Admitted;
    }
    return self.running + 1.0 > fair && shares > self.share ? LimitDecision::OverShare : LimitDecision::BackEndFull;
}

double startFairQuery(BackEndLoad &load, const std::string &caller)
{
    CallerLoad &self = load.callers[caller];
    const double tag = std::max(load.virtualTime, self.nextTag);
    self.nextTag = tag + 1.0 / self.share;
    load.startTags.insert(tag);
    ++load.running;
    ++self.running;
    return tag;
}

void endFairQuery(BackEndLoad &load, const std::string &caller, double startTag)
{
    const auto found = load.startTags.find(startTag);
    if (found != load.startTags.end()) {
        load.startTags.erase(found);
    }
    load.running -= std::min(load.running, 1U);
    CallerLoad &self = load.callers[caller];
    self.running -= std::min(self.running, 1U);
    // The oldest running query sets the virtual time, at which a caller that was idle starts.
    load.virtualTime = std::max(load.virtualTime, load.startTags.empty() ? self.nextTag : *load.startTags.begin());
}
}
