#include "tests/platform/soak/callers.h"

#include "tests/platform/soak/answercheck.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr std::size_t Clients = 10;
constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr Duration DirectoryTimeout = std::chrono::seconds(1);
constexpr Duration ProbePeriod = std::chrono::milliseconds(150);
constexpr Duration ProbeDeadline = std::chrono::seconds(2);
constexpr Duration Deadline = std::chrono::seconds(3);
constexpr Duration LongestPatience = std::chrono::milliseconds(300);
// Bounds of the users' pages (config-apply-ms, downgrade-slack-ms), and how many closed connections they allow.
constexpr Duration ConfigurationBound = std::chrono::seconds(3);
constexpr Duration DowngradeSlack = std::chrono::milliseconds(250);
constexpr unsigned AllowedLost = 3;
constexpr double PaymentShare = 0.2;
constexpr double LookupShare = 0.4;
}

Callers::Callers(Deployment &deployment, double requestsPerSecond, std::uint64_t seed)
    : m_deployment(deployment)
    , m_rate(requestsPerSecond)
    , m_random(seed)
    , m_clients(Clients)
    , m_client(deployment.loop(),
               {[](AttemptId, const UpstreamResponse &) {
                    return true;
                },
                [this](AttemptId attempt, const UpstreamResponse &response) {
                    replied(attempt, response);
                },
                [this](AttemptId attempt, const Failure &failure, bool sent) {
                    failed(attempt, failure, sent);
                },
                [](const std::string &) {
                }})
{
    for (std::size_t client = 0; client < m_clients.size(); ++client) {
        m_clients[client].dataCentre = "centre-" + std::to_string(client % 2);
    }
    arrive();
    probeVersions();
}

void Callers::setLeavingShare(double share)
{
    m_leavingShare = share;
}

void Callers::setRate(double requestsPerSecond)
{
    m_rate = requestsPerSecond;
}

void Callers::stop()
{
    m_stopped = true;
}

std::size_t Callers::finished() const
{
    return m_finished;
}

std::size_t Callers::served() const
{
    return m_served;
}

void Callers::resetCounts()
{
    m_finished = 0;
    m_served = 0;
}

bool Callers::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

std::string Callers::newId()
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(m_random()));
    return text.data();
}

void Callers::arrive()
{
    if (m_stopped) {
        return;
    }
    const std::size_t client = m_random() % m_clients.size();
    const double kind = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    const char *prefix = kind < PaymentShare ? "/payment/" : kind < PaymentShare + LookupShare ? "/lookup/" : "/catalogue/";
    request(client, prefix + std::to_string(m_random() % 1000), Clock::now() + Deadline, 1, chance(0.2));
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(m_rate)(m_random));
    m_deployment.loop().callAt(Clock::now() + std::chrono::duration_cast<Duration>(gap), [this] {
        arrive();
    });
}

void Callers::askDirectory(std::size_t number)
{
    Client &client = m_clients[number];
    if (client.asking) {
        return;
    }
    client.asking = true;
    const Host &host = m_deployment.hosts()[m_random() % m_deployment.hosts().size()];
    const AttemptId attempt{++m_lastCall};
    Call call;
    call.kind = CallKind::Directory;
    call.client = number;
    m_calls[attempt] = call;
    const std::string address = host.process->directoryAddress();
    const std::string target = "/quetzallift/resolution?name=soak.example&region=" + client.dataCentre + "&zone=" + client.dataCentre;
    m_client.send({attempt, "directory@" + address, address, [target, address] {
                       return OutgoingRequest{"GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n", nullptr};
                   }});
    m_deployment.loop().callAt(Clock::now() + DirectoryTimeout, [this, attempt] {
        leave(attempt);
    });
}

void Callers::request(std::size_t number, const std::string &target, TimePoint deadline, unsigned retries, bool newConnection)
{
    Client &client = m_clients[number];
    if (Clock::now() >= client.keptUntil) {
        askDirectory(number);
    }
    if (client.addresses.empty()) {
        return;
    }
    const std::string hostAddress = client.addresses[m_random() % client.addresses.size()];
    SentRequest sent;
    sent.id = newId();
    sent.target = target;
    sent.idempotent = !target.starts_with("/payment/");
    sent.maxAttempts = MaximumAttempts;
    sent.host = m_deployment.hostAt(hostAddress);
    sent.sentAt = Clock::now();
    Call call;
    call.client = number;
    call.request = sent.id;
    call.deadline = deadline;
    call.retriesLeft = retries;
    const Configuration &newest = m_deployment.configurations().newest();
    if (target.starts_with("/catalogue/")) {
        for (unsigned shard = 0; shard < shardsIn(newest.shardSet); ++shard) {
            m_deployment.ledger().noteDemand(shardName(newest.shardSet, shard), sent.sentAt);
        }
    } else {
        m_deployment.ledger().noteDemand(sent.idempotent ? newest.lookupService : "desk", sent.sentAt);
    }
    const std::string key = newConnection ? sent.id : std::to_string(number) + "@" + hostAddress;
    send(call, sent, key, m_deployment.clientLinkOf(hostAddress));
}

void Callers::send(const Call &call, const SentRequest &sent, const std::string &key, const std::string &address)
{
    m_deployment.ledger().noteSent(sent);
    const AttemptId attempt{++m_lastCall};
    m_calls[attempt] = call;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - Clock::now());
    const std::string text = "GET " + sent.target + " HTTP/1.1\r\nHost: " + ClientHost + "\r\nRequest-Id: " + sent.id
                             + "\r\nDeadline-Ms: " + std::to_string(std::max<std::int64_t>(1, left.count())) + "\r\n\r\n";
    m_client.send({attempt, key, address, [text] {
                       return OutgoingRequest{text, nullptr};
                   }});
    TimePoint until = call.deadline;
    if (call.kind == CallKind::Request && chance(m_leavingShare)) {
        until = Clock::now() + Duration(static_cast<Duration::rep>(m_random() % LongestPatience.count()));
    }
    m_deployment.loop().callAt(until, [this, attempt] {
        leave(attempt);
    });
}

void Callers::leave(AttemptId attempt)
{
    const auto found = m_calls.find(attempt);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = found->second;
    m_calls.erase(found);
    m_client.cancel(attempt);
    if (call.kind == CallKind::Directory) {
        m_clients[call.client].asking = false;
    } else {
        m_deployment.ledger().noteLeft(call.request, Clock::now());
    }
    m_finished += call.kind == CallKind::Request && Clock::now() >= call.deadline ? 1 : 0;
}

void Callers::replied(AttemptId attempt, const UpstreamResponse &response)
{
    const auto found = m_calls.find(attempt);
    const Call call = found->second;
    m_calls.erase(found);
    if (call.kind == CallKind::Directory) {
        takeAddresses(call.client, response);
        return;
    }
    RequestLedger &ledger = m_deployment.ledger();
    const SentRequest &sent = *ledger.request(call.request);
    const bool served = checkAnswer(ledger, m_deployment.configurations(), sent, response);
    if (call.kind == CallKind::VersionProbe) {
        takeVersion(call, response);
        return;
    }
    if (served || call.retriesLeft == 0 || !(sent.idempotent || promisesNotRun(response.status))) {
        ++m_finished;
        m_served += served ? 1 : 0;
        return;
    }
    const std::string pause = std::string(response.header("Retry-After"));
    const std::chrono::duration<double> asked(pause.empty() ? 0.0 : std::strtod(pause.c_str(), nullptr));
    retry(call, std::min<Duration>(std::chrono::duration_cast<Duration>(asked), (call.deadline - Clock::now()) / 3));
}

void Callers::failed(AttemptId attempt, const Failure &failure, bool)
{
    const auto found = m_calls.find(attempt);
    const Call call = found->second;
    m_calls.erase(found);
    if (call.kind == CallKind::Directory) {
        m_clients[call.client].asking = false;
        return;
    }
    const SentRequest &sent = *m_deployment.ledger().request(call.request);
    if (failure.kind == FailureKind::BadReply) {
        m_deployment.ledger().violation("MIXED", "the answer to " + sent.id + " cannot be read: " + failure.detail);
    }
    if (call.kind == CallKind::VersionProbe) {
        return;
    }
    noteLost(call);
    if (sent.idempotent && call.retriesLeft > 0) {
        retry(call, Duration::zero());
    } else {
        ++m_finished;
    }
}

void Callers::noteLost(const Call &call)
{
    RequestLedger &ledger = m_deployment.ledger();
    const std::size_t number = ledger.request(call.request)->host;
    const Host &host = m_deployment.hosts()[number];
    // A host in a planned stop must still answer what it passed on; any other host must be in touch to be judged.
    const bool judged = host.stopping ? host.calm.lasted(std::chrono::seconds(5)) && !host.killed : m_deployment.inTouch(number);
    if (!judged || !ledger.hasRun(call.request)) {
        return;
    }
    if (host.stopping || ++m_lost > AllowedLost) {
        ledger.violation("LOST", call.request + " was passed on by " + host.process->place().name + ", which closed the connection without an answer");
    }
}

void Callers::retry(const Call &call, Duration pause)
{
    const std::string target = m_deployment.ledger().request(call.request)->target;
    m_deployment.loop().callAt(Clock::now() + pause, [this, call, target] {
        if (Clock::now() < call.deadline) {
            request(call.client, target, call.deadline, call.retriesLeft - 1, true);
        } else {
            ++m_finished;
        }
    });
}

void Callers::takeAddresses(std::size_t number, const UpstreamResponse &response)
{
    Client &client = m_clients[number];
    client.asking = false;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != Ok || !body.is_object() || body.value("addrs", nlohmann::json::array()).empty()) {
        return;
    }
    client.addresses = body["addrs"].get<std::vector<std::string>>();
    const std::chrono::seconds keep(body.value("ttl_s", 1));
    // Some clients keep answers three times as long as they are told.
    client.keptUntil = Clock::now() + keep * (number % 3 == 0 ? 3 : 1);
}

void Callers::probeVersions()
{
    if (m_stopped) {
        return;
    }
    const std::size_t number = m_random() % m_deployment.hosts().size();
    const Host &host = m_deployment.hosts()[number];
    const std::uint64_t version = m_deployment.configurations().newest().version;
    SentRequest sent;
    sent.id = newId();
    sent.target = Configurations::versionPath(version) + "probe";
    sent.maxAttempts = MaximumAttempts;
    sent.host = number;
    sent.sentAt = Clock::now();
    m_deployment.ledger().noteDemand("desk", sent.sentAt);
    Call call;
    call.kind = CallKind::VersionProbe;
    call.request = sent.id;
    call.deadline = Clock::now() + ProbeDeadline;
    call.version = version;
    call.host = number;
    call.incarnation = host.process->incarnation();
    send(call, sent, sent.id, m_deployment.clientLinkOf(host.process->clientAddress()));
    m_deployment.loop().callAt(Clock::now() + ProbePeriod, [this] {
        probeVersions();
    });
}

void Callers::takeVersion(const Call &call, const UpstreamResponse &response)
{
    Host &host = m_deployment.hosts()[call.host];
    const SentRequest &sent = *m_deployment.ledger().request(call.request);
    const Configuration &newest = m_deployment.configurations().newest();
    if (call.incarnation != host.process->incarnation()) {
        return;
    }
    if (response.status == Ok) {
        if (call.version > host.servedVersion) {
            host.servedVersion = call.version;
            host.servedAt = Clock::now();
        }
        return;
    }
    // The route is there in this version and in the one after it.
    if (response.status != NotFound || newest.version > call.version + 1) {
        return;
    }
    if (host.servedVersion >= call.version && sent.sentAt > host.servedAt + DowngradeSlack) {
        m_deployment.ledger().violation("CONFIG", host.process->place().name + " served version " + std::to_string(call.version) + " and refuses it later");
    }
    const bool due = newest.version == call.version && sent.sentAt > newest.acknowledgedAt + ConfigurationBound;
    if (m_deployment.options().timed && due && m_deployment.inTouch(call.host)) {
        m_deployment.ledger().violation("CONFIG", host.process->place().name + " does not serve version " + std::to_string(call.version) + " in time");
    }
}
}
