#include "stand_ins/load/tally.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Load
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
// Time on top of the deadline for the way there and back before an answer counts as late.
constexpr std::chrono::milliseconds LateMargin{50};

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}
}

Tally::Second &Tally::secondAt(Duration due)
{
    const auto index = static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(due).count());
    if (m_seconds.size() <= index) {
        m_seconds.resize(index + 1);
    }
    return m_seconds[index];
}

void Tally::add(End end, Duration due, Duration latency, Duration deadline, bool measured)
{
    ++m_ends[static_cast<std::size_t>(end)];
    Second &second = secondAt(due);
    ++second.offered;
    if (end != End::Whole && end != End::Partial) {
        return;
    }
    const bool late = latency > deadline + LateMargin;
    m_late += late ? 1 : 0;
    second.good += late ? 0 : 1;
    second.whole += end == End::Whole && !late ? 1 : 0;
    second.slowest = std::max(second.slowest, latency);
    if (measured) {
        m_latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
    }
}

void Tally::add(const Tally &other)
{
    for (std::size_t index = 0; index < m_ends.size(); ++index) {
        m_ends[index] += other.m_ends[index];
    }
    m_late += other.m_late;
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
    for (std::size_t index = 0; index < other.m_seconds.size(); ++index) {
        Second &second = secondAt(std::chrono::seconds(index));
        second.offered += other.m_seconds[index].offered;
        second.good += other.m_seconds[index].good;
        second.whole += other.m_seconds[index].whole;
        second.slowest = std::max(second.slowest, other.m_seconds[index].slowest);
    }
    m_coverageSum += other.m_coverageSum;
    m_coverageCount += other.m_coverageCount;
}

void Tally::addCoverage(double ratio)
{
    m_coverageSum += ratio;
    ++m_coverageCount;
}

json Tally::summary() const
{
    const auto count = [&](End end) {
        return m_ends[static_cast<std::size_t>(end)];
    };
    std::vector<double> sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    std::uint64_t queries = 0;
    for (const std::uint64_t ends : m_ends) {
        queries += ends;
    }
    json offered = json::array();
    json good = json::array();
    json whole = json::array();
    json slowest = json::array();
    for (const Second &second : m_seconds) {
        offered.push_back(second.offered);
        good.push_back(second.good);
        whole.push_back(second.whole);
        slowest.push_back(std::chrono::duration<double, std::milli>(second.slowest).count());
    }
    return {
        {"queries", queries},
        {"answered", queries - count(End::Lost) - count(End::Unknown)},
        {"whole", count(End::Whole)},
        {"partial", count(End::Partial)},
        {"refused", count(End::Refused)},
        {"failed", count(End::Failed)},
        {"wrong", count(End::Wrong)},
        {"silent_partial", count(End::SilentPartial)},
        {"lost", count(End::Lost)},
        {"unknown", count(End::Unknown)},
        {"late", m_late},
        {"p50_ms", quantile(sorted, 0.5)},
        {"p95_ms", quantile(sorted, 0.95)},
        {"p99_ms", quantile(sorted, 0.99)},
        {"coverage", m_coverageCount == 0 ? 0.0 : m_coverageSum / static_cast<double>(m_coverageCount)},
        {"whole_by_second", whole},
        {"slowest_ms_by_second", slowest},
        {"offered_by_second", offered},
        {"good_by_second", good},
    };
}
}
