"""Lays a deployment out on loopback: settings, bundle, host list and stand-ins.

Every data centre has IP numbers of its own (127.D.C.x), by which the stand-ins know where a connection comes from.
"""
import json
import os
import re
import subprocess

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("QUETZALLIFT_BUILD", os.path.join(ROOT, "build"))
QUETZALLIFT = os.path.join(BUILD, "src/quetzallift/quetzallift")


def read_commented_json(path):
    with open(path, encoding="utf-8") as file:
        text = file.read()
    return json.loads(re.sub(r"^\s*//.*$", "", text, flags=re.MULTILINE))


def write_json(path, document):
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file, indent=1)
        file.write("\n")


class Layout:
    """One deployment with its addresses. number (1 to 4) keeps deployments on one machine apart."""

    def __init__(self, deployment, number, folder, hosts_per_data_centre=None):
        self.deployment = deployment
        self.number = number
        self.folder = folder
        self.base = 14000 + 1000 * number
        self.data_centres = [item["name"] for item in deployment["data_centres"]]
        self.platform = f"127.{number}.0.1:{self.base}"
        self.hosts = self._make_hosts(hosts_per_data_centre)
        self.searchers = self._make_searchers()

    def prefix(self, data_centre):
        return f"127.{self.number}.{self.data_centres.index(data_centre) + 1}."

    def path(self, *parts):
        return os.path.join(self.folder, *parts)

    def control(self, data_centre):
        return f"127.{self.number}.0.1:{self.base + 1 + self.data_centres.index(data_centre)}"

    def _make_hosts(self, per_data_centre):
        hosts = []
        for item in self.deployment["data_centres"]:
            for index in range(per_data_centre or item["hosts"]):
                ip = f"{self.prefix(item['name'])}{11 + index}"
                hosts.append({
                    "name": f"{item['name']}-{index + 1}",
                    "address": f"{ip}:{self.base + 10}",
                    "peer_address": f"{ip}:{self.base + 11}",
                    "data_centre": item["name"],
                    "region": item["region"],
                })
        return hosts

    def _make_searchers(self):
        """Searchers take turns over the data centres; the replicas of a shard stand in different ones."""
        searchers = {}
        port = self.base + 100
        for back_end in self.deployment["back_ends"]:
            own = []
            for index in range(back_end["searchers"]):
                data_centre = self.data_centres[index % len(self.data_centres)]
                own.append({
                    "address": f"{self.prefix(data_centre)}100:{port}",
                    "back_end": back_end["name"],
                    "data_centre": data_centre,
                    "slots": back_end["slots"],
                    "connections": back_end["connections"],
                    "connection_cost_ms": back_end["connection_cost_ms"],
                    "service_ms": back_end["service_ms"],
                    "shards": [],
                })
                port += 1
            for shard in range(back_end["shards"]):
                for replica in range(back_end["replicas"]):
                    own[self._place(back_end, shard, replica)]["shards"].append(shard)
            searchers[back_end["name"]] = own
        return searchers

    def _place(self, back_end, shard, replica):
        """The index of the searcher for a replica: the shard's turn among the searchers of one data centre."""
        count = len(self.data_centres)
        data_centre = (shard + replica) % count
        in_data_centre = len(range(data_centre, back_end["searchers"], count))
        return data_centre + count * ((shard + replica // count * 7) % in_data_centre)

    def bundle(self):
        back_ends = []
        for back_end in self.deployment["back_ends"]:
            own = self.searchers[back_end["name"]]
            shards = [{"id": shard, "weight": 1 + shard % 3, "replicas": [s["address"] for s in own if shard in s["shards"]]}
                      for shard in range(back_end["shards"])]
            keep = ("address", "data_centre", "slots", "connections", "connection_cost_ms")
            back_ends.append({
                "name": back_end["name"],
                "policy": back_end.get("policy", {}),
                "searchers": [{name: searcher[name] for name in keep} for searcher in own],
                "layouts": [{"first_snapshot": 1, "shards": shards}],
            })
        callers = [{"name": caller["name"], "share": caller.get("share", 1), "back_ends": caller["back_ends"]}
                   for caller in self.deployment["callers"]]
        return {"author": "layout", "comment": self.deployment["name"], "back_ends": back_ends, "callers": callers}

    def delays(self):
        regions = {item["name"]: item["region"] for item in self.deployment["data_centres"]}
        def delay(a, b):
            if a == b:
                return 0.0
            return float(self.deployment["data_centre_ms"] if regions[a] == regions[b] else self.deployment["region_ms"])
        return {a: {b: delay(a, b) for b in self.data_centres} for a in self.data_centres}

    def searcher_files(self):
        """The settings of one stand-in process for each data centre."""
        files = {}
        for data_centre in self.data_centres:
            own = []
            for searchers in self.searchers.values():
                for searcher in searchers:
                    if searcher["data_centre"] == data_centre:
                        settings = {name: value for name, value in searcher.items() if name != "shards"}
                        settings["holdings"] = [{"first_snapshot": 1, "shards": searcher["shards"]}]
                        own.append(settings)
            files[data_centre] = {
                "control": self.control(data_centre),
                "seed": self.deployment.get("seed", 1),
                "sources": {self.prefix(name): name for name in self.data_centres},
                "delays_ms": self.delays(),
                "searchers": own,
            }
        return files

    def approver_key(self):
        """The public key of this layout's approver, whose key pair is made at the first call."""
        path = self.path("approver.json")
        if not os.path.exists(path):
            os.makedirs(self.folder, exist_ok=True)
            subprocess.run([QUETZALLIFT, "bundle", "keygen", "--out", path], check=True, stdout=subprocess.DEVNULL)
        return read_commented_json(path)["public_key"]

    def host_settings(self, host, naive=False, traffic_threads=1):
        settings = {
            "host": {**host, "traffic_threads": traffic_threads, "stop_limit_ms": 20000},
            "platform": {"address": self.platform},
            "approvers": [{"name": "layout-approver", "public_key": self.approver_key()}],
        }
        if naive:
            settings["experiment"] = {"naive": True}
        return settings

    def host_list(self, leaving=()):
        return [{**{name: host[name] for name in ("name", "address", "peer_address", "data_centre")},
                 "state": "leaving" if host["name"] in leaving else "live"} for host in self.hosts]

    def write(self, naive=False, traffic_threads=1):
        write_json(self.path("bundle.json"), self.bundle())
        write_json(self.path("hosts.json"), self.host_list())
        for data_centre, settings in self.searcher_files().items():
            write_json(self.path(f"searchers-{data_centre}.json"), settings)
        for host in self.hosts:
            write_json(self.path("hosts", host["name"] + ".json"), self.host_settings(host, naive, traffic_threads))
