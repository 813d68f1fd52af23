#pragma once

#include "stand_ins/simulation/bundles.h"
#include "stand_ins/simulation/simulation.h"

#include <map>

namespace Quetzallift
{
using Simulation::Outcome;
using Simulation::OutcomeKind;

// A simulation with a record of its sub-requests, recorded outcomes and metrics.
struct SimulationFixture {
    explicit SimulationFixture(std::size_t shards, std::size_t replicas = 2, DeadlinePreference preference = DeadlinePreference::Latency)
        : simulation(Simulation::makeBundle(shards, replicas, preference))
    {
        simulation.observe = [this](const Event &, const Effects &effects) {
            for (const Effect &effect : effects) {
                record(effect);
            }
        };
    }

    void record(const Effect &effect)
    {
        if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
            sent.push_back(*send);
        } else if (const auto *outcome = std::get_if<RecordOutcome>(&effect)) {
            recorded.push_back(*outcome);
        } else if (const auto *count = std::get_if<CountMetric>(&effect)) {
            counts[count->metric] += count->amount;
            labels[count->label] += count->amount;
        } else if (std::holds_alternative<ReportStopped>(effect)) {
            ++stopReports;
        }
    }

    static QueryRequest request(std::uint64_t query, bool repeatable = true)
    {
        QueryRequest request;
        request.requestId = "r" + std::to_string(query);
        request.caller = "guide";
        request.backEnd = "data";
        request.key = "pass";
        request.repeatable = repeatable;
        return request;
    }

    void query(std::uint64_t id, bool repeatable = true, double minimumCoverage = 1.0)
    {
        QueryRequest posted = request(id, repeatable);
        posted.minimumCoverage = minimumCoverage;
        simulation.after(Duration::zero(), EventBody{QueryArrived{{id}, posted}});
    }

    // Runs one query to its end and returns its answer.
    const QueryAnswer &run(std::uint64_t id, bool repeatable = true, double minimumCoverage = 1.0)
    {
        query(id, repeatable, minimumCoverage);
        simulation.run();
        return answer(id);
    }

    const QueryAnswer &answer(std::uint64_t id)
    {
        return simulation.answers.at({id}).at(0).answer;
    }

    // Sets the snapshot range that every searcher serves.
    void serve(std::uint64_t oldest, std::uint64_t newest)
    {
        for (auto &[address, range] : simulation.world.searchers) {
            range = {{oldest}, {newest}};
        }
    }

    Simulation::Simulation simulation;
    std::vector<SendSubRequest> sent;
    std::vector<RecordOutcome> recorded;
    std::map<Metric, double> counts;
    std::map<std::string, double> labels;
    int stopReports = 0;
};
}
