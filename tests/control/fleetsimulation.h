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

// Drives the control states of a few hosts by one queue of events, with a network and a platform that fail on request.
class FleetSimulation
{
public:
    // One process under a host name. A paused process gets its events once it goes on.
    struct Host {
        Quetzallift::State state;
        std::uint64_t process = 0;
        bool paused = false;
        Quetzallift::TimePoint wentOnAt;
        std::vector<Quetzallift::Event> held;
        // What its traffic thread follows.
        Quetzallift::ControlSnapshotPtr snapshot;
        std::optional<int> exitCode;
    };

    explicit FleetSimulation(std::uint64_t seed);

    void start(const std::string &name);
    // Ends the process without any message. The platform's host list shows it for a while longer.
    void kill(const std::string &name);
    void pause(const std::string &name);
    void goOn(const std::string &name);
    void stop(const std::string &name);
    // Writes a rollout into the platform.
    void roll();
    // Lets time pass; the check runs after every event.
    void run(Quetzallift::Duration duration);

    Quetzallift::TimePoint now() const
    {
        return m_now;
    }

    std::map<std::string, Host> hosts;
    // Probability with which a message is lost, or sent twice.
    double loss = 0;
    bool platformDown = false;
    Quetzallift::Duration platformDelay = std::chrono::milliseconds(5);
    // Every this many writes take effect without an answer; 0 for none.
    unsigned lostWriteAnswers = 0;
    // Hosts on different sides cannot reach each other; all are on side 0 at first.
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
    void carryOut(const std::string &name, const Quetzallift::Effect &effect);
    void send(const std::string &from, const Quetzallift::SendPeerMessage &effect);
    void call(const std::string &name, const Quetzallift::CallPlatform &effect);
    Quetzallift::PlatformReply answer(const Quetzallift::PlatformRequest &request);
    Quetzallift::PlatformReply write(const Quetzallift::PlatformRequest &request);
    Quetzallift::PlatformReply listHosts() const;
    double draw();

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
