#include "stand_ins/servicetime.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace StandIns
{
using namespace Quetzallift;

void ServiceTime::update(const nlohmann::json &settings)
{
    m_median = std::chrono::duration<double, std::milli>(settings.value("service_ms", m_median.count()));
    m_sigma = settings.value("service_sigma", m_sigma);
    m_slowShare = settings.value("slow_share", m_slowShare);
    m_slowFrom = settings.value("slow_from", m_slowFrom);
    m_slowTo = settings.value("slow_to", m_slowTo);
}

Duration ServiceTime::draw(std::mt19937_64 &random) const
{
    auto time = m_median * std::exp(m_sigma * std::normal_distribution<double>()(random));
    if (std::bernoulli_distribution(m_slowShare)(random)) {
        time *= std::uniform_real_distribution<double>(m_slowFrom, m_slowTo)(random);
    }
    return std::chrono::duration_cast<Duration>(time);
}
}
