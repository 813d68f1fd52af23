"""Goodput and fairness when more is offered than the searchers can do."""
import concurrent.futures

import benches

SHARDS = 10
SEARCHERS = 5
SLOTS = 2
SERVICE_MS = 20.0
DEADLINE_MS = 500
# Queries a second that the slots can serve.
CAPACITY = SEARCHERS * SLOTS * 1000 / SERVICE_MS / SHARDS
RATE = 0.9 * CAPACITY
# Seconds and multiples of the offered load.
PHASES = [(10, 1), (30, 2), (10, 1), (15, 4), (5, 1)]
WARM_UP_S = 4
FAIR_S = 12


def window(total, phase, field, skip=0):
    start = sum(seconds for seconds, _ in PHASES[:phase])
    return total[field][start + skip:start + PHASES[phase][0]]


def goodput(total, phase, skip=2):
    return benches.mean(window(total, phase, "good_by_second", skip))


def recovered_after(total):
    """Seconds after the end of the 2 times overload until two seconds in a row reach 95% of the good share before it."""
    before = sum(window(total, 0, "good_by_second", WARM_UP_S)) / max(sum(window(total, 0, "offered_by_second", WARM_UP_S)), 1)
    good = window(total, 2, "good_by_second")
    offered = window(total, 2, "offered_by_second")
    for second in range(len(good) - 1):
        if sum(good[second:second + 2]) >= 0.95 * before * sum(offered[second:second + 2]):
            return second
    return len(good)


def fair(bed, name, factor):
    callers = [benches.caller(bed.layout, "guides", 0.3 * CAPACITY, deadline_ms=DEADLINE_MS),
               benches.caller(bed.layout, "partners", 0.3 * CAPACITY * factor, deadline_ms=DEADLINE_MS)]
    return bed.run_load(name, {"warm_up_s": 2, "phases": [{"seconds": FAIR_S}], "callers": callers}, 60)["callers"]["guides on guide-app"]


def one(naive, number):
    description = benches.single_back_end(SHARDS, SEARCHERS, SLOTS, SERVICE_MS, hosts=1, replicas=2)
    with benches.bed(description, number, "overload-naive" if naive else "overload", naive) as bed:
        bed.start()
        callers = [benches.caller(bed.layout, "guides", RATE, deadline_ms=DEADLINE_MS)]
        phases = [{"seconds": seconds, "factor": factor} for seconds, factor in PHASES]
        total = bed.run_load("load", {"warm_up_s": WARM_UP_S, "phases": phases, "callers": callers}, 120)["total"]
        alone = fair(bed, "fair", 1)
        beside = fair(bed, "unfair", 10)
    peak = max(goodput(total, 0, WARM_UP_S), 0.001)
    total.update({
        "peak": peak, "goodput_2x": goodput(total, 1) / peak, "goodput_4x": goodput(total, 3) / peak, "recovered_s": recovered_after(total),
        "alone_p99_ms": alone["p99_ms"], "beside_p99_ms": beside["p99_ms"], "victim_p99_ratio": beside["p99_ms"] / max(alone["p99_ms"], 0.001),
        "alone_share": alone["whole"] / alone["queries"], "beside_share": beside["whole"] / beside["queries"],
    })
    return total


def run():
    with concurrent.futures.ThreadPoolExecutor() as pool:
        first, second = pool.submit(one, True, 1), pool.submit(one, False, 2)
        naive, now = first.result(), second.result()
    print(f"{SHARDS} shards a query, searchers for {CAPACITY:.0f} queries a second, 1 times load is {RATE:.0f}, deadline {DEADLINE_MS} ms;\n"
          "naive and now ran at the same time on separate searchers")
    figures = [
        ("peak", "right answers in time a second at 1 times load"),
        ("goodput_2x", "the same at 2 times load for 30 s, as a share of the peak"),
        ("goodput_4x", "the same at 4 times load for 15 s"),
        ("recovered_s", "seconds after the 2 times load until 95% of the good share is back"),
        ("refused", "queries refused as not run, over the whole run"),
        ("failed", "queries that ended below the minimum coverage"),
        ("lost", "queries without an answer"),
        ("wrong", "answers that differ from the data"),
        ("alone_p99_ms", "p99 of a caller at 0.3 of capacity beside one at the same rate"),
        ("beside_p99_ms", "its p99 while the other sends 10 times as much"),
        ("victim_p99_ratio", "the ratio of the two"),
        ("alone_share", "share of its queries answered whole before"),
        ("beside_share", "and while the other sends 10 times as much"),
    ]
    benches.table(("", "naive", "now", "what it is"), [(name, naive[name], now[name], text) for name, text in figures])
    benches.verdict("goodput at 4 times load", now["goodput_4x"], "at least 0.9", now["goodput_4x"] >= 0.9)
    benches.verdict("recovery in s", now["recovered_s"], "under 5", now["recovered_s"] < 5)
    benches.verdict("p99 of the well-behaved caller as a multiple", now["victim_p99_ratio"], "at most 1.5", now["victim_p99_ratio"] <= 1.5)
    print(f"overload: goodput_2x={now['goodput_2x']:.3f} goodput_4x={now['goodput_4x']:.3f} recovered_s={now['recovered_s']} "
          f"victim_p99_ratio={now['victim_p99_ratio']:.2f}")
