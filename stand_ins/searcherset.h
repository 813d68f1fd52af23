#pragma once

#include "stand_ins/network.h"
#include "stand_ins/searcher.h"
#include "stand_ins/searchercounts.h"

#include <memory>
#include <vector>

namespace StandIns
{
// The searchers of one process, and the address at which they are controlled.
class SearcherSet
{
public:
    SearcherSet(Quetzallift::EventLoop &loop, const nlohmann::json &settings);

private:
    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void change(const nlohmann::json &request);
    nlohmann::json counts() const;

    Network m_network;
    SearcherCounts m_counts;
    std::vector<std::unique_ptr<Searcher>> m_searchers;
    Quetzallift::HttpServer m_server;
};
}
