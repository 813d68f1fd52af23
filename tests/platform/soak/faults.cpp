#include "tests/platform/soak/faults.h"

#include "tests/platform/soak/callers.h"

#include <csignal>
#include <iostream>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr Duration ShortestFault = std::chrono::milliseconds(300);
constexpr Duration LongestFault = std::chrono::milliseconds(5000);
// Three heartbeat intervals of silence end an entry.
constexpr Duration EntryLapse = std::chrono::milliseconds(3600);
// Bounds of the users' pages (drain-ms, reuse-after-s).
constexpr Duration DrainTime = std::chrono::seconds(3);
constexpr Duration ReuseAfter = std::chrono::seconds(2);
constexpr Duration LinkDelay = std::chrono::milliseconds(120);
constexpr Duration StoreDelay = std::chrono::milliseconds(400);
constexpr double LostShare = 0.5;
constexpr double LeavingShare = 0.4;
constexpr double BurstRate = 150.0;
constexpr double UsualRate = 40.0;
}

Faults::Faults(Deployment &deployment, Callers &callers, Duration meanPause, TimePoint until)
    : m_deployment(deployment)
    , m_callers(callers)
    , m_meanPause(meanPause)
    , m_until(until)
{
    addHostFaults();
    addLinkFaults();
    addStoreFaults();
    addSearcherFaults();
    addPlannedWork();
    playNext();
}

unsigned Faults::played() const
{
    return m_played;
}

void Faults::after(Duration length, std::function<void()> action)
{
    m_deployment.loop().callAt(Clock::now() + length, std::move(action));
}

void Faults::playNext()
{
    const std::chrono::duration<double> pause(
        std::exponential_distribution<double>(1.0 / std::chrono::duration<double>(m_meanPause).count())(m_deployment.random()));
    after(std::chrono::duration_cast<Duration>(pause), [this] {
        if (Clock::now() >= m_until) {
            return;
        }
        const Kind &kind = m_kinds[m_deployment.random()() % m_kinds.size()];
        const Duration longest = std::max(std::min(LongestFault, m_until - Clock::now()), ShortestFault + Duration(1));
        const Duration length =
            ShortestFault + Duration(static_cast<Duration::rep>(m_deployment.random()() % static_cast<std::uint64_t>((longest - ShortestFault).count())));
        std::cout << "fault " << kind.name << " for " << std::chrono::duration_cast<std::chrono::milliseconds>(length).count() << " ms" << std::endl;
        ++m_played;
        kind.play(length);
        playNext();
    });
}

std::size_t Faults::anyHost()
{
    return m_deployment.random()() % m_deployment.hosts().size();
}

Seat *Faults::freeSeat()
{
    Seat &seat = m_deployment.seats()[m_deployment.random()() % m_deployment.seats().size()];
    return seat.busy ? nullptr : &seat;
}

void Faults::disturbHost(std::size_t number, Duration length, std::function<void()> end)
{
    m_deployment.hosts()[number].calm.begin();
    after(length, [this, number, end = std::move(end)] {
        end();
        m_deployment.hosts()[number].calm.end();
    });
}

void Faults::disturbStore(Duration length, std::function<void()> end)
{
    m_deployment.storeCalm().begin();
    after(length, [this, end = std::move(end)] {
        end();
        m_deployment.storeCalm().end();
    });
}

void Faults::stopHost(std::size_t number)
{
    Host &host = m_deployment.hosts()[number];
    if (host.process->running() && !host.stopping) {
        host.stopping = true;
        host.stopRequestedAt = Clock::now();
        host.process->signal(SIGTERM);
    }
}

void Faults::killHost(std::size_t number)
{
    Host &host = m_deployment.hosts()[number];
    host.killed = true;
    host.calm.begin();
    host.calm.end();
    host.process->signal(SIGKILL);
}

void Faults::addHostFaults()
{
    m_kinds.push_back({"kill", [this](Duration) {
                           killHost(anyHost());
                       }});
    m_kinds.push_back({"kill_all", [this](Duration) {
                           for (std::size_t number = 0; number < m_deployment.hosts().size(); ++number) {
                               killHost(number);
                           }
                       }});
    m_kinds.push_back({"pause", [this](Duration length) {
                           const std::size_t number = anyHost();
                           m_deployment.hosts()[number].process->signal(SIGSTOP);
                           disturbHost(number, length, [this, number] {
                               m_deployment.hosts()[number].process->signal(SIGCONT);
                           });
                       }});
    m_kinds.push_back({"reload", [this](Duration) {
                           const Host &host = m_deployment.hosts()[anyHost()];
                           host.process->writeSettings(static_cast<double>(40 + m_deployment.random()() % 10));
                           host.process->signal(SIGHUP);
                       }});
}

void Faults::addLinkFaults()
{
    const auto holdLink = [this](std::unique_ptr<Proxy> Host::*link, LinkCondition condition) {
        return [this, link, condition](Duration length) {
            const std::size_t number = anyHost();
            (m_deployment.hosts()[number].*link)->setCondition(condition);
            disturbHost(number, length, [this, number, link] {
                (m_deployment.hosts()[number].*link)->setCondition(LinkCondition::Open);
            });
        };
    };
    m_kinds.push_back({"client_link_silent", holdLink(&Host::clientLink, LinkCondition::Silent)});
    m_kinds.push_back({"client_link_without_replies", holdLink(&Host::clientLink, LinkCondition::HoldsReplies)});
    m_kinds.push_back({"store_link_silent", holdLink(&Host::storeLink, LinkCondition::Silent)});
    m_kinds.push_back({"store_link_without_calls", holdLink(&Host::storeLink, LinkCondition::HoldsRequests)});
    m_kinds.push_back({"store_link_without_replies", holdLink(&Host::storeLink, LinkCondition::HoldsReplies)});
    m_kinds.push_back({"links_reset", [this](Duration length) {
                           const std::size_t number = anyHost();
                           m_deployment.hosts()[number].clientLink->reset();
                           m_deployment.hosts()[number].storeLink->reset();
                           disturbHost(number, length, [] {
                           });
                       }});
    m_kinds.push_back({"client_link_slow", [this](Duration length) {
                           const std::size_t number = anyHost();
                           m_deployment.hosts()[number].clientLink->setDelay(LinkDelay);
                           disturbHost(number, length, [this, number] {
                               m_deployment.hosts()[number].clientLink->setDelay(Duration::zero());
                           });
                       }});
    m_kinds.push_back({"searcher_link_silent", [this](Duration length) {
                           Seat &seat = m_deployment.seats()[m_deployment.random()() % m_deployment.seats().size()];
                           seat.link->setCondition(LinkCondition::Silent);
                           after(length, [&seat] {
                               seat.link->setCondition(LinkCondition::Open);
                           });
                       }});
    m_kinds.push_back({"searcher_links_reset", [this](Duration) {
                           for (Seat &seat : m_deployment.seats()) {
                               seat.link->reset();
                           }
                       }});
}

void Faults::addStoreFaults()
{
    const auto setStore = [this](StoreCondition condition) {
        return [this, condition](Duration length) {
            m_deployment.store().setCondition(condition);
            disturbStore(length, [this] {
                m_deployment.store().setCondition(StoreCondition::Well);
            });
        };
    };
    m_kinds.push_back({"store_silent", setStore(StoreCondition::Silent)});
    m_kinds.push_back({"store_busy", setStore(StoreCondition::Busy)});
    m_kinds.push_back({"store_resets", setStore(StoreCondition::Reset)});
    m_kinds.push_back({"store_slow", [this](Duration length) {
                           m_deployment.store().setDelay(StoreDelay);
                           disturbStore(length, [this] {
                               m_deployment.store().setDelay(Duration::zero());
                           });
                       }});
    m_kinds.push_back({"store_loses_answers", [this](Duration length) {
                           m_deployment.store().setLostShare(LostShare);
                           disturbStore(length, [this] {
                               m_deployment.store().setLostShare(0.0);
                           });
                       }});
    m_kinds.push_back({"store_forgets", [this](Duration length) {
                           m_deployment.store().forgetHistory();
                           disturbStore(length, [] {
                           });
                       }});
}

void Faults::crashSearcher(Seat &seat, Duration length)
{
    seat.busy = true;
    const std::string id = seat.searcher->place().id;
    seat.searcher.reset();
    after(EntryLapse, [this, id] {
        m_deployment.store().remove("servers", id);
    });
    after(length, [this, &seat] {
        m_deployment.startSearcher(seat);
        seat.busy = false;
    });
}

void Faults::drainSearcher(Seat &seat, bool announced)
{
    seat.busy = true;
    const std::string id = seat.searcher->place().id;
    if (announced) {
        m_deployment.enterSearcher(seat, true);
    } else {
        m_deployment.store().remove("servers", id);
    }
    seat.searcher->noteLeaving(Clock::now());
    after(DrainTime + ShortestFault, [this, &seat, id] {
        seat.searcher.reset();
        m_deployment.store().remove("servers", id);
        after(ReuseAfter, [this, &seat] {
            m_deployment.startSearcher(seat);
            seat.busy = false;
        });
    });
}

void Faults::swapAddresses()
{
    Seat *first = freeSeat();
    Seat *second = freeSeat();
    if (first == nullptr || second == nullptr || first == second) {
        return;
    }
    std::swap(first->service, second->service);
    crashSearcher(*first, ReuseAfter);
    crashSearcher(*second, ReuseAfter);
}

void Faults::addSearcherFaults()
{
    m_kinds.push_back({"searcher_crash", [this](Duration length) {
                           if (Seat *seat = freeSeat()) {
                               crashSearcher(*seat, length);
                           }
                       }});
    m_kinds.push_back({"searcher_addresses_swap", [this](Duration) {
                           swapAddresses();
                       }});
    const auto setSearcher = [this](SearcherCondition condition) {
        return [this, condition](Duration length) {
            if (Seat *seat = freeSeat()) {
                seat->busy = true;
                seat->searcher->setCondition(condition);
                after(length, [seat] {
                    seat->searcher->setCondition(SearcherCondition::Well);
                    seat->busy = false;
                });
            }
        };
    };
    m_kinds.push_back({"searcher_slow", setSearcher(SearcherCondition::Slow)});
    m_kinds.push_back({"searcher_failing", setSearcher(SearcherCondition::Failing)});
    m_kinds.push_back({"searcher_loses_replies", setSearcher(SearcherCondition::LosingReplies)});
    m_kinds.push_back({"searcher_crosses_replies", setSearcher(SearcherCondition::Crossing)});
    m_kinds.push_back({"searcher_sheds", setSearcher(SearcherCondition::Shedding)});
    m_kinds.push_back({"searcher_mute", setSearcher(SearcherCondition::Mute)});
}

void Faults::addPlannedWork()
{
    m_kinds.push_back({"stop", [this](Duration) {
                           stopHost(anyHost());
                       }});
    m_kinds.push_back({"roll", [this](Duration length) {
                           for (std::size_t number = 0; number < m_deployment.hosts().size(); ++number) {
                               after(length / 2 * static_cast<int>(number), [this, number] {
                                   stopHost(number);
                               });
                           }
                       }});
    const auto configure = [this](bool moveLookups, bool reshard) {
        return [this, moveLookups, reshard](Duration) {
            m_deployment.configure(moveLookups, reshard);
        };
    };
    m_kinds.push_back({"configuration_moves_lookups", configure(true, false)});
    m_kinds.push_back({"reshard", configure(false, true)});
    m_kinds.push_back({"configurations_in_a_row", [this](Duration length) {
                           constexpr int Versions = 4;
                           for (int version = 0; version < Versions; ++version) {
                               after(length * version / Versions, [this, version] {
                                   m_deployment.configure(version % 2 == 0, version % 2 != 0);
                               });
                           }
                       }});
    m_kinds.push_back({"searcher_drains", [this](Duration) {
                           if (Seat *seat = freeSeat()) {
                               drainSearcher(*seat, true);
                           }
                       }});
    m_kinds.push_back({"searcher_leaves_unannounced", [this](Duration) {
                           if (Seat *seat = freeSeat()) {
                               drainSearcher(*seat, false);
                           }
                       }});
    m_kinds.push_back({"clients_leave", [this](Duration length) {
                           m_callers.setLeavingShare(LeavingShare);
                           after(length, [this] {
                               m_callers.setLeavingShare(0.0);
                           });
                       }});
    m_kinds.push_back({"burst", [this](Duration length) {
                           m_callers.setRate(BurstRate);
                           after(length, [this] {
                               m_callers.setRate(UsualRate);
                           });
                       }});
}
}
