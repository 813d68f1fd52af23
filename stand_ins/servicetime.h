#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <random>

namespace StandIns
{
// How long a searcher works on one sub-request: a log-normal time around a median, and a share of slow ones.
class ServiceTime
{
public:
    // Reads "service_ms", "service_sigma", "slow_share", "slow_from" and "slow_to"; absent fields keep their values.
    void update(const nlohmann::json &settings);

    Quetzallift::Duration draw(std::mt19937_64 &random) const;

private:
    std::chrono::duration<double, std::milli> m_median{2.0};
    // Spread of the natural logarithm of the time.
    double m_sigma = 0.1;
    // The share of replies that take between m_slowFrom and m_slowTo times as long.
    double m_slowShare = 0.0;
    double m_slowFrom = 10.0;
    double m_slowTo = 20.0;
};
}
