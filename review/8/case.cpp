// The store is away for a second and comes back from a copy some seconds old, so that its revisions are given out again. Later, in
// calm, a searcher drains. Requests that reach it after the drain time are counted.

#include "client.h"
#include "host.h"
#include "record.h"
#include "searcher.h"
#include "store.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <thread>

namespace
{
using namespace Review;

// The machines of the small deployment: their zones and regions.
constexpr std::pair<const char *, const char *> Fronts[] = {{"kingston-a", "kingston"},
                                                            {"kingston-a", "kingston"},
                                                            {"kingston-a", "kingston"},
                                                            {"montego-a", "montego"},
                                                            {"montego-a", "montego"},
                                                            {"ocho-a", "ocho-rios"},
                                                            {"ocho-a", "ocho-rios"}};
constexpr long HeartbeatMs = 1200;
constexpr long CopyAtMs = 8000;
constexpr long FirstChangeAtMs = 8500;
constexpr long ChangePeriodMs = 600;
constexpr unsigned Changes = 6;
constexpr long AwayAtMs = 13000;
constexpr long BackAtMs = 13300;
// Longer after the return than stability-window-ms.
constexpr long DrainAtMs = 21000;
constexpr long DrainMs = 3000;
constexpr long AskAtMs = DrainAtMs + DrainMs + 1000;
constexpr int ClientsOfHost = 24;
constexpr int WorkMs = 20;

nlohmann::json version(unsigned number)
{
    return configuration(number, {{"booking", "/booking/", "desk", true, 3000 + static_cast<int>(number)}, {"sales", "/sales/", "shop"}});
}
}

int main(int, char **arguments)
{
    openRecord(arguments[1]);
    const std::string net = networkPrefix();
    const std::string folder = makeFolder();
    Store store(net + "2:8102");
    std::vector<std::unique_ptr<Searcher>> searchers;
    std::vector<std::string> states;
    int number = 0;
    for (const char *service : {"desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "shop", "shop"}) {
        ++number;
        const SearcherPlace place{
            "i-" + std::string(service) + "-" + std::to_string(number), service, net + std::to_string(100 + number) + ":8080", "kingston-a"};
        searchers.push_back(std::make_unique<Searcher>(place, WorkMs));
        states.emplace_back("ready");
        store.put("servers", place.id, searchers.back()->entry("ready"));
    }
    store.put("config", "main", version(1));
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Host *> started;
    for (const auto &[zone, region] : Fronts) {
        const std::string ip = net + std::to_string(10 + hosts.size());
        const std::vector<std::string> seeds = {net + "10:8106", net + "13:8106", net + "15:8106"};
        hosts.push_back(std::make_unique<Host>(HostPlace{"front-" + std::to_string(hosts.size() + 1), ip, zone, region}, folder, net + "2:8102", seeds));
        hosts.back()->start(true);
        started.push_back(hosts.back().get());
    }
    awaitReady(started);
    Searcher &leaving = *searchers.front();

    std::mutex mutex;
    bool away = false;
    std::vector<std::thread> threads;
    const auto beat = [&] {
        for (std::size_t index = 0; index < searchers.size(); ++index) {
            store.put("servers", searchers[index]->place().id, searchers[index]->entry(states[index]));
        }
    };
    threads.emplace_back([&] {
        for (long at = HeartbeatMs; at < AskAtMs + 2000; at += HeartbeatMs) {
            sleepUntil(at);
            const std::lock_guard lock(mutex);
            if (!away) {
                beat();
            }
        }
    });
    // Light traffic on the other service all the while.
    int served = 0;
    threads.emplace_back([&] {
        sleepUntil(6000);
        for (int sequence = 0; nowMs() < AskAtMs + 2000; ++sequence) {
            for (const Host *host : started) {
                const Sent sent = ask(host->place().front(), "GET", "/sales/2f", "s" + std::to_string(sequence) + host->place().name, 3000);
                served += sent.answer && sent.answer->status() == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    });

    sleepUntil(CopyAtMs);
    store.copy();
    for (unsigned change = 0; change < Changes; ++change) {
        sleepUntil(FirstChangeAtMs + change * ChangePeriodMs);
        store.put("config", "main", version(2 + change));
    }
    if (hasTrouble()) {
        sleepUntil(AwayAtMs);
        {
            const std::lock_guard lock(mutex);
            away = true;
            store.goAway();
        }
        sleepUntil(BackAtMs);
        const std::lock_guard lock(mutex);
        store.restoreCopy();
        away = false;
        // The operator and the searchers write again what they wrote.
        store.put("config", "main", version(1 + Changes));
        beat();
    }
    sleepUntil(DrainAtMs);
    long drainedAt = 0;
    {
        const std::lock_guard lock(mutex);
        states.front() = "draining";
        leaving.leave();
        store.put("servers", leaving.place().id, leaving.entry("draining"));
        drainedAt = nowMs();
    }
    note("the store has acknowledged that " + leaving.place().id + " drains");
    sleepUntil(AskAtMs);
    std::map<std::string, Sent> asked;
    for (int client = 0; client < ClientsOfHost; ++client) {
        for (const Host *host : started) {
            threads.emplace_back([&, client, host] {
                const std::string id = "b" + std::to_string(client) + host->place().name;
                const Sent sent = ask(host->place().front(), "GET", "/booking/2f", id, 3000);
                const std::lock_guard lock(mutex);
                asked[id] = sent;
                served += sent.answer && sent.answer->status() == 200 ? 1 : 0;
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int late = 0;
    for (const Arrival &arrival : Searcher::arrivals()) {
        const auto found = asked.find(arrival.request);
        if (arrival.run && arrival.searcher == leaving.place().id && found != asked.end() && found->second.sentAtMs > drainedAt + DrainMs) {
            ++late;
            note("DRAIN: request " + arrival.request + " reached " + arrival.searcher + " " + std::to_string(arrival.atMs - drainedAt)
                 + " ms after the store acknowledged that it drains");
        }
    }
    char summary[160];
    std::snprintf(
        summary, sizeof summary, "%d requests served, %zu asked after the drain time, %d of them reached the draining searcher", served, asked.size(), late);
    note(summary);
    std::puts(summary);
    const bool ended = std::any_of(started.begin(), started.end(), [](Host *host) {
        return host->hasEnded();
    });
    for (Host *host : started) {
        host->signal(SIGKILL);
        host->wait();
    }
    removeFolder(folder);
    std::fflush(nullptr);
    std::_Exit(served == 0 || ended ? 2 : late > 0 ? 1 : 0);
}
