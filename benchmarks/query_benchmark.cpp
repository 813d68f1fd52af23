#include "stand_ins/simulation/bundles.h"
#include "stand_ins/simulation/simulation.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

using namespace Quetzallift;
using namespace std::chrono_literals;

namespace
{
QueryRequest makeRequest(std::uint64_t id)
{
    QueryRequest request;
    request.requestId = "r" + std::to_string(id);
    request.caller = "guide";
    request.backEnd = "data";
    request.key = "pass";
    return request;
}

// Processor time of all reduce() calls of one query over 74 shards, from the arrival to the answer, without simulation.
void wholeQuery(benchmark::State &bench)
{
    Simulation::Simulation simulation(Simulation::makeBundle(74, 2, DeadlinePreference::Latency));
    State &state = simulation.state;
    const BackEnd &backEnd = *simulation.bundle().backEnd("data");
    TimePoint now = simulation.now();
    std::uint64_t id = 0;
    for (auto step : bench) {
        now += 20ms;
        const Effects effects = reduce(state, Event{now, QueryArrived{{++id}, makeRequest(id)}});
        bench.PauseTiming();
        std::vector<Event> replies;
        for (const Effect &effect : effects) {
            if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
                replies.push_back({now + 5ms, SubReplyArrived{send->attempt, simulation.world.reply(backEnd, send->searcher, send->attempt, send->request)}});
            }
        }
        bench.ResumeTiming();
        for (const Event &reply : replies) {
            benchmark::DoNotOptimize(reduce(state, reply));
        }
    }
}
BENCHMARK(wholeQuery)->Unit(benchmark::kMicrosecond);

// Tail latency and extra load in simulated time, with 1% of replies 10 to 20 times slower: 0 without hedges, 1 with
// them, 2 with hedges but no slow replies, 3 with hedges and three replicas.
void stragglers(benchmark::State &bench)
{
    std::vector<Duration> latencies;
    double hedges = 0;
    double subRequests = 0;
    for (auto step : bench) {
        std::mt19937_64 engine(20261204);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        Simulation::Simulation simulation(Simulation::makeBundle(74, bench.range(0) == 3 ? 3 : 2, DeadlinePreference::Coverage));
        simulation.outcome = [&](const SendSubRequest &) {
            const double base = 3.0 + 4.0 * uniform(engine);
            const double factor = bench.range(0) != 2 && uniform(engine) < 0.01 ? 10.0 + 10.0 * uniform(engine) : 1.0;
            return Simulation::Outcome{Simulation::OutcomeKind::Ok,
                                       std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(base * factor))};
        };
        if (bench.range(0) == 0) {
            simulation.state.hooks.hedgeDelay = [](const LatencyEstimate &, const BackEndPolicy &) {
                return std::optional<Duration>();
            };
        }
        simulation.observe = [&](const Event &, const Effects &effects) {
            for (const Effect &effect : effects) {
                const auto *count = std::get_if<CountMetric>(&effect);
                hedges += count != nullptr && count->metric == Metric::Hedges ? count->amount : 0;
                subRequests += count != nullptr && count->metric == Metric::SubRequests ? count->amount : 0;
            }
        };
        for (std::uint64_t id = 1; id <= 2000; ++id) {
            const TimePoint start = simulation.now();
            simulation.after(0ms, EventBody{QueryArrived{{id}, makeRequest(id)}});
            simulation.run();
            latencies.push_back(simulation.answers.at({id}).at(0).at - start);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    bench.counters["p50_ms"] = std::chrono::duration<double, std::milli>(latencies[latencies.size() / 2]).count();
    bench.counters["p99_ms"] = std::chrono::duration<double, std::milli>(latencies[latencies.size() * 99 / 100]).count();
    bench.counters["extra_percent"] = 100.0 * hedges / subRequests;
}
BENCHMARK(stragglers)->Arg(0)->Arg(1)->Arg(2)->Arg(3)->Iterations(1)->Unit(benchmark::kMillisecond);
}

BENCHMARK_MAIN();
