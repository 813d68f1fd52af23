#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace Soak
{
class RequestLedger;

// How a searcher treats the requests that reach it.
enum class SearcherCondition {
    Well,
    // Works many times as long.
    Slow,
    // Runs requests and fails some of them, with a signature.
    Failing,
    // Runs requests and closes the connection instead of some replies.
    LosingReplies,
    // Sends some replies with a body that is not the one it signed for this request.
    Crossing,
    // Says that it is full.
    Shedding,
    // Takes requests and never replies.
    Mute,
};

// A searcher by the platform's protocol. It runs a few requests at a time, records each in the ledger and replies with
// records that nobody else makes.
class BackEndSearcher
{
public:
    struct Place {
        std::string id;
        std::string service;
        std::string address;
        bool sharded = false;
    };

    BackEndSearcher(Quetzallift::EventLoop &loop, RequestLedger &ledger, Place place, std::uint64_t seed);
    ~BackEndSearcher();

    const Place &place() const;
    void setCondition(SearcherCondition condition);

    // When the store acknowledged that this searcher leaves or is gone. Requests that reach it much later are late.
    void noteLeaving(Quetzallift::TimePoint at);

    // Called for each request that is run after the searcher began to leave.
    std::function<void(const std::string &request, Quetzallift::Duration afterLeaving)> onLateArrival;

private:
    struct Work;
    using WorkPtr = std::shared_ptr<Work>;

    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void startNext();
    void finish(const WorkPtr &work);
    void reply(const WorkPtr &work);
    std::string makeBody();
    bool chance(double share);

    Quetzallift::EventLoop &m_loop;
    RequestLedger &m_ledger;
    Place m_place;
    std::mt19937_64 m_random;
    SearcherCondition m_condition = SearcherCondition::Well;
    std::optional<Quetzallift::TimePoint> m_leavingSince;
    unsigned m_running = 0;
    std::deque<WorkPtr> m_queue;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<Quetzallift::HttpServer> m_server;
};
}
