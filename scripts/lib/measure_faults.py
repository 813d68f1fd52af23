"""What callers see while parts of a deployment fail."""
import os
import time

import benches
import deployment
import testbed

# When each fault begins and ends, in seconds after the start of the load.
CUT, HEAL, DRAIN, KILL_SEARCHER, KILL_HOST, RESTART_HOST, END = 5, 13, 15, 19, 23, 27, 32
FAULTS = [("cut data centre", CUT, HEAL), ("healed", HEAL, DRAIN), ("drained searcher", DRAIN, KILL_SEARCHER),
          ("killed searcher", KILL_SEARCHER, KILL_HOST), ("killed entry host", KILL_HOST, RESTART_HOST), ("host back", RESTART_HOST, END)]
PLANS = {"guides": "guide-app", "partners": "partner-portal", "desks": "booking-desk"}


def callers(layout):
    """Each caller of the deployment in each data centre, with at-most-once requests sent again when a connection closes."""
    plans = []
    for data_centre in layout.data_centres:
        for name, back_end in PLANS.items():
            plans.append({"name": name, "back_end": back_end, "data_centre": data_centre, "local_address": layout.prefix(data_centre) + "200",
                          "rate": 5, "deadline_ms": 1000, "minimum_coverage": 0.5, "once_share": 0.2 if name == "desks" else 0.0, "resend_once": True})
    return plans


def cut(bed, data_centre, on):
    """Cuts the links between the searchers and hosts of a data centre and all others, and from its hosts to the platform."""
    others = [name for name in bed.layout.data_centres if name != data_centre]
    for name in others:
        bed.set_searchers({"cut_from": [data_centre] if on else []}, {"data_centre": name})
    bed.set_searchers({"cut_from": others if on else []}, {"data_centre": data_centre})
    bed.set_platform({"cut_from": [bed.layout.prefix(data_centre)] if on else []})


def inject(bed, start):
    layout = bed.layout
    searchers = layout.searchers["guide-app"]
    host = layout.hosts[0]["name"]
    steps = [
        (CUT, lambda: cut(bed, layout.data_centres[2], True)),
        (HEAL, lambda: cut(bed, layout.data_centres[2], False)),
        (DRAIN, lambda: bed.set_searchers({"draining": True}, {"address": searchers[0]["address"]})),
        (KILL_SEARCHER, lambda: bed.set_searchers({"killed": True}, {"address": searchers[1]["address"]})),
        (KILL_HOST, lambda: bed.kill_host(host)),
        (RESTART_HOST, lambda: bed.start_host(host)),
    ]
    for at, step in steps:
        time.sleep(max(start + at - time.monotonic(), 0))
        step()


def affected_seconds(total, begin, end):
    """Seconds from the begin of a fault until every query is answered whole and in time again."""
    last = begin - 1
    for second in range(begin, min(end, len(total["offered_by_second"]))):
        if total["whole_by_second"][second] < total["offered_by_second"][second]:
            last = second
    return last + 1 - begin


def one(naive, number):
    description = deployment.read_commented_json(os.path.join(testbed.ROOT, "examples", "blue-mahoe.json"))
    with benches.bed(description, number, "faults-naive" if naive else "faults", naive, hosts=1) as bed:
        bed.start()
        bed.start_load("load", {"warm_up_s": 0, "phases": [{"seconds": END}], "callers": callers(bed.layout)})
        inject(bed, time.monotonic())
        total = bed.finish_load("load", 60)["total"]
        counts = bed.searcher_counts()
    total["doubled"] = counts["doubled"]
    total["once_requests"] = len(counts["once_runs"])
    total["arrived_while_draining"] = counts["arrived_while_draining"]
    total["affected"] = {name: affected_seconds(total, begin, end) for name, begin, end in FAULTS}
    total["cutover_s"] = total["affected"]["cut data centre"]
    return total


def run():
    naive = one(True, 1)
    now = one(False, 2)
    print("Blue Mahoe with one entry host a data centre, 45 queries a second; cut means that searchers and hosts of ocho-a exchange nothing\n"
          "with the others or the platform; links between entry hosts stay")
    figures = [
        ("queries", "sent"),
        ("whole", "answers that cover every shard"),
        ("partial", "answers that name what is missing"),
        ("refused", "refused as not run"),
        ("failed", "failed, and said so"),
        ("lost", "no answer although another host could be asked"),
        ("unknown", "at-most-once requests whose connection closed"),
        ("doubled", "at-most-once sub-requests that ran more than once"),
        ("once_requests", "at-most-once sub-requests that ran"),
        ("wrong", "answers that differ from the data"),
        ("silent_partial", "answers that cover less than they say"),
        ("late", "answers after the deadline"),
        ("arrived_while_draining", "sub-requests to the drained searcher after it began to leave"),
        ("p50_ms", "median latency"),
        ("p99_ms", "99th percentile"),
    ]
    rows = [(name, naive[name], now[name], text) for name, text in figures]
    for name, _, _ in FAULTS:
        rows.append((name, naive["affected"][name], now["affected"][name], "seconds until every query is whole and in time again"))
    benches.table(("", "naive", "now", "what it is"), rows)
    for name in ("lost", "doubled", "wrong", "silent_partial"):
        benches.verdict(name, now[name], "0", now[name] == 0)
    print(f"faults: lost={now['lost']} doubled={now['doubled']} wrong={now['wrong']} silent_partial={now['silent_partial']} cutover_s={now['cutover_s']}")
