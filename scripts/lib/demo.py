"""Runs both deployments on loopback side by side, disturbs them and tells what callers saw."""
import concurrent.futures
import os
import subprocess
import sys
import time

import benches
import deployment
import testbed

STRAGGLER, STRAGGLER_END, LOST, DRAIN, END = 4, 9, 11, 16, 24
BARS = "▁▂▃▄▅▆▇█"


def callers(layout):
    plans = []
    for index, caller in enumerate(layout.deployment["callers"]):
        for back_end in caller["back_ends"]:
            data_centre = layout.data_centres[index % len(layout.data_centres)]
            plans.append({"name": caller["name"], "back_end": back_end, "data_centre": data_centre, "rate": caller["rate"],
                          "local_address": layout.prefix(data_centre) + "200", "deadline_ms": 1000, "once_share": caller.get("once_share", 0.0),
                          "resend_once": True, "minimum_coverage": caller.get("minimum_coverage", 1.0)})
    return plans


def bar(values, top):
    return "".join(BARS[min(int(value / max(top, 1) * len(BARS)), len(BARS) - 1)] for value in values)


def describe(layout):
    searchers = sum(len(own) for own in layout.searchers.values())
    text = [f"{layout.deployment['name']}: {len(layout.hosts)} entry hosts, {searchers} searchers, data centres {', '.join(layout.data_centres)}"]
    for back_end in layout.deployment["back_ends"]:
        text.append(f"  {back_end['name']:15} {back_end['searchers']:3} searchers  {back_end['shards']:3} shards, {back_end['replicas']} replicas each  "
                    f"{back_end['policy']['preference']} first")
    return "\n".join(text)


def sample_query(bed):
    """One query as a caller would send it from the command line."""
    caller = bed.layout.deployment["callers"][0]
    arguments = [testbed.QUETZALLIFT, "query", "--hosts", bed.layout.hosts[0]["address"], "--caller", caller["name"],
                 "--back-end", caller["back_ends"][0], "--key", "tour-1907", "--data-centre", bed.layout.data_centres[0]]
    result = subprocess.run(arguments, capture_output=True, text=True, timeout=10, check=False)
    lines = (result.stdout or result.stderr).splitlines()
    return f"$ quetzallift query --caller {caller['name']} --back-end {caller['back_ends'][0]} --key tour-1907\n" + "\n".join("    " + line for line in lines[:6])


def disturb(bed, start):
    layout = bed.layout
    back_end = layout.deployment["back_ends"][0]["name"]
    slow, lost = layout.searchers[back_end][0]["address"], layout.searchers[back_end][4]["address"]
    host = layout.hosts[-1]["name"]
    story = []

    def at(second, text, step):
        time.sleep(max(start + second - time.monotonic(), 0))
        step()
        story.append((second, text))

    at(STRAGGLER, f"searcher {slow} of {back_end} works 15 times slower", lambda: bed.set_searchers({"slow_share": 1.0, "slow_from": 15, "slow_to": 15}, {"address": slow}))
    at(STRAGGLER_END, "it is back to its usual speed", lambda: bed.set_searchers({"slow_share": 0.0}, {"address": slow}))
    at(LOST, f"searcher {lost} of {back_end} is lost", lambda: bed.set_searchers({"killed": True}, {"address": lost}))
    at(DRAIN, f"entry host {host} gets a stop signal and drains", lambda: (bed.set_host_list({host}), bed.processes[host].signal(15)))
    return story


def drained(bed):
    name = bed.layout.hosts[-1]["name"]
    try:
        code = bed.processes[name].wait(20)
    except subprocess.TimeoutExpired:
        return f"entry host {name} had not ended when the demo did"
    return f"entry host {name} ended by itself with exit code {code}" + (": it cut off no query" if code == 0 else "")


def one(name, number):
    description = deployment.read_commented_json(os.path.join(testbed.ROOT, "examples", name + ".json"))
    with benches.bed(description, number, "demo-" + name, hosts=1) as bed:
        bed.start()
        sample = sample_query(bed)
        bed.start_load("load", {"seed": number, "warm_up_s": 1, "phases": [{"seconds": END}], "callers": callers(bed.layout)})
        story = disturb(bed, time.monotonic())
        summary = bed.finish_load("load", 30)
        end = drained(bed)
        summary["doubled"] = bed.searcher_counts()["doubled"]
        summary["hedges"] = bed.metric("quetzallift_hedges_total")
        summary["retries"] = bed.metric("quetzallift_retries_total")
    return bed.layout, sample, story, summary, end


def tell(layout, sample, story, summary, end):
    total = summary["total"]
    print(f"\n{describe(layout)}\n\n{sample}\n")
    top = max(total["slowest_ms_by_second"] or [0])
    print(f"  whole answers a second   {bar(total['whole_by_second'], max(total['offered_by_second']))}")
    print(f"  slowest answer           {bar(total['slowest_ms_by_second'], top)}  up to {top:.0f} ms")
    for second, text in story:
        print(f"  {second:3} s  {text}")
    print(f"         {end}")
    print(f"  {total['queries']} queries: {total['whole']} whole, {total['partial']} partial, {total['refused']} refused, {total['failed']} failed, "
          f"{total['lost']} lost, {total['wrong']} wrong, {total['silent_partial']} silently partial, {summary['doubled']} doubled")
    print(f"  p50 {total['p50_ms']:.0f} ms, p95 {total['p95_ms']:.0f} ms, p99 {total['p99_ms']:.0f} ms; "
          f"{summary['hedges']:.0f} hedges and {summary['retries']:.0f} retries on the hosts still there")
    for name, caller in summary["callers"].items():
        print(f"    {name:27} p50 {caller['p50_ms']:6.1f} ms   p99 {caller['p99_ms']:6.1f} ms   {caller['whole']} of {caller['queries']} whole")


def main():
    with concurrent.futures.ThreadPoolExecutor() as pool:
        runs = [pool.submit(one, "blue-mahoe", 1), pool.submit(one, "brazos-hail", 2)]
        results = [run.result() for run in runs]
    for result in results:
        tell(*result)
    totals = [summary["total"] for _, _, _, summary, _ in results]
    count = {name: sum(total[name] for total in totals) for name in ("queries", "answered", "whole", "partial", "refused", "wrong", "silent_partial", "lost")}
    doubled = sum(summary["doubled"] for _, _, _, summary, _ in results)
    right = count["queries"] > 0 and count["wrong"] + count["silent_partial"] + count["lost"] + doubled == 0
    print(f"\n{'Every answer was right, checked against the data.' if right else 'NOT every answer was right: see build/runs/demo-*/load.log.'}")
    print(f"demo: queries={count['queries']} answered={count['answered']} whole={count['whole']} partial={count['partial']} refused={count['refused']} "
          f"p50_ms={max(total['p50_ms'] for total in totals):.1f} p99_ms={max(total['p99_ms'] for total in totals):.1f}")
    sys.exit(0 if right else 1)


main()
