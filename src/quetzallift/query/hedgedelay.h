#pragma once

#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
class LatencyEstimate;
struct BackEndPolicy;

// The tail of the observed latencies, or a third of the latency target until the tail is known.
std::optional<Duration> adaptiveHedgeDelay(const LatencyEstimate &latency, const BackEndPolicy &policy);
}
