#pragma once

#include "quetzallift/edge/upstreamclient.h"
#include "tests/platform/soak/deployment.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Soak
{
// Clients that ask the hosts where to connect, keep the answer, send requests over kept and new connections, retry as the
// pages say, and sometimes leave early. What comes back is checked at once.
class Callers
{
public:
    Callers(Deployment &deployment, double requestsPerSecond, std::uint64_t seed);

    // The share of requests that end early because the client leaves.
    void setLeavingShare(double share);
    void setRate(double requestsPerSecond);
    void stop();

    std::size_t finished() const;
    std::size_t served() const;
    // Starts to count from zero.
    void resetCounts();

private:
    struct Client {
        std::string dataCentre;
        std::vector<std::string> addresses;
        Quetzallift::TimePoint keptUntil;
        bool asking = false;
    };
    enum class CallKind {
        Directory,
        Request,
        // Sent straight to one host to see which configuration it follows.
        VersionProbe,
    };
    struct Call {
        CallKind kind = CallKind::Request;
        std::size_t client = 0;
        std::string request;
        Quetzallift::TimePoint deadline;
        unsigned retriesLeft = 0;
        // For version probes: the version asked for, and the host's process that was asked.
        std::uint64_t version = 0;
        std::size_t host = 0;
        unsigned incarnation = 0;
    };

    void arrive();
    void probeVersions();
    void askDirectory(std::size_t client);
    void request(std::size_t client, const std::string &target, Quetzallift::TimePoint deadline, unsigned retries, bool newConnection);
    void send(const Call &call, const SentRequest &sent, const std::string &key, const std::string &address);
    void replied(Quetzallift::AttemptId attempt, const Quetzallift::UpstreamResponse &response);
    void failed(Quetzallift::AttemptId attempt, const Quetzallift::Failure &failure, bool sent);
    void leave(Quetzallift::AttemptId attempt);
    void takeAddresses(std::size_t client, const Quetzallift::UpstreamResponse &response);
    void takeVersion(const Call &call, const Quetzallift::UpstreamResponse &response);
    void retry(const Call &call, Quetzallift::Duration pause);
    void noteLost(const Call &call);
    std::string newId();
    bool chance(double share);

    Deployment &m_deployment;
    double m_rate;
    double m_leavingShare = 0.0;
    bool m_stopped = false;
    std::mt19937_64 m_random;
    std::vector<Client> m_clients;
    std::map<Quetzallift::AttemptId, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::size_t m_finished = 0;
    std::size_t m_served = 0;
    unsigned m_lost = 0;
    Quetzallift::UpstreamClient m_client;
};
}
