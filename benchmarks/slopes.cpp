// Measures what control costs one entry host as the fleet grows: feeds one control state what a fleet of each size would
// send it, and prints bytes, processor time and memory.

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"
#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/peercodec.h"

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <array>
#include <bit>
#include <cstdio>
#include <ctime>
#include <functional>
#include <queue>
#include <random>

using namespace Quetzallift;

namespace
{
constexpr Duration WarmUp = std::chrono::seconds(60);
constexpr Duration Measured = std::chrono::minutes(10);
// The hosts that divide the connections of one set of searchers.
constexpr std::size_t CellSize = 18;
constexpr double ReplacementsADayAndHost = 4400.0 / 5800.0;
constexpr double ChangesADay = 10000;
constexpr std::array<const char *, 7> DataCentres = {"kingston-a", "montego-a", "ocho-a", "amarillo", "waco", "corpus", "negril-a"};

struct Costs {
    std::size_t bytesSent = 0;
    std::size_t bytesReceived = 0;
    std::size_t messages = 0;
    std::size_t received = 0;
    std::size_t platformCalls = 0;
    std::size_t updates = 0;
    std::clock_t processor = 0;
    std::clock_t codec = 0;
};

std::string nameOf(std::size_t index)
{
    return "host-" + std::to_string(index);
}

// The rest of the fleet as one host sees it: it answers probes at once, probes the host once a period, and passes on the
// changes that its size brings. Statements arrive as often as a fleet of that size spreads them.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
        : m_size(size)
    {
        HostIdentity &self = m_state.control.self;
        self = {};
        self.name = nameOf(0);
        self.address = "10.0.0.1:8000";
        self.peerAddress = "10.0.0.1:8001";
        self.dataCentre = DataCentres[0];
        self.cell = "cell-0";
        m_state.hooks.random = [this] {
            return m_random();
        };
        m_state.hooks.wallNow = [] {
            return WallTime(std::chrono::seconds(1800000000));
        };
        for (std::size_t index = 0; index < size; ++index) {
            m_members.push_back(memberOf(index));
        }
        m_bundle = decodeBundle(nlohmann::json{{"author", "desk"}}, "bundle");
    }

    void run()
    {
        apply(Started{});
        const TimePoint start = m_now;
        scheduleOwn();
        advance(start + WarmUp);
        m_costs = {};
        advance(start + WarmUp + Measured);
    }

    const Costs &costs() const
    {
        return m_costs;
    }

    std::size_t tableSize() const
    {
        return m_state.control.fleet.members.size();
    }

private:
    struct Pending {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Pending &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    MemberUpdate memberOf(std::size_t index) const
    {
        const std::string address = "10." + std::to_string(index / 65536) + '.' + std::to_string(index / 256 % 256) + '.' + std::to_string(index % 256);
        return {nameOf(index),
                {1799990000 + index, 0},
                MemberStatus::Live,
                false,
                address + ":8000",
                address + ":8001",
                DataCentres[index % DataCentres.size()],
                "cell-" + std::to_string(index / CellSize)};
    }

    void after(Duration wait, std::function<void()> run)
    {
        m_queue.push({m_now + wait, ++m_order, std::move(run)});
    }

    void every(Duration period, const std::function<void()> &run)
    {
        after(period, [this, period, run] {
            run();
            every(period, run);
        });
    }

    // What the fleet does of itself.
    void scheduleOwn()
    {
        every(std::chrono::seconds(1), [this] {
            deliver(randomIndex(), Probe{++m_number});
        });
        const double replacements = ReplacementsADayAndHost * static_cast<double>(m_size);
        every(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(86400 / replacements)), [this] {
            replaceOne();
        });
        every(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(86400 / ChangesADay)), [this] {
            ++m_generation;
            deliver(randomIndex(), Announcement{});
        });
        every(std::chrono::seconds(30), [this] {
            if (!m_lastHashes.empty()) {
                // Two hosts' tables differ in the changes that are on their way, which lie in one or two buckets.
                std::vector<std::uint32_t> hashes = m_lastHashes;
                ++hashes[m_random() % hashes.size()];
                deliver(randomIndex(), SyncRequest{hashes});
            }
        });
    }

    // One host leaves and comes back as a new process: three statements, each of which reaches this host as often as
    // every host passes it on.
    void replaceOne()
    {
        MemberUpdate &member = m_members[randomIndex()];
        const auto copies = 2 * static_cast<int>(std::bit_width(m_size)) + 2;
        for (const MemberStatus status : {MemberStatus::Leaving, MemberStatus::Gone, MemberStatus::Live}) {
            MemberUpdate update = member;
            update.status = status;
            update.incarnation = status == MemberStatus::Live ? Incarnation{member.incarnation.process + 100000, 0} : member.incarnation;
            for (int copy = 0; copy < copies; ++copy) {
                m_waiting.push_back(update);
            }
            member.incarnation = update.incarnation;
        }
    }

    std::size_t randomIndex()
    {
        return 1 + m_random() % (m_size - 1);
    }

    std::size_t indexOf(const std::string &address) const
    {
        for (std::size_t index = 1; index < m_size; ++index) {
            if (m_members[index].peerAddress == address) {
                return index;
            }
        }
        return 1;
    }

    void deliver(std::size_t from, PeerMessageBody body)
    {
        PeerMessage message;
        message.sender = {m_members[from], {m_generation}, m_state.control.shares.record.current.epoch};
        constexpr std::size_t MaximumUpdates = 12;
        while (!m_waiting.empty() && message.updates.size() < MaximumUpdates) {
            message.updates.push_back(std::move(m_waiting.back()));
            m_waiting.pop_back();
        }
        m_costs.updates += message.updates.size();
        message.body = std::move(body);
        const std::string bytes = encodePeerMessage(message);
        const std::clock_t start = std::clock();
        PeerMessage decoded = decodePeerMessage(bytes, "peer");
        m_costs.codec += std::clock() - start;
        m_costs.bytesReceived += bytes.size();
        ++m_costs.received;
        apply(PeerMessageArrived{message.sender.self.peerAddress, std::move(decoded)});
    }

    void apply(EventBody body)
    {
        const std::clock_t start = std::clock();
        const Effects effects = reduce(m_state, Event{m_now, std::move(body)});
        m_costs.processor += std::clock() - start;
        for (const Effect &effect : effects) {
            carryOut(effect);
        }
    }

    void carryOut(const Effect &effect)
    {
        if (const auto *timer = std::get_if<StartTimer>(&effect)) {
            after(timer->at - m_now, [this, key = timer->timer] {
                apply(TimerFired{key});
            });
        } else if (const auto *send = std::get_if<SendPeerMessage>(&effect)) {
            carryOutSend(*send);
        } else if (const auto *call = std::get_if<CallPlatform>(&effect)) {
            ++m_costs.platformCalls;
            const bool watch = call->request.verb == PlatformVerb::Watch;
            after(watch ? call->request.timeout : Duration(std::chrono::milliseconds(5)), [this, sent = *call] {
                apply(PlatformReplied{sent.call, answer(sent.request)});
            });
        }
    }

    void carryOutSend(const SendPeerMessage &send)
    {
        const std::clock_t start = std::clock();
        const std::size_t bytes = encodePeerMessage(send.message).size();
        m_costs.codec += std::clock() - start;
        m_costs.bytesSent += bytes;
        ++m_costs.messages;
        const std::size_t to = indexOf(send.address);
        if (const auto *probe = std::get_if<Probe>(&send.message.body)) {
            after(std::chrono::milliseconds(10), [this, to, number = probe->number] {
                deliver(to, ProbeReply{number, m_members[to].name});
            });
        } else if (const auto *sync = std::get_if<SyncRequest>(&send.message.body)) {
            m_lastHashes = sync->buckets;
            after(std::chrono::milliseconds(10), [this, to] {
                deliver(to, syncReply());
            });
        } else if (std::holds_alternative<BundleRequest>(send.message.body)) {
            after(std::chrono::milliseconds(10), [this, to] {
                deliver(to, BundleReply{rollout(), m_bundle});
            });
        }
    }

    // The whole table while the host joins, later the members of one bucket.
    SyncReply syncReply()
    {
        SyncReply reply;
        constexpr std::size_t Bucket = 23;
        for (std::size_t count = 0; count < Bucket && m_joined; ++count) {
            reply.members.push_back(m_members[randomIndex()]);
        }
        if (!m_joined) {
            reply.members.assign(m_members.begin() + 1, m_members.end());
            m_joined = true;
        }
        return reply;
    }

    RolloutRecord rollout() const
    {
        RolloutRecord record;
        record.generation.value = m_generation;
        record.digest = m_bundle->digest;
        record.token = "token";
        return record;
    }

    PlatformReply answer(const PlatformRequest &request) const
    {
        if (request.verb == PlatformVerb::ReadHosts) {
            HostListRecord list;
            for (const MemberUpdate &member : m_members) {
                list.hosts.push_back({member.name, member.address, member.peerAddress, member.dataCentre, false});
            }
            return {PlatformOutcome::Applied, 1, list, {}};
        }
        if (request.verb == PlatformVerb::Create || request.verb == PlatformVerb::Update) {
            return {PlatformOutcome::Applied, 1, {}, {}};
        }
        return {request.object == "rollout" ? PlatformOutcome::Unknown : PlatformOutcome::NotApplied, 0, {}, {}};
    }

    void advance(TimePoint end)
    {
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const Pending pending = m_queue.top();
            m_queue.pop();
            m_now = pending.at;
            pending.run();
        }
    }

    std::size_t m_size;
    State m_state;
    Costs m_costs;
    std::mt19937_64 m_random{20261204};
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::uint64_t m_number = 0;
    std::uint64_t m_generation = 0;
    std::priority_queue<Pending> m_queue;
    // A bundle of the smallest size; its bytes come on top in the measure of its size.
    BundlePtr m_bundle;
    std::vector<MemberUpdate> m_members;
    std::vector<MemberUpdate> m_waiting;
    std::vector<std::uint32_t> m_lastHashes;
    bool m_joined = false;
};

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void measure(std::size_t size)
{
    constexpr double Seconds = std::chrono::duration<double>(Measured).count();
    Fleet fleet(size);
    const std::size_t before = heapBytes();
    fleet.run();
    const std::size_t memory = heapBytes() - before;
    const Costs &costs = fleet.costs();
    const auto share = [](std::clock_t clocks) {
        return 100.0 * static_cast<double>(clocks) / CLOCKS_PER_SEC / Seconds;
    };
    std::printf(
        "hosts %5zu  table %5zu  sent %6.0f B/s in %5.2f messages/s  received %6.0f B/s in %5.2f messages/s  statements %6.2f/s  decide %.4f%% of a core  "
        "codec %.4f%%  memory %.2f MB  platform %.3f calls/s\n",
        size,
        fleet.tableSize(),
        static_cast<double>(costs.bytesSent) / Seconds,
        static_cast<double>(costs.messages) / Seconds,
        static_cast<double>(costs.bytesReceived) / Seconds,
        static_cast<double>(costs.received) / Seconds,
        static_cast<double>(costs.updates) / Seconds,
        share(costs.processor),
        share(costs.codec),
        static_cast<double>(memory) / 1e6,
        static_cast<double>(costs.platformCalls) / Seconds);
}
}

int main()
{
    for (const std::size_t size : {std::size_t{10}, std::size_t{100}, std::size_t{1000}, std::size_t{5800}}) {
        measure(size);
    }
    return 0;
}
