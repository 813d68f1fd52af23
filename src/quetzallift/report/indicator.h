#pragma once

#include "quetzallift/model/servicecounts.h"
#include "quetzallift/model/time.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Quetzallift
{
// What an objective limits.
enum class Indicator {
    Latency,
    Coverage,
    Refusals,
};

const char *toString(Indicator indicator);

// How urgent a burn is.
enum class BurnAlert {
    None,
    // The budget runs out within days.
    Ticket,
    // The budget runs out within hours.
    Page,
};

const char *toString(BurnAlert alert);

// The answers in a span of time and the number of them that miss an objective.
struct BurnSpan {
    std::chrono::minutes span{};
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    // The ratio of bad answers divided by the ratio that the objective allows.
    double rate = 0.0;
};

// The burn of one objective.
struct IndicatorReport {
    Indicator indicator = Indicator::Latency;
    // The ratio of answers that may miss the objective.
    double allowed = 0.0;
    // Spans of 5 min, 30 min, 1 h, 6 h and 3 days.
    std::vector<BurnSpan> spans;
    BurnAlert alert = BurnAlert::None;
    // The fraction of the 3-day error budget that is left; negative if the budget is overspent.
    double budgetLeft = 1.0;
    // The time until the budget runs out at the rate of the last hour; empty if that rate is 0,
    // 0 if the budget is used up.
    std::optional<std::chrono::minutes> exhaustedIn;
};

// The number of answers that miss the objective of an indicator.
std::uint64_t badAnswers(Indicator indicator, const ServiceCounts &counts);
}
