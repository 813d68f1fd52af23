#include "stand_ins/network.h"

#include <nlohmann/json.hpp>

namespace StandIns
{
using namespace Quetzallift;

namespace
{
// The smallest retransmission timeout of Linux TCP.
constexpr std::chrono::milliseconds RetransmissionTimeout{200};
}

void Network::update(const nlohmann::json &settings)
{
    m_sources = settings.value("sources", m_sources);
    m_delaysMs = settings.value("delays_ms", m_delaysMs);
    m_jitter = settings.value("jitter", m_jitter);
    m_loss = settings.value("loss", m_loss);
}

const std::string &Network::dataCentreOf(const std::string &address) const
{
    static const std::string unknown;
    for (const auto &[prefix, dataCentre] : m_sources) {
        if (address.starts_with(prefix)) {
            return dataCentre;
        }
    }
    return unknown;
}

Duration Network::crossing(const std::string &from, const std::string &to, std::mt19937_64 &random) const
{
    const auto row = m_delaysMs.find(from);
    if (row == m_delaysMs.end() || !row->second.contains(to)) {
        return Duration::zero();
    }
    const double factor = std::uniform_real_distribution<double>(1.0, 1.0 + m_jitter)(random);
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(row->second.at(to) * factor));
    const bool lost = from != to && std::bernoulli_distribution(m_loss)(random);
    return lost ? delay + RetransmissionTimeout : delay;
}
}
