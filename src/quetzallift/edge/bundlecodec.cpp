#include "quetzallift/edge/bundlecodec.h"

#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/socketaddress.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <set>

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumNameLength = 256;
constexpr unsigned MaximumSlots = 4096;
constexpr unsigned MaximumConnections = 100000;
constexpr std::uint64_t MaximumWeight = 1ULL << 48U;

BackEndPolicy decodePolicy(JsonFields fields)
{
    BackEndPolicy policy;
    const std::string preference = fields.choice("preference", {"latency", "coverage"}, "latency");
    policy.preference = preference == "latency" ? DeadlinePreference::Latency : DeadlinePreference::Coverage;
    policy.latencyTarget = fields.milliseconds("latency_target_ms", std::chrono::milliseconds(1), std::chrono::minutes(1), policy.latencyTarget);
    policy.maximumDeadline = fields.milliseconds("maximum_deadline_ms", std::chrono::milliseconds(1), std::chrono::minutes(1), policy.maximumDeadline);
    policy.hedgeBudget = fields.number("hedge_budget", 0.0, 1.0, policy.hedgeBudget);
    policy.retryBudget = fields.number("retry_budget", 0.0, 1.0, policy.retryBudget);
    fields.rejectUnknown();
    return policy;
}

Searcher decodeSearcher(JsonFields &fields)
{
    Searcher searcher;
    searcher.address = fields.text("address", MaximumNameLength);
    parseAddress(searcher.address);
    searcher.dataCentre = fields.text("data_centre", MaximumNameLength);
    searcher.cell = fields.text("cell", std::string(), MaximumNameLength);
    searcher.slots = static_cast<unsigned>(fields.integer("slots", 1, MaximumSlots, searcher.slots));
    searcher.connectionLimit = static_cast<unsigned>(fields.integer("connections", 1, MaximumConnections, searcher.connectionLimit));
    searcher.connectionCost = fields.milliseconds("connection_cost_ms", Duration::zero(), std::chrono::seconds(10), searcher.connectionCost);
    fields.rejectUnknown();
    return searcher;
}

Shard decodeShard(JsonFields &fields, const BackEnd &backEnd)
{
    Shard shard;
    shard.id.value = fields.integer("id", 0, UINT32_MAX);
    shard.weight = fields.integer("weight", 1, MaximumWeight, 1);
    shard.replicas = fields.texts("replicas");
    if (shard.replicas.empty()) {
        fields.fail("replicas", "at least one address of a searcher of this back end");
    }
    for (const std::string &replica : shard.replicas) {
        if (!backEnd.searchers.contains(replica)) {
            fields.fail("replicas", "addresses of searchers of this back end, not " + replica);
        }
    }
    fields.rejectUnknown();
    return shard;
}

Layout decodeLayout(JsonFields &fields, const BackEnd &backEnd)
{
    Layout layout;
    layout.firstSnapshot.value = fields.integer("first_snapshot", 1, UINT64_MAX);
    for (JsonFields &shard : fields.objects("shards")) {
        layout.shards.push_back(decodeShard(shard, backEnd));
    }
    std::set<ShardId> ids;
    for (const Shard &shard : layout.shards) {
        if (!ids.insert(shard.id).second) {
            fields.fail("shards", "shards with different ids; " + std::to_string(shard.id.value) + " occurs twice");
        }
    }
    if (layout.shards.empty()) {
        fields.fail("shards", "at least one shard");
    }
    fields.rejectUnknown();
    return layout;
}

BackEnd decodeBackEnd(JsonFields &fields)
{
    BackEnd backEnd;
    backEnd.name = fields.text("name", MaximumNameLength);
    backEnd.policy = fields.has("policy") ? decodePolicy(fields.object("policy")) : BackEndPolicy{};
    for (JsonFields &item : fields.objects("searchers")) {
        Searcher searcher = decodeSearcher(item);
        const std::string address = searcher.address;
        if (!backEnd.searchers.emplace(address, std::move(searcher)).second) {
            item.fail("address", "an address that no other searcher of this back end has");
        }
    }
    for (JsonFields &item : fields.objects("layouts")) {
        backEnd.layouts.push_back(decodeLayout(item, backEnd));
    }
    const bool ordered = std::is_sorted(backEnd.layouts.begin(), backEnd.layouts.end(), [](const Layout &left, const Layout &right) {
        return left.firstSnapshot <= right.firstSnapshot;
    });
    if (backEnd.layouts.empty() || !ordered) {
        fields.fail("layouts", "at least one layout, ordered by different first_snapshot");
    }
    fields.rejectUnknown();
    return backEnd;
}

CallerPolicy decodeCaller(JsonFields &fields)
{
    CallerPolicy caller;
    caller.name = fields.text("name", MaximumNameLength);
    caller.share = fields.number("share", 0.001, 1000.0, caller.share);
    caller.backEnds = fields.texts("back_ends");
    fields.rejectUnknown();
    return caller;
}

Objective decodeObjective(JsonFields &fields)
{
    Objective objective;
    objective.backEnd = fields.text("back_end", MaximumNameLength);
    objective.caller = fields.text("caller", std::string());
    objective.latency = fields.milliseconds("latency_ms", std::chrono::milliseconds(1), std::chrono::minutes(1), objective.latency);
    objective.latencyRatio = fields.number("latency_ratio", 0.0, 1.0, objective.latencyRatio);
    objective.coverage = fields.number("coverage", 0.0, 1.0, objective.coverage);
    objective.coverageRatio = fields.number("coverage_ratio", 0.0, 1.0, objective.coverageRatio);
    objective.refusalRatio = fields.number("refusal_ratio", 0.0, 1.0, objective.refusalRatio);
    fields.rejectUnknown();
    return objective;
}
}

BundlePtr decodeBundle(const nlohmann::json &content, const std::string &source)
{
    JsonFields fields(content, Step::Prepare, source);
    RefPtr<Bundle> bundle(new Bundle);
    bundle->author = fields.text("author", MaximumNameLength);
    bundle->comment = fields.text("comment", std::string());
    for (JsonFields &item : fields.objects("back_ends")) {
        BackEnd backEnd = decodeBackEnd(item);
        const std::string name = backEnd.name;
        if (!bundle->backEnds.emplace(name, std::move(backEnd)).second) {
            item.fail("name", "a name that no other back end has");
        }
    }
    for (JsonFields &item : fields.objects("callers")) {
        CallerPolicy caller = decodeCaller(item);
        const std::string name = caller.name;
        if (!bundle->callers.emplace(name, std::move(caller)).second) {
            item.fail("name", "a name that no other caller has");
        }
    }
    for (JsonFields &item : fields.objects("objectives")) {
        bundle->objectives.push_back(decodeObjective(item));
    }
    fields.rejectUnknown();
    bundle->content = content.dump();
    bundle->digest = digestOf(content);
    return bundle;
}

std::string digestOf(const nlohmann::json &content)
{
    // nlohmann::json sorts object keys, so that dump() without indentation is a canonical form.
    const std::string canonical = content.dump();
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(canonical.data()), canonical.size(), nullptr, 0);
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}
}
