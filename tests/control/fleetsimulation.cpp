#include "tests/control/fleetsimulation.h"

#include "quetzallift/core/reduce.h"

#include <utility>

using namespace Quetzallift;

namespace
{
constexpr Duration HostListDelay = std::chrono::seconds(20);

std::string peerAddressOf(const std::string &name)
{
    return name + ":peer";
}

BundlePtr makeBundle()
{
    RefPtr<Bundle> bundle(new Bundle);
    bundle->digest = "d";
    BackEnd backEnd;
    backEnd.name = "guide-app";
    for (const auto &[address, limit] : {std::pair{"s1", 25U}, std::pair{"s2", 40U}, std::pair{"s3", 3U}}) {
        Searcher searcher;
        searcher.address = address;
        searcher.connectionLimit = limit;
        backEnd.searchers[address] = searcher;
    }
    bundle->backEnds[backEnd.name] = backEnd;
    return bundle;
}
}

FleetSimulation::FleetSimulation(std::uint64_t seed)
    : m_random(seed)
{
    roll();
}

void FleetSimulation::start(const std::string &name)
{
    Host &host = hosts[name] = Host{};
    host.process = ++m_starts;
    HostIdentity &self = host.state.control.self;
    self.name = name;
    self.address = name + ":http";
    self.peerAddress = peerAddressOf(name);
    self.dataCentre = "kingston-a";
    self.peers = {"a:peer", "b:peer"};
    host.state.hooks.random = [this] {
        return m_random();
    };
    host.state.hooks.wallNow = [process = host.process] {
        return WallTime(std::chrono::seconds(process));
    };
    m_listedUntil[name] = TimePoint::max();
    post(name, Duration::zero(), Started{});
}

void FleetSimulation::kill(const std::string &name)
{
    if (hosts.erase(name) > 0) {
        m_listedUntil[name] = m_now + HostListDelay;
    }
}

void FleetSimulation::pause(const std::string &name)
{
    if (hosts.contains(name)) {
        hosts.at(name).paused = true;
    }
}

void FleetSimulation::resume(const std::string &name)
{
    if (!hosts.contains(name) || !hosts.at(name).paused) {
        return;
    }
    hosts.at(name).paused = false;
    hosts.at(name).resumedAt = m_now;
    for (Event &event : std::exchange(hosts.at(name).queuedEvents, {})) {
        post(name, Duration::zero(), std::move(event.body));
    }
}

void FleetSimulation::stop(const std::string &name)
{
    if (hosts.contains(name)) {
        post(name, Duration::zero(), StopRequested{});
    }
}

void FleetSimulation::roll()
{
    RolloutRecord rollout;
    rollout.generation.value = ++m_generation;
    rollout.digest = "d";
    m_objects["rollout"] = {++m_version, rollout};
    m_objects["bundle/d"] = {1, makeBundle()};
}

void FleetSimulation::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Pending pending = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, pending.at);
        const auto found = hosts.find(pending.host);
        if (found == hosts.end() || found->second.process != pending.process || found->second.exitCode) {
            continue;
        }
        if (found->second.paused) {
            found->second.queuedEvents.push_back({pending.at, pending.body});
            continue;
        }
        apply(found->second, pending.host, pending.body);
        check();
    }
    m_now = end;
}

void FleetSimulation::post(const std::string &host, Duration delay, EventBody body)
{
    const auto found = hosts.find(host);
    if (found != hosts.end()) {
        m_queue.push({m_now + delay, ++m_order, host, found->second.process, std::move(body)});
    }
}

void FleetSimulation::apply(Host &host, const std::string &name, const EventBody &body)
{
    for (const Effect &effect : reduce(host.state, Event{m_now, body})) {
        execute(name, effect);
    }
}

void FleetSimulation::execute(const std::string &name, const Effect &effect)
{
    Host &host = hosts.at(name);
    if (const auto *timer = std::get_if<StartTimer>(&effect)) {
        post(name, timer->at - m_now, TimerFired{timer->timer});
    } else if (const auto *message = std::get_if<SendPeerMessage>(&effect)) {
        send(name, *message);
    } else if (const auto *callEffect = std::get_if<CallPlatform>(&effect)) {
        call(name, *callEffect);
    } else if (const auto *publish = std::get_if<PublishControlSnapshot>(&effect)) {
        // The traffic thread keeps its connections for up to a second.
        post(name, std::chrono::milliseconds(m_random() % 1000), SharesApplied{0, publish->snapshot->sharesEpoch});
        host.snapshot = publish->snapshot;
    } else if (std::holds_alternative<StopTraffic>(effect)) {
        post(name, std::chrono::milliseconds(50), TrafficStopped{0, 0});
    } else if (std::holds_alternative<CutOffTraffic>(effect)) {
        post(name, std::chrono::milliseconds(1), TrafficStopped{0, 3});
    } else if (const auto *exit = std::get_if<Exit>(&effect)) {
        host.exitCode = exit->code;
        m_listedUntil[name] = m_now + HostListDelay;
    }
}

void FleetSimulation::send(const std::string &from, const SendPeerMessage &effect)
{
    ++messages;
    for (const auto &[name, host] : hosts) {
        const bool reachable = peerAddressOf(name) == effect.address && side[from] == side[name];
        const int copies = randomFraction() < loss ? 0 : (randomFraction() < loss ? 2 : 1);
        for (int copy = 0; reachable && copy < copies; ++copy) {
            // If messages are lost, one message in ten takes up to five seconds, so that messages are reordered.
            const auto delay = std::chrono::milliseconds(1 + m_random() % (loss > 0 && m_random() % 10 == 0 ? 5000 : 20));
            post(name, delay, PeerMessageArrived{peerAddressOf(from), effect.message});
        }
    }
}

void FleetSimulation::call(const std::string &name, const CallPlatform &effect)
{
    ++platformCalls;
    if (platformDown) {
        post(name, effect.request.timeout, PlatformReplied{effect.call, {}});
        return;
    }
    const bool watch = effect.request.verb == PlatformVerb::Watch;
    const bool changed = watch && m_objects[effect.request.object].version != effect.request.version;
    PlatformReply reply = answer(effect.request);
    post(name, watch && !changed ? std::chrono::seconds(1) : platformDelay, PlatformReplied{effect.call, std::move(reply)});
}

PlatformReply FleetSimulation::answer(const PlatformRequest &request)
{
    if (request.verb == PlatformVerb::Create || request.verb == PlatformVerb::Update) {
        return write(request);
    }
    if (request.verb == PlatformVerb::ReadHosts) {
        return listHosts();
    }
    const auto found = m_objects.find(request.object);
    if (found == m_objects.end()) {
        return {PlatformOutcome::NotApplied, 0, {}, {}};
    }
    return {PlatformOutcome::Applied, found->second.version, found->second.value, {}};
}

PlatformReply FleetSimulation::write(const PlatformRequest &request)
{
    const auto found = m_objects.find(request.object);
    const std::uint64_t present = found == m_objects.end() ? 0 : found->second.version;
    if (present != (request.verb == PlatformVerb::Create ? 0 : request.version)) {
        return {PlatformOutcome::NotApplied, 0, {}, {}};
    }
    m_objects[request.object] = {++m_version, request.value};
    const bool lost = lostWriteAnswers > 0 && ++m_writes % lostWriteAnswers == 0;
    return {lost ? PlatformOutcome::Unknown : PlatformOutcome::Applied, m_version, {}, {}};
}

PlatformReply FleetSimulation::listHosts() const
{
    HostListRecord list;
    for (const auto &[name, until] : m_listedUntil) {
        if (until > m_now) {
            list.hosts.push_back({name, name + ":http", peerAddressOf(name), "kingston-a", false});
        }
    }
    return {PlatformOutcome::Applied, 1, list, {}};
}

double FleetSimulation::randomFraction()
{
    return static_cast<double>(m_random() % 10000) / 10000.0;
}
