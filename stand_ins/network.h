#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <random>
#include <string>

namespace StandIns
{
// The links between data centres, as searchers see them: loopback has neither delay nor loss of its own.
class Network
{
public:
    // Reads "sources" (data centre by prefix of the IP number), "delays_ms" (one way, by searcher's and by host's data
    // centre), "jitter" and "loss"; absent fields keep their values.
    void update(const nlohmann::json &settings);

    // The data centre of "ip:port", or empty if no prefix matches.
    const std::string &dataCentreOf(const std::string &address) const;

    // One crossing of the link between two data centres.
    Quetzallift::Duration crossing(const std::string &from, const std::string &to, std::mt19937_64 &random) const;

private:
    std::map<std::string, std::string> m_sources;
    std::map<std::string, std::map<std::string, double>> m_delaysMs;
    // The largest share by which a crossing takes longer than the delay.
    double m_jitter = 0.2;
    // The share of crossings that lose a packet and wait for TCP to send it again.
    double m_loss = 0.0;
};
}
