#include "tests/platform/soak/deployment.h"

#include <nlohmann/json.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace Soak
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
constexpr unsigned DataCentres = 2;
constexpr unsigned ReplicasOfShard = 2;
constexpr unsigned DeskSearchers = 3;
constexpr unsigned WebSearchers = 2;
constexpr unsigned FirstHostNumber = 10;
constexpr unsigned FirstSeatNumber = 100;
constexpr Duration ReapPeriod = std::chrono::milliseconds(20);
// Bounds of the users' pages (grace-period-s, stability-window-ms, drain-ms).
constexpr Duration GracePeriod = std::chrono::seconds(6);
constexpr Duration StabilityWindow = std::chrono::seconds(5);
constexpr Duration DrainBound = std::chrono::seconds(3);
// Loading the program and reading its settings, beside other work on the machine.
constexpr Duration StartTime = std::chrono::seconds(1);
constexpr Duration RestartPause = std::chrono::milliseconds(300);

std::string dataCentreName(std::size_t index)
{
    return "centre-" + std::to_string(index % DataCentres);
}
}

void Calm::begin()
{
    ++m_faults;
}

void Calm::end()
{
    --m_faults;
    m_since = Clock::now();
}

bool Calm::lasted(Duration length) const
{
    return m_faults == 0 && Clock::now() - m_since >= length;
}

Deployment::Deployment(EventLoop &loop, DeploymentOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    constexpr int Numbers = 250;
    const int process = getpid();
    m_network = "127." + std::to_string(1 + process % Numbers) + "." + std::to_string(process / Numbers % Numbers) + ".";
    m_store = std::make_unique<MetadataStore>(loop, m_network + "2:8200", m_options.seed);
    m_store->put("config", "main", m_configurations.newest().document());
    addSeats();
    addForeignEntries();
    addHosts();
    watchProcesses();
}

Deployment::~Deployment() = default;

EventLoop &Deployment::loop()
{
    return m_loop;
}

const DeploymentOptions &Deployment::options() const
{
    return m_options;
}

RequestLedger &Deployment::ledger()
{
    return m_ledger;
}

Configurations &Deployment::configurations()
{
    return m_configurations;
}

MetadataStore &Deployment::store()
{
    return *m_store;
}

Calm &Deployment::storeCalm()
{
    return m_storeCalm;
}

std::vector<Host> &Deployment::hosts()
{
    return m_hosts;
}

std::vector<Seat> &Deployment::seats()
{
    return m_seats;
}

std::mt19937_64 &Deployment::random()
{
    return m_random;
}

void Deployment::addHosts()
{
    for (unsigned number = 0; number < m_options.hosts; ++number) {
        const std::string ip = m_network + std::to_string(FirstHostNumber + number);
        Host &host = m_hosts.emplace_back();
        host.storeLink = std::make_unique<Proxy>(m_loop, ip + ":8201", m_network + "2:8200");
        HostProcess::Place place{"host-" + std::to_string(number), ip, dataCentreName(number), ip + ":8201", m_network + std::to_string(FirstHostNumber)};
        host.process = std::make_unique<HostProcess>(m_options.program, m_options.folder, std::move(place));
        host.clientLink = std::make_unique<Proxy>(m_loop, ip + ":8202", host.process->clientAddress());
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        startHost(host);
    }
}

void Deployment::addSeats()
{
    for (unsigned set = 0; set < ShardSets; ++set) {
        for (unsigned shard = 0; shard < shardsIn(set); ++shard) {
            for (unsigned replica = 0; replica < ReplicasOfShard; ++replica) {
                addSeat(shardName(set, shard));
            }
        }
    }
    for (unsigned number = 0; number < DeskSearchers; ++number) {
        addSeat("desk");
    }
    for (unsigned number = 0; number < WebSearchers; ++number) {
        addSeat("web");
    }
}

void Deployment::addSeat(const std::string &service)
{
    const std::string ip = m_network + std::to_string(FirstSeatNumber + m_seats.size());
    Seat &seat = m_seats.emplace_back();
    seat.service = service;
    seat.address = ip + ":9001";
    seat.link = std::make_unique<Proxy>(m_loop, seat.address, ip + ":9000");
    startSearcher(seat);
}

void Deployment::addForeignEntries()
{
    constexpr unsigned Copies = 3;
    for (const char c : std::string(" #%&+/?")) {
        for (unsigned copy = 0; copy < Copies; ++copy) {
            m_store->put("servers", std::string(1, c) + "foreign-" + std::to_string(copy), {{"state", "unknown"}});
        }
    }
}

std::string Deployment::clientLinkOf(const std::string &hostAddress) const
{
    return hostAddress.substr(0, hostAddress.find(':')) + ":8202";
}

std::size_t Deployment::hostAt(const std::string &hostAddress) const
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&hostAddress](const Host &host) {
        return host.process->clientAddress() == hostAddress;
    });
    return static_cast<std::size_t>(found - m_hosts.begin());
}

bool Deployment::inTouch(std::size_t host) const
{
    const Host &judged = m_hosts.at(host);
    return judged.process->running() && !judged.stopping && judged.calm.lasted(StabilityWindow) && m_storeCalm.lasted(StabilityWindow);
}

void Deployment::startHost(std::size_t number)
{
    Host &host = m_hosts[number];
    host.killed = false;
    host.stopping = false;
    host.startedAt = Clock::now();
    host.servedVersion = 0;
    host.calm.begin();
    host.calm.end();
    host.process->start();
}

void Deployment::startSearcher(Seat &seat)
{
    BackEndSearcher::Place place;
    place.id = "i-" + std::to_string(++m_lastSearcher);
    place.service = seat.service;
    place.address = seat.address.substr(0, seat.address.find(':')) + ":9000";
    place.sharded = seat.service.starts_with("set");
    seat.searcher = std::make_unique<BackEndSearcher>(m_loop, m_ledger, std::move(place), m_random());
    seat.searcher->onLateArrival = [this](const std::string &id, Duration afterLeaving) {
        const SentRequest *request = m_ledger.request(id);
        const bool judged = m_options.timed && request != nullptr && afterLeaving > DrainBound && Clock::now() - request->sentAt < afterLeaving - DrainBound;
        if (judged && inTouch(request->host)) {
            const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(afterLeaving);
            m_ledger.violation("DRAIN", id + " reached a leaving searcher " + std::to_string(millis.count()) + " ms after its announcement");
        }
    };
    enterSearcher(seat, false);
}

void Deployment::enterSearcher(const Seat &seat, bool draining)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const std::size_t index = static_cast<std::size_t>(&seat - m_seats.data());
    m_store->put("servers",
                 seat.searcher->place().id,
                 {{"service", seat.service},
                  {"address", seat.address},
                  {"zone", dataCentreName(index)},
                  {"version", "v1"},
                  {"slots", 2},
                  {"state", draining ? "draining" : "ready"},
                  {"cold-remaining-ms", 0},
                  {"sequence", 1},
                  {"born", std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()}});
}

void Deployment::configure(bool moveLookups, bool reshard)
{
    Configuration &next = m_configurations.add(moveLookups, reshard);
    m_store->put("config", "main", next.document());
    next.acknowledgedAt = Clock::now();
}

void Deployment::watchProcesses()
{
    for (std::size_t number = 0; number < m_hosts.size(); ++number) {
        Host &host = m_hosts[number];
        if (const auto status = host.process->takeExit()) {
            noteExit(number, *status);
        } else if (host.stopping && Clock::now() - host.stopRequestedAt > GracePeriod && !host.killed) {
            if (m_options.timed && host.calm.lasted(GracePeriod)) {
                m_ledger.violation("EXIT", host.process->place().name + " still runs after the grace period");
            }
            host.killed = true;
            host.process->signal(SIGKILL);
        }
    }
    m_loop.callAt(Clock::now() + ReapPeriod, [this] {
        watchProcesses();
    });
}

void Deployment::noteExit(std::size_t number, int status)
{
    Host &host = m_hosts[number];
    // A process that has not yet taken over its signals ends at SIGTERM at once; it has taken no request either.
    const bool endedAtStart = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM && host.stopRequestedAt < host.startedAt + StartTime;
    const bool wellEnded = endedAtStart || (WIFEXITED(status) && WEXITSTATUS(status) == 0);
    if (!host.killed && !(host.stopping && wellEnded)) {
        m_ledger.violation("EXIT", host.process->place().name + " ended by itself, status " + std::to_string(status));
    }
    m_loop.callAt(Clock::now() + RestartPause, [this, number] {
        startHost(number);
    });
}
}
