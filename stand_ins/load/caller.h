#pragma once

#include "quetzallift/edge/httpclient.h"
#include "stand_ins/load/addressbook.h"
#include "stand_ins/load/plan.h"
#include "stand_ins/load/tally.h"

#include <memory>
#include <random>

namespace Load
{
class Checker;

// Sends the queries of one caller and judges what comes back.
class Caller
{
public:
    Caller(Quetzallift::EventLoop &loop, const Plan &plan, CallerPlan settings, const Checker &checker, std::uint64_t seed);

    // Calls back once addresses are known.
    void start(std::function<void()> ready);

    // Sends queries from the given time on and calls back when all have ended.
    void run(Quetzallift::TimePoint start, std::function<void()> done);

    const CallerPlan &settings() const;
    const Tally &tally() const;

private:
    struct Query;
    using QueryPtr = std::shared_ptr<Query>;

    void scheduleNext();
    // The rate at a time since the start; zero once the phases are over.
    double rateAt(Quetzallift::Duration sinceStart) const;
    void sendNew();
    void send(const QueryPtr &query);
    void handleResult(const QueryPtr &query, const std::string &host, const Quetzallift::HttpResult &result);
    void handleClosed(const QueryPtr &query, const std::string &host);
    void end(const QueryPtr &query, End end);
    End judge(const Query &query, const std::string &body);

    Quetzallift::EventLoop &m_loop;
    CallerPlan m_settings;
    Quetzallift::Duration m_warmUp;
    const Checker &m_checker;
    std::mt19937_64 m_random;
    std::string m_runName;
    Quetzallift::HttpClient m_client;
    AddressBook m_addresses;
    Tally m_tally;
    Quetzallift::TimePoint m_start;
    Quetzallift::Duration m_nextDue = Quetzallift::Duration::zero();
    std::uint64_t m_lastQuery = 0;
    std::uint64_t m_open = 0;
    bool m_finished = false;
    std::function<void()> m_done;
};
}
