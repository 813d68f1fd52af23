#include "quetzallift/report/indicator.h"

namespace Quetzallift
{
const char *toString(Indicator indicator)
{
    switch (indicator) {
    case Indicator::Latency:
        return "latency";
    case Indicator::Coverage:
        return "coverage";
    case Indicator::Refusals:
        return "refusals";
    }
    return "unknown";
}

const char *toString(BurnAlert alert)
{
    switch (alert) {
    case BurnAlert::None:
        return "ok";
    case BurnAlert::Ticket:
        return "ticket";
    case BurnAlert::Page:
        return "page";
    }
    return "unknown";
}

std::uint64_t badAnswers(Indicator indicator, const ServiceCounts &counts)
{
    switch (indicator) {
    case Indicator::Latency:
        return counts.slow;
    case Indicator::Coverage:
        return counts.uncovered;
    case Indicator::Refusals:
        return counts.refused;
    }
    return 0;
}
}
