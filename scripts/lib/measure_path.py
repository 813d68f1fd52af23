"""What one query costs on an entry host when no searcher is slow."""
import benches

SHARDS = 74
RATE = 40
SECONDS = 10


def one(naive, number):
    description = benches.single_back_end(SHARDS, 37, 8, 2, hosts=1)
    with benches.bed(description, number, "path-naive" if naive else "path", naive) as bed:
        bed.start()
        plan = {"warm_up_s": 0, "phases": [{"seconds": 2}], "callers": [benches.caller(bed.layout, "guides", RATE)]}
        bed.run_load("warm-up", plan, 20)
        before = bed.host_cpu_seconds()
        plan["phases"] = [{"seconds": SECONDS}]
        total = bed.run_load("load", plan, 30 + SECONDS)["total"]
        cpu = bed.host_cpu_seconds() - before
    total["core_us"] = 1e6 * cpu / max(total["queries"], 1)
    return total


def run():
    naive = one(True, 1)
    now = one(False, 2)
    print(f"One entry host, one traffic thread, {SHARDS} sub-requests a query, {RATE} queries a second, service time 2 ms")
    benches.table(("", "naive", "now", "what it is"), [
        ("queries", naive["queries"], now["queries"], f"sent in {SECONDS} s"),
        ("whole", naive["whole"], now["whole"], "answers that cover every shard"),
        ("wrong", naive["wrong"], now["wrong"], "answers that differ from the data"),
        ("p50_ms", naive["p50_ms"], now["p50_ms"], "median latency at the caller"),
        ("p99_ms", naive["p99_ms"], now["p99_ms"], "99th percentile"),
        ("core_us_per_query", naive["core_us"], now["core_us"], "user and system time of the entry host's process"),
        ("qps_per_core", 1e6 / naive["core_us"], 1e6 / now["core_us"], "its inverse; not a run at that rate"),
    ])
    print(f"path: queries={now['queries']} wrong={now['wrong']} p50_ms={now['p50_ms']:.1f} p99_ms={now['p99_ms']:.1f} "
          f"core_us_per_query={now['core_us']:.0f} qps_per_core={1e6 / now['core_us']:.0f}")
