"""Works out each role at the size of two years from now, from slopes measured in this run."""
import json
import math
import os
import re
import subprocess

import measure_path
import testbed

HOSTS = 5800
SEARCHERS = 24000
QUERIES = 740000
SHARDS = 74
DATA_CENTRES = 7
CHANGES = 10000 / 86400
RESTARTS = 4400 / 86400
BYTES_BUDGET = 2000
CORE_BUDGET_PCT = 2.6
MEMORY_BUDGET_MB = 64
PLATFORM_READS = 2000
# "Several hundred" in the users' words.
PLATFORM_WRITES = 300
OBJECT_LIMIT_MB = 1.0
SLOPES = re.compile(
    r"hosts +(\d+) .*sent +(\d+) B/s in +([\d.]+) messages/s +received +(\d+) B/s.*decide ([\d.]+)% of a core +codec ([\d.]+)% +memory ([\d.]+) MB")


def measure_slopes():
    """The cost of control for one host at each size of the fleet, as benchmarks/slopes prints it."""
    program = os.path.join(testbed.BUILD, "benchmarks", "slopes")
    output = subprocess.run([program], capture_output=True, text=True, check=True, timeout=300).stdout
    slopes = {}
    for hosts, sent, messages, received, decide, codec, memory in SLOPES.findall(output):
        slopes[int(hosts)] = {"sent": float(sent), "messages": float(messages), "received": float(received),
                              "core_pct": float(decide) + float(codec), "memory_mb": float(memory)}
    return slopes


def bundle_bytes_per_searcher():
    """The size of a bundle of 324 back ends of 74 searchers with two replicas a shard, for each searcher."""
    cell = [{"address": f"10.10.{n // 250}.{n % 250}:7100", "data_centre": "kingston-a", "slots": 2, "connections": 25} for n in range(SHARDS)]
    shards = [{"id": n, "weight": 1000 + n, "replicas": [cell[n]["address"], cell[(n + 1) % SHARDS]["address"]]} for n in range(SHARDS)]
    back_end = {"name": "guide-app-001", "searchers": cell, "layouts": [{"first_snapshot": 1, "shards": shards}]}
    return len(json.dumps(back_end, separators=(",", ":"))) / SHARDS


def rows(slopes, path, bundle_bytes):
    at = slopes[HOSTS]
    queries = QUERIES / HOSTS
    sub_requests = QUERIES * SHARDS / SEARCHERS
    bundle_mb = bundle_bytes * SEARCHERS / 1e6
    reads = 2 * DATA_CENTRES * 0.7 + 2 * min(20, HOSTS / 30) + 5 * RESTARTS
    hops = math.ceil(math.log(HOSTS) / math.log(5))
    lost = HOSTS / DATA_CENTRES
    return [
        ("entry host, control", "messages sent, B/s", at["sent"], BYTES_BUDGET, f"slopes at {HOSTS} hosts, payload", "probes of one random host a second, bounded statements"),
        ("entry host, control", "messages received, B/s", at["received"], BYTES_BUDGET, f"slopes at {HOSTS} hosts, payload", "as above"),
        ("entry host, control", "whole bundles received, B/s", bundle_mb * 1e6 * CHANGES, BYTES_BUDGET,
         f"{bundle_bytes:.0f} B a searcher x {SEARCHERS} x {CHANGES:.3f} changes/s", "needs bundles in parts by cell, sent as differences; not built"),
        ("entry host, control", "processor, % of a core", at["core_pct"], CORE_BUDGET_PCT, f"slopes at {HOSTS} hosts, decisions and codec", "constant probes; without adopting bundles"),
        ("entry host, control", "memory, MB", at["memory_mb"], MEMORY_BUDGET_MB, f"slopes at {HOSTS} hosts", "membership table; without the bundle"),
        ("entry host, traffic", "cores for queries", queries * path["core_us"] / 1e6, None, f"{queries:.1f} queries/s x {path['core_us']:.0f} us (measure path)", "traffic threads; no budget is stated"),
        ("entry host, traffic", "connections held", min(100, 25) * SEARCHERS / HOSTS, None, f"25 x {SEARCHERS} / {HOSTS}; 100 x gives {100 * SEARCHERS / HOSTS:.0f}",
         "cells: 18 hosts for 74 searchers, instead of all 139 million pairs"),
        ("searcher", "slot time for a sub-request, ms, at most", 2000 / sub_requests, None, f"2 slots / {sub_requests:.0f} sub-requests/s, no spare; 4 slots {4000 / sub_requests:.2f}",
         "none: the searchers themselves must be this fast"),
        ("searcher", "time of a sub-request, ms, at most", 25000 / sub_requests, None, f"25 connections / {sub_requests:.0f}/s, one request on each",
         "replicas in the same data centre only"),
        ("watcher", "platform reads and watches of the fleet, /s", reads, PLATFORM_READS, "2 x 7 x 0.7 + 2 x min(20, n/30) + 5 x restarts/s", "two watchers a data centre by rendezvous hash"),
        ("entry host, counts", "platform writes of the fleet, /s", HOSTS / 60, PLATFORM_WRITES, "n / 60 s", "one object a host, written once a minute"),
        ("lease holder", "leases", 0, 0, "none is needed", "conditional updates instead"),
        ("relay of generations", "hops to all hosts", hops, None, f"log {HOSTS} / log 5 (fan-out 4)", "announcement to 4 random hosts, repaired by every probe"),
        ("platform", "largest object, MB", bundle_mb, OBJECT_LIMIT_MB, f"{bundle_bytes:.0f} B x {SEARCHERS}", "needs one object for each part of a bundle; not built"),
        ("platform", "reads after a data centre returns, /s", lost * 5 / 60, PLATFORM_READS, f"{lost:.0f} hosts x 5 reads, spread by each host's call budget over 60 s", "call budget and jitter"),
    ]


def print_table(table):
    print("| role | quantity | at the size | budget | from | mechanism |\n|---|---|---|---|---|---|")
    for role, quantity, value, budget, formula, mechanism in table:
        limit = "" if budget is None else f"{budget:g} {'ok' if value <= budget else 'OVER'}"
        print(f"| {role} | {quantity} | {value:.4g} | {limit} | {formula} | {mechanism} |")


def run():
    slopes = measure_slopes()
    path = measure_path.one(False, 2)
    table = rows(slopes, path, bundle_bytes_per_searcher())
    print_table(table)
    bounded = [(value, budget) for _, _, value, budget, _, _ in table if budget is not None]
    over = sum(value > budget for value, budget in bounded)
    print(f"capacity: rows={len(table)} within_budget={len(bounded) - over} over_budget={over}")


def run_slopes():
    slopes = measure_slopes()
    for hosts, costs in sorted(slopes.items()):
        print(f"{hosts:5d} hosts: sent {costs['sent']:.0f} B/s, received {costs['received']:.0f} B/s, {costs['core_pct']:.4f}% of a core, {costs['memory_mb']:.2f} MB")
    # Two one-way delays between regions for each hop, one probe period for a lost announcement: worked out, not run.
    hop_s = 2 * 0.020
    hops = math.ceil(math.log(HOSTS) / math.log(5))
    at = slopes[HOSTS]
    print(f"slopes: bytes_per_host_s_at_5800={at['sent']:.0f} core_pct_at_5800={at['core_pct']:.4f} mb_at_5800={at['memory_mb']:.2f} "
          f"convergence_s_at_5800={hops * hop_s * 2 + 1.0:.2f}")
