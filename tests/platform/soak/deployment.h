#pragma once

#include "tests/platform/soak/backendsearcher.h"
#include "tests/platform/soak/configurations.h"
#include "tests/platform/soak/hostprocess.h"
#include "tests/platform/soak/metadatastore.h"
#include "tests/platform/soak/proxy.h"
#include "tests/platform/soak/requestledger.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak
{
// Whether something is disturbed now, and since when it is not. Faults overlap, so they are counted.
class Calm
{
public:
    void begin();
    void end();

    // True if nothing has disturbed it for this long.
    bool lasted(Quetzallift::Duration length) const;

private:
    unsigned m_faults = 0;
    Quetzallift::TimePoint m_since = Quetzallift::Clock::now();
};

// An entry host with the links that lead to it and from it.
struct Host {
    std::unique_ptr<HostProcess> process;
    std::unique_ptr<Proxy> clientLink;
    std::unique_ptr<Proxy> storeLink;
    Calm calm;
    // What the next exit of the process may be: its own would be a fault of the program.
    bool killed = false;
    bool stopping = false;
    Quetzallift::TimePoint startedAt;
    Quetzallift::TimePoint stopRequestedAt;
    // The newest version that the present process has served, and when it did.
    std::uint64_t servedVersion = 0;
    Quetzallift::TimePoint servedAt;
};

// The address at which one searcher after another runs, and the link that leads there.
struct Seat {
    std::string service;
    std::string address;
    std::unique_ptr<Proxy> link;
    std::unique_ptr<BackEndSearcher> searcher;
    // True while a fault decides what becomes of the searcher.
    bool busy = false;
};

struct DeploymentOptions {
    std::string program;
    std::string folder;
    std::uint64_t seed = 1;
    unsigned hosts = 4;
    // Judges promises with a time bound too; a machine that is busy with other work breaks them by itself.
    bool timed = false;
};

// The entry hosts as processes, the store and the searchers beside them, and the ledger of what happens.
class Deployment
{
public:
    Deployment(Quetzallift::EventLoop &loop, DeploymentOptions options);
    ~Deployment();

    Quetzallift::EventLoop &loop();
    const DeploymentOptions &options() const;
    RequestLedger &ledger();
    Configurations &configurations();
    MetadataStore &store();
    Calm &storeCalm();
    std::vector<Host> &hosts();
    std::vector<Seat> &seats();
    std::mt19937_64 &random();

    // Where a client connects that was told this address of a host.
    std::string clientLinkOf(const std::string &hostAddress) const;
    std::size_t hostAt(const std::string &hostAddress) const;

    // True if the bounds of the pages hold for the host now.
    bool inTouch(std::size_t host) const;

    void startHost(std::size_t host);

    // Starts a searcher of the seat's service under a new id and enters it in the store.
    void startSearcher(Seat &seat);

    // Writes the entry of the seat's searcher as ready or draining.
    void enterSearcher(const Seat &seat, bool draining);

    // Writes a new version of the configuration.
    void configure(bool moveLookups, bool reshard);

private:
    void addHosts();
    void addSeats();
    void addSeat(const std::string &service);
    // Enters objects of another program among the searchers, under names with characters that have a meaning in URLs, so that
    // such names end pages of the list.
    void addForeignEntries();
    void watchProcesses();
    void noteExit(std::size_t host, int status);

    Quetzallift::EventLoop &m_loop;
    DeploymentOptions m_options;
    std::mt19937_64 m_random;
    // The first three numbers of the loopback addresses of this run, so that runs do not meet.
    std::string m_network;
    RequestLedger m_ledger;
    Configurations m_configurations;
    std::unique_ptr<MetadataStore> m_store;
    Calm m_storeCalm;
    std::vector<Host> m_hosts;
    std::vector<Seat> m_seats;
    unsigned m_lastSearcher = 0;
};
}
