#pragma once

#include "quetzallift/core/effect.h"
#include "quetzallift/core/event.h"
#include "quetzallift/core/state.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

// Simulates the control states of several hosts with one event queue, and a network and a platform with injected faults.
class FleetSimulation
{
public:
    // One process under a host name. A paused process receives its queued events when it resumes.
    struct Host {
        Quetzallift::State state;
        std::uint64_t process = 0;
        bool paused = false;
        Quetzallift::TimePoint resumedAt;
        std::vector<Quetzallift::Event> queuedEvents;
        // The snapshot that its traffic thread uses.
        Quetzallift::ControlSnapshotPtr snapshot;
        std::optional<int> exitCode;
    };

    explicit FleetSimulation(std::uint64_t seed);

    void start(const std::string &name);
    // Ends the process without any message. The platform's host list names the host for a while longer.
    void kill(const std::string &name);
    void pause(const std::string &name);
    void resume(const std::string &name);
    void stop(const std::string &name);
    // Writes a rollout into the platform.
    void roll();
    // Advances the simulated time; the check runs after every event.
    void run(Quetzallift::Duration duration);

    Quetzallift::TimePoint now() const
    {
        return m_now;
    }

    std::map<std::string, Host> hosts;
    // Probability that a message is lost, and that one that is not lost is duplicated.
    double loss = 0;
    bool platformDown = false;
    Quetzallift::Duration platformDelay = std::chrono::milliseconds(5);
    // Every n-th successful write gets no answer; 0 if all writes are answered.
    unsigned lostWriteAnswers = 0;
    // Partition of each host. Hosts in different partitions cannot reach each other; all start in partition 0.
    std::map<std::string, int> side;
    std::function<void()> check = [] {
    };
    std::uint64_t messages = 0;
    std::uint64_t platformCalls = 0;

private:
    struct Pending {
        Quetzallift::TimePoint at;
        std::uint64_t order = 0;
        std::string host;
        std::uint64_t process = 0;
        Quetzallift::EventBody body;

        bool operator<(const Pending &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    struct Object {
        std::uint64_t version = 0;
        Quetzallift::PlatformValue value;
    };

    void post(const std::string &host, Quetzallift::Duration delay, Quetzallift::EventBody body);
    void apply(Host &host, const std::string &name, const Quetzallift::EventBody &body);
    void execute(const std::string &name, const Quetzallift::Effect &effect);
    void send(const std::string &from, const Quetzallift::SendPeerMessage &effect);
    void call(const std::string &name, const Quetzallift::CallPlatform &effect);
    Quetzallift::PlatformReply answer(const Quetzallift::PlatformRequest &request);
    Quetzallift::PlatformReply write(const Quetzallift::PlatformRequest &request);
    Quetzallift::PlatformReply listHosts() const;
    double randomFraction();

    std::mt19937_64 m_random;
    Quetzallift::TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_generation = 0;
    unsigned m_writes = 0;
    std::priority_queue<Pending> m_queue;
    std::map<std::string, Object> m_objects;
    std::map<std::string, Quetzallift::TimePoint> m_listedUntil;
};
