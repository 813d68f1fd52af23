#pragma once

#include "quetzallift/core/effect.h"

#include <memory>
#include <string>

namespace Quetzallift
{
// The counters of one process. Any thread may count; no decision reads them.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(const CountMetric &effect);

    // Records the time from a query's arrival to its answer.
    void observeLatency(Duration latency);

    // Records the time from the decision to send a sub-request to its first byte on the connection.
    void observeSendDelay(Duration delay);

    // All metrics in the Prometheus text format.
    std::string page() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};
}
