#include "stand_ins/searcherset.h"

namespace StandIns
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
// True if the selection names no field, or every field that it names has the searcher's value.
bool selects(const json &selection, const SearcherSettings &searcher)
{
    return selection.value("address", searcher.address) == searcher.address && selection.value("data_centre", searcher.dataCentre) == searcher.dataCentre
           && selection.value("back_end", searcher.backEnd) == searcher.backEnd;
}
}

SearcherSet::SearcherSet(EventLoop &loop, const json &settings)
    : m_server(loop, settings.at("control"), [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    })
{
    m_network.update(settings);
    auto seed = settings.value("seed", std::uint64_t{1});
    for (const json &item : settings.at("searchers")) {
        m_searchers.push_back(std::make_unique<Searcher>(loop, m_network, m_counts, item, ++seed));
    }
}

void SearcherSet::handle(const HttpExchangePtr &exchange)
{
    try {
        if (exchange->method() == "POST") {
            change(json::parse(exchange->body()));
        }
        exchange->respond(200, counts().dump());
    } catch (const std::exception &error) {
        exchange->respond(400, json{{"error", error.what()}}.dump());
    }
}

void SearcherSet::change(const json &request)
{
    m_network.update(request.value("network", json::object()));
    const json selection = request.value("select", json::object());
    const json set = request.value("set", json::object());
    for (const auto &searcher : m_searchers) {
        if (selects(selection, searcher->settings())) {
            searcher->control(set);
        }
    }
}

json SearcherSet::counts() const
{
    return {
        {"arrived", m_counts.arrived},
        {"ran", m_counts.ran},
        {"shed", m_counts.shed},
        {"cancelled", m_counts.cancelled},
        {"deadline_exceeded", m_counts.deadlineExceeded},
        {"refused_connections", m_counts.refusedConnections},
        {"opened_connections", m_counts.openedConnections},
        {"arrived_while_draining", m_counts.arrivedWhileDraining},
        {"once_runs", m_counts.onceRuns},
    };
}
}
