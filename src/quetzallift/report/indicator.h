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

// The answers in a span of time and those that miss an objective.
struct BurnSpan {
    std::chrono::minutes span{};
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    // The share of bad answers over the share that the objective allows.
    double rate = 0.0;
};

// One objective's burn.
struct IndicatorReport {
    Indicator indicator = Indicator::Latency;
    // The share of answers that may miss the objective.
    double allowed = 0.0;
    // Spans of 5 min, 30 min, 1 h, 6 h and 3 days.
    std::vector<BurnSpan> spans;
    BurnAlert alert = BurnAlert::None;
    // Part of the 3-day budget that is left; negative if it is overspent.
    double budgetLeft = 1.0;
    // When the budget runs out at the rate of the last hour, if it does.
    std::optional<std::chrono::minutes> exhaustedIn;
};

// The answers that miss the objective of an indicator.
std::uint64_t badAnswers(Indicator indicator, const ServiceCounts &counts);
}
