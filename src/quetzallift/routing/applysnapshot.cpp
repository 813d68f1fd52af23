#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/handlers.h"
#include "quetzallift/routing/hostpool.h"

#include <algorithm>
#include <vector>

namespace Quetzallift
{
namespace
{
// A tenth of each searcher's connections is reserved for joining hosts, and for connections of failed hosts that the
// searcher has not closed yet.
constexpr double ConnectionReserve = 0.1;

// A searcher serves on for some time after it has left; nothing is remembered much longer.
constexpr Duration FormerSearcherTime = std::chrono::minutes(10);

SearcherLoadPtr knownLoad(const RoutingState &state, const std::string &id)
{
    if (const auto found = state.searchers.find(id); found != state.searchers.end()) {
        return found->second;
    }
    const auto former = state.formerSearchers.find(id);
    return former == state.formerSearchers.end() ? nullptr : former->second.load;
}

SearcherLoadPtr loadOf(const RoutingState &state, const SearcherEntry &entry)
{
    SearcherLoadPtr load = knownLoad(state, entry.id);
    // Observations of the earlier process do not apply to a searcher that restarted under its id or moved.
    const bool same = load && load->entry.startedAtMs == entry.startedAtMs && load->entry.address == entry.address && load->entry.service == entry.service;
    if (!same) {
        load = SearcherLoadPtr(new SearcherLoad);
    }
    load->entry = entry;
    return load;
}

void applySearchers(ReduceContext &context, const SearcherTable &table)
{
    RoutingState &state = context.state.routing;
    std::map<std::string, SearcherLoadPtr> searchers;
    for (const auto &[id, entry] : table.entries) {
        searchers[id] = loadOf(state, entry);
    }
    for (const auto &[id, load] : state.searchers) {
        const auto kept = searchers.find(id);
        if (kept == searchers.end() || kept->second != load) {
            load->entry.draining = true;
            context.emit(CloseIdleConnections{id});
        }
        if (kept == searchers.end()) {
            state.formerSearchers[id] = {load, context.now};
        }
    }
    std::erase_if(state.formerSearchers, [&](const auto &former) {
        return searchers.contains(former.first) || former.second.removedAt + FormerSearcherTime < context.now;
    });
    state.searchers = std::move(searchers);
    for (auto &[name, service] : state.services) {
        service.searchers.clear();
    }
    for (const auto &[id, load] : state.searchers) {
        state.services[load->entry.service].searchers.push_back(load);
    }
}

void applyLimits(RoutingState &state)
{
    for (const auto &[name, policy] : state.routes->services) {
        ServiceLoad &service = state.services[name];
        const double limit = policy.connectionLimit * (1.0 - ConnectionReserve) * state.fleetShare;
        service.connections = std::max(1U, static_cast<unsigned>(limit));
        service.keepsIdleConnections = limit >= 1.0;
        service.retryBudget.resize(state.allowance, state.fleetShare);
    }
}
}

void applyAllowance(ReduceContext &context, const RetryAllowance &allowance)
{
    RoutingState &state = context.state.routing;
    state.allowance = allowance;
    if (state.routes) {
        applyLimits(state);
    }
}

void applyRoutingSnapshot(ReduceContext &context)
{
    RoutingState &state = context.state.routing;
    const ControlSnapshotPtr &control = context.state.query.control;
    if (!control || !control->routes) {
        return;
    }
    state.leaving = state.leaving || control->leaving;
    state.cutOffAt = control->cutOffAt;
    const bool limitsChanged = control->routes != state.routes || control->addresses != state.hosts;
    const bool searchersChanged = control->searchers && control->searchers != state.table;
    state.routes = control->routes;
    state.hosts = control->addresses;
    state.fleetShare = fleetShare(state.hosts, control->self);
    if (searchersChanged) {
        state.table = control->searchers;
        applySearchers(context, *state.table);
    }
    if (limitsChanged || searchersChanged) {
        applyLimits(state);
    }
    if (searchersChanged) {
        for (auto &[name, service] : state.services) {
            sendQueuedParts(context, service);
        }
    }
}
}
