#pragma once

#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
class LatencyEstimate;
struct BackEndPolicy;

// The tail of the observed latencies, or a share of the latency target until it is known.
std::optional<Duration> learnedHedgeDelay(const LatencyEstimate &latency, const BackEndPolicy &policy);
}
