#pragma once

#include "tests/platform/soak/deployment.h"

#include <functional>
#include <string>
#include <vector>

namespace Soak
{
class Callers;

// Draws faults from the seed and plays them, one after another and several at a time.
class Faults
{
public:
    // Faults begin with the given mean pause between them until the given time.
    Faults(Deployment &deployment, Callers &callers, Quetzallift::Duration meanPause, Quetzallift::TimePoint until);

    // How many were played.
    unsigned played() const;

private:
    struct Kind {
        const char *name;
        std::function<void(Quetzallift::Duration length)> play;
    };

    void addHostFaults();
    void addLinkFaults();
    void addStoreFaults();
    void addSearcherFaults();
    void addPlannedWork();
    void playNext();

    // Runs the second action after the time, with the host or the store counted as disturbed until then.
    void disturbHost(std::size_t host, Quetzallift::Duration length, std::function<void()> end);
    void disturbStore(Quetzallift::Duration length, std::function<void()> end);
    void after(Quetzallift::Duration length, std::function<void()> action);

    void stopHost(std::size_t host);
    void killHost(std::size_t host);
    void crashSearcher(Seat &seat, Quetzallift::Duration length);
    void drainSearcher(Seat &seat, bool announced);
    void swapAddresses();
    std::size_t anyHost();
    // A seat with a searcher that no other fault has taken; null if the draw meets none.
    Seat *freeSeat();

    Deployment &m_deployment;
    Callers &m_callers;
    Quetzallift::Duration m_meanPause;
    Quetzallift::TimePoint m_until;
    std::vector<Kind> m_kinds;
    unsigned m_played = 0;
};
}
