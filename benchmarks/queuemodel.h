#pragma once

#include "quetzallift/core/effect.h"
#include "quetzallift/core/event.h"
#include "quetzallift/core/state.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace QueueModel
{
using Quetzallift::Duration;
using Quetzallift::TimePoint;

// The size and speed of what a model runs.
struct ModelSettings {
    std::uint64_t seed = 1;
    std::size_t hosts = 2;
    std::size_t searchers = 24;
    std::size_t shards = 16;
    std::size_t replicas = 3;
    // Searchers and hosts are spread over the data centres in turn.
    std::vector<std::string> dataCentres = {"kingston-a"};
    unsigned slots = 2;
    unsigned connectionLimit = 25;
    // Sub-requests that a searcher holds beyond its slots before it sheds.
    std::size_t queueLimit = 20;
    // Mean of the exponentially distributed time in a slot.
    Duration serviceTime = std::chrono::milliseconds(4);
    Duration nearDelay = std::chrono::microseconds(200);
    Duration farDelay = std::chrono::milliseconds(10);
    Duration deadline = std::chrono::milliseconds(200);
    Quetzallift::Hooks hooks;
};

// How one query ended.
struct Outcome {
    std::string caller;
    TimePoint arrivedAt;
    Duration latency = Duration::zero();
    Quetzallift::AnswerStatus status = Quetzallift::AnswerStatus::Failed;
};

// Hosts that run the reducer against searchers with slots and a queue, in simulated time. Everything follows from the
// seed.
class Model
{
public:
    explicit Model(ModelSettings settings);

    // Queries of a caller at random times with this rate per second between two instants after the start.
    void offer(const std::string &caller, double rate, Duration from, Duration to);

    // Calls back at an instant after the start, for instance to inject a fault.
    void at(Duration time, std::function<void()> action);

    // Runs until this time after the start.
    void run(Duration until);

    // Whole answers per second among queries that arrived between two instants; all callers if the name is empty.
    double goodput(Duration from, Duration to, const std::string &caller = {}) const;

    // The latency quantile of whole answers to queries that arrived between two instants.
    Duration quantile(double rank, Duration from, Duration to, const std::string &caller = {}) const;

    // Replies of searchers in a data centre are lost while this is set.
    void cutOff(const std::string &dataCentre, bool isCutOff);

    // Multiplies the service time of one searcher.
    void slowDown(std::size_t searcher, double factor);

    // Queries that the searchers can serve a second, if all slots are always busy.
    double capacity() const;

    // Sub-requests received by searchers, and the share of them that went to another data centre than the host's.
    std::uint64_t received() const;
    double farShare() const;
    std::uint64_t shedCount() const;

    // Amounts counted by the hosts, by metric and label.
    const std::map<std::pair<Quetzallift::Metric, std::string>, double> &counts() const;

private:
    struct Work {
        std::size_t host = 0;
        Quetzallift::SendSubRequest request;
    };

    struct SearcherModel {
        std::string dataCentre;
        std::deque<Work> queue;
        std::map<std::pair<std::size_t, std::uint64_t>, Work> running;
        double slowness = 1.0;
        bool cutOff = false;
    };

    struct Step {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Step &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(TimePoint time, std::function<void()> action);
    void publish();
    void apply(std::size_t host, Quetzallift::EventBody body);
    void carryOut(std::size_t host, const Quetzallift::Effect &effect);
    void send(std::size_t host, const Quetzallift::SendSubRequest &request);
    void receive(const std::string &searcher, const Work &work);
    void cancel(std::size_t host, Quetzallift::AttemptId attempt);
    void startNext(const std::string &searcher);
    void finish(const std::string &searcher, std::pair<std::size_t, std::uint64_t> key);
    void reply(const std::string &searcher, const Work &work, Quetzallift::SubReplyStatus status);
    void endAttempt(std::size_t host, Quetzallift::AttemptId attempt, Quetzallift::EventBody event);
    void arrive(const std::string &caller);
    void record(std::size_t host, const Quetzallift::SendAnswer &answer);
    void nextArrival(const std::string &caller, double rate, TimePoint end);
    Duration delay(std::size_t host, const std::string &searcher) const;
    const std::string &dataCentreOf(std::size_t index) const;
    std::vector<const Outcome *> select(Duration from, Duration to, const std::string &caller) const;

    ModelSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> m_steps;
    std::vector<std::unique_ptr<Quetzallift::State>> m_hosts;
    std::map<std::string, SearcherModel> m_searchers;
    // The searcher of each attempt that its host still waits for.
    std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_attempts;
    std::unordered_map<std::uint64_t, Outcome> m_open;
    std::vector<Outcome> m_outcomes;
    std::uint64_t m_lastQuery = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_far = 0;
    std::uint64_t m_shed = 0;
    std::map<std::pair<Quetzallift::Metric, std::string>, double> m_counts;
};
}
