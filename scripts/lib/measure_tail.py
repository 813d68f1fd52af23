"""Tail latency with stragglers and a lost replica."""
import benches

SHARDS = 74
SEARCHERS = 37
SLOTS = 2
# Long enough that the processor time of the entry hosts stays a small part of the latency.
SERVICE_MS = 20.0
SLOW_SHARE = 0.01
SECONDS = 20
WARM_UP_S = 5


def rate():
    """Queries a second that leave 20% spare capacity with stragglers and without the lost searcher's slots."""
    mean_ms = SERVICE_MS * (1 + SLOW_SHARE * 14)
    capacity = (SEARCHERS - 1) * SLOTS * 1000 / mean_ms / SHARDS
    return capacity / 1.2


def one(name, naive, slow_share, number):
    description = benches.single_back_end(SHARDS, SEARCHERS, SLOTS, SERVICE_MS, hosts=2)
    with benches.bed(description, number, "tail-" + name, naive) as bed:
        bed.start()
        lost = bed.layout.searchers["guide-app"][5]["address"]
        bed.set_searchers({"slow_share": slow_share, "queue": 1000})
        bed.set_searchers({"killed": True}, {"address": lost})
        callers = [benches.caller(bed.layout, caller, rate() / 4, deadline_ms=3000) for caller in ("guides", "partners", "desks", "shops")]
        total = bed.run_load("load", {"warm_up_s": WARM_UP_S, "phases": [{"seconds": WARM_UP_S + SECONDS}], "callers": callers}, 60)["total"]
        first = bed.metric("quetzallift_sub_requests_total")
        total["hedges"] = bed.metric("quetzallift_hedges_total") / max(first, 1)
        total["retries"] = bed.metric("quetzallift_retries_total") / max(first, 1)
        total["extra"] = total["hedges"] + total["retries"]
        total["ran"] = bed.searcher_counts()["ran"] / max(first, 1)
    return total


def run():
    ideal = one("ideal", False, 0.0, 1)
    naive = one("naive", True, SLOW_SHARE, 2)
    now = one("now", False, SLOW_SHARE, 3)
    print(f"{SHARDS} shards a query on {SEARCHERS} searchers with {SLOTS} slots, one of them lost, 3 replicas, {SERVICE_MS:.0f} ms of work,\n"
          f"{SLOW_SHARE:.0%} of replies 10 to 20 times slower (none in ideal), {rate():.1f} queries a second: 20% spare capacity")
    figures = [
        ("queries", "sent, with those of the warm-up"),
        ("whole", "answers that cover every shard"),
        ("refused", "queries not taken on"),
        ("failed", "answers below the minimum coverage"),
        ("wrong", "answers that differ from the data"),
        ("coverage", "mean coverage of the answers"),
        ("p50_ms", "median latency at the caller"),
        ("p99_ms", "99th percentile"),
        ("hedges", "hedges for each first sub-request"),
        ("retries", "retries for each first sub-request"),
        ("extra", "the sum of both"),
        ("ran", "sub-requests that searchers began, for each first one"),
    ]
    benches.table(("", "ideal", "naive", "now", "what it is"), [(name, ideal[name], naive[name], now[name], text) for name, text in figures])
    ratio = now["p99_ms"] / max(ideal["p99_ms"], 0.001)
    benches.verdict("p99 as a multiple of ideal", ratio, "at most 1.5", ratio <= 1.5)
    benches.verdict("extra sub-requests", now["extra"], "at most 0.05", now["extra"] <= 0.05)
    benches.verdict("coverage", now["coverage"], "1", now["coverage"] >= 1.0 and now["refused"] == 0)
    benches.verdict("wrong answers", now["wrong"] + now["silent_partial"], "0", now["wrong"] + now["silent_partial"] == 0)
    print(f"tail: naive_p99_ms={naive['p99_ms']:.1f} p99_ms={now['p99_ms']:.1f} ideal_p99_ms={ideal['p99_ms']:.1f} ratio_to_ideal={ratio:.2f} "
          f"extra_load={now['extra']:.4f} coverage={now['coverage']:.4f} wrong={now['wrong'] + now['silent_partial']}")
