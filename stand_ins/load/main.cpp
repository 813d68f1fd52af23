// Sends queries to entry hosts at given rates and checks every answer.

#include "quetzallift/edge/eventloop.h"
#include "stand_ins/load/caller.h"
#include "stand_ins/load/checker.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <memory>

namespace
{
using nlohmann::json;

constexpr std::chrono::milliseconds StartDelay{50};

json readJson(const std::string &file)
{
    return json::parse(std::ifstream(file), nullptr, true, true);
}

// Runs all callers from one start time until the last query of the last caller has ended.
void runCallers(Quetzallift::EventLoop &loop, std::vector<std::unique_ptr<Load::Caller>> &callers)
{
    std::size_t waiting = callers.size();
    std::size_t running = callers.size();
    const auto done = [&] {
        if (--running == 0) {
            loop.stop();
        }
    };
    for (const auto &caller : callers) {
        caller->start([&] {
            if (--waiting > 0) {
                return;
            }
            const Quetzallift::TimePoint start = Quetzallift::Clock::now() + StartDelay;
            std::cout << "load started\n" << std::flush;
            for (const auto &each : callers) {
                each->run(start, done);
            }
        });
    }
    loop.run();
}

void print(const std::string &name, const json &summary)
{
    std::cout << name << ':';
    for (const char *field : {"queries", "answered", "whole", "partial", "refused", "failed", "wrong", "lost", "unknown", "silent_partial", "late"}) {
        std::cout << ' ' << field << '=' << summary.at(field);
    }
    std::cout << std::fixed;
    std::cout.precision(1);
    for (const char *field : {"p50_ms", "p95_ms", "p99_ms"}) {
        std::cout << ' ' << field << '=' << summary.at(field).get<double>();
    }
    std::cout << '\n';
}

json summarise(const std::vector<std::unique_ptr<Load::Caller>> &callers)
{
    json document = {{"callers", json::object()}};
    Load::Tally total;
    for (const auto &caller : callers) {
        const json summary = caller->tally().summary();
        const std::string name = caller->settings().name + " on " + caller->settings().backEnd;
        print(name, summary);
        document["callers"][name] = summary;
        total.add(caller->tally());
    }
    document["total"] = total.summary();
    print("total", document["total"]);
    return document;
}

void runPlan(const std::string &file)
{
    const Load::Plan plan = Load::readPlan(readJson(file));
    const Load::Checker checker(readJson(plan.bundleFile));
    Quetzallift::EventLoop loop;
    std::vector<std::unique_ptr<Load::Caller>> callers;
    std::uint64_t seed = plan.seed;
    for (const Load::CallerPlan &settings : plan.callers) {
        callers.push_back(std::make_unique<Load::Caller>(loop, plan, settings, checker, ++seed));
    }
    runCallers(loop, callers);
    const json summary = summarise(callers);
    if (!plan.summaryFile.empty()) {
        std::ofstream(plan.summaryFile) << summary.dump(1) << '\n';
    }
}
}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: stand_in_load FILE\n";
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        runPlan(argv[1]);
    } catch (const std::exception &error) {
        std::cerr << "stand_in_load: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
