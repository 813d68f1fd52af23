"""Deployments and helpers of scripts/measure."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import deployment  # noqa: E402
import testbed  # noqa: E402

RUNS = os.environ.get("QUETZALLIFT_RUNS", os.path.join(testbed.BUILD, "runs"))
DATA_CENTRE = "kingston-a"


def single_back_end(shards, searchers, slots, service_ms, hosts, replicas=3, policy=None):
    """One data centre with one back end, so that a figure has one cause."""
    return {
        "name": "bench",
        "data_centres": [{"name": DATA_CENTRE, "region": "kingston", "hosts": hosts}],
        "data_centre_ms": 0,
        "region_ms": 0,
        "back_ends": [{
            "name": "guide-app", "searchers": searchers, "slots": slots, "connections": 100, "connection_cost_ms": 5,
            "service_ms": service_ms, "shards": shards, "replicas": replicas,
            "policy": policy or {"preference": "coverage", "maximum_deadline_ms": 5000},
        }],
        "callers": [{"name": name, "back_ends": ["guide-app"]} for name in ("guides", "partners", "desks", "shops")],
    }


def bed(description, number, name, naive=False, hosts=None, traffic_threads=1):
    folder = os.path.join(RUNS, name)
    layout = deployment.Layout(description, number, folder, hosts)
    return testbed.Testbed(layout, naive, traffic_threads)


def caller(layout, name, rate, **more):
    return {"name": name, "back_end": "guide-app", "data_centre": DATA_CENTRE, "rate": rate,
            "local_address": f"{layout.prefix(DATA_CENTRE)}200", **more}


def table(columns, rows):
    """Prints rows under the given column names; the last column of each row says what the figure is."""
    lines = [list(map(str, columns))] + [[cell if isinstance(cell, str) else f"{cell:.3g}" if cell < 100 else f"{cell:.0f}" for cell in row] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip())


def verdict(name, value, target, met):
    print(f"target: {name} {value:.4g}, wanted {target}: {'met' if met else 'MISSED'}")


def mean(values):
    return sum(values) / len(values) if values else 0.0
