"""Starts stand-ins and entry hosts of a layout on loopback, and stops exactly the processes it started."""
import hashlib
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("QUETZALLIFT_BUILD", os.path.join(ROOT, "build"))
QUETZALLIFT = os.path.join(BUILD, "src/quetzallift/quetzallift")
STAND_INS = os.path.join(BUILD, "stand_ins")
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(url, body=None, method=None, headers=None, timeout=5):
    """One HTTP call with JSON; returns the decoded answer. Raises OSError if there is none."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    with OPENER.open(request, timeout=timeout) as answer:
        text = answer.read().decode()
    try:
        return json.loads(text)
    except ValueError:
        return text


def canonical(document):
    return json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


class Process:
    """A started process and its log file."""

    def __init__(self, arguments, log):
        self.log = log
        self.file = open(log, "wb")
        self.handle = subprocess.Popen(arguments, stdout=self.file, stderr=self.file, cwd=ROOT)

    def cpu_seconds(self):
        with open(f"/proc/{self.handle.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number):
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def wait(self, seconds):
        return self.handle.wait(seconds)

    def wait_for(self, text, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with open(self.log, encoding="utf-8", errors="replace") as file:
                content = file.read()
            if text in content:
                return
            if self.handle.poll() is not None:
                raise RuntimeError(f"{self.log}: the process ended with {self.handle.returncode}: {content[-400:]}")
            time.sleep(0.02)
        raise RuntimeError(f"{self.log}: no '{text}' within {seconds} s")


class Testbed:
    """The processes of one layout."""

    def __init__(self, layout, naive=False, traffic_threads=1):
        self.layout = layout
        self.processes = {}
        self.generation = 0
        layout.write(naive, traffic_threads)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def _start(self, name, *arguments):
        process = Process(list(arguments), self.layout.path(name + ".log"))
        self.processes[name] = process
        return process

    def start(self):
        self._start("platform", os.path.join(STAND_INS, "stand_in_platform"), self.layout.platform).wait_for("ready")
        for name in self.layout.data_centres:
            self._start("searchers-" + name, os.path.join(STAND_INS, "stand_in_searchers"), self.layout.path(f"searchers-{name}.json"))
        for name in self.layout.data_centres:
            self.processes["searchers-" + name].wait_for("ready")
        self.set_host_list()
        self.roll(self.layout.bundle())
        for host in self.layout.hosts:
            self.start_host(host["name"])
        for host in self.layout.hosts:
            self.wait_ready(host)

    def start_host(self, name):
        return self._start(name, QUETZALLIFT, "serve", "--settings", self.layout.path("hosts", name + ".json"))

    def wait_ready(self, host, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                call(f"http://{host['address']}/ready", timeout=1)
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError(f"{host['name']} is not ready within {seconds} s; see {self.layout.path(host['name'] + '.log')}")

    def roll(self, bundle):
        """Puts a bundle in force. The one place that knows how."""
        path = self.layout.path("rolled.json")
        with open(path, "wb") as file:
            file.write(canonical(bundle))
        digest = hashlib.blake2b(canonical(bundle), digest_size=32).hexdigest()
        self.bundle_command("prepare", path)
        self.bundle_command("approve", digest, "--key", self.layout.path("approver.json"), "--name", "layout-approver")
        self.bundle_command("roll", digest, "--operator", "testbed")
        self.generation += 1
        return self.generation

    def bundle_command(self, part, *arguments):
        subprocess.run([QUETZALLIFT, "bundle", part, *arguments, "--platform", self.layout.platform], check=True, stdout=subprocess.DEVNULL)

    def set_host_list(self, leaving=()):
        call(f"http://{self.layout.platform}/control", {"hosts": self.layout.host_list(leaving)})

    def set_platform(self, change):
        return call(f"http://{self.layout.platform}/control", change)

    def set_searchers(self, change, select=None, network=None):
        """Changes the searchers that a selection names, in every process."""
        for name in self.layout.data_centres:
            call(f"http://{self.layout.control(name)}/control", {"select": select or {}, "set": change, "network": network or {}})

    def searcher_counts(self):
        """The sums over all processes; runs of at-most-once requests are summed by request and shard."""
        total = {"once_runs": {}}
        for name in self.layout.data_centres:
            for key, value in call(f"http://{self.layout.control(name)}/control").items():
                if key != "once_runs":
                    total[key] = total.get(key, 0) + value
                    continue
                for run, count in value.items():
                    total["once_runs"][run] = total["once_runs"].get(run, 0) + count
        total["doubled"] = sum(1 for count in total["once_runs"].values() if count > 1)
        return total

    def start_load(self, name, plan):
        plan = {"hosts": [host["address"] for host in self.layout.hosts], "bundle": self.layout.path("bundle.json"),
                "summary": self.layout.path(name + "-summary.json"), **plan}
        path = self.layout.path(name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(plan, file, indent=1)
        process = self._start(name, os.path.join(STAND_INS, "stand_in_load"), path)
        process.wait_for("load started")
        return process

    def finish_load(self, name, seconds):
        """Waits for a load to end and returns its summary."""
        code = self.processes.pop(name).wait(seconds)
        if code != 0:
            raise RuntimeError(f"{self.layout.path(name + '.log')}: the load generator ended with {code}")
        with open(self.layout.path(name + "-summary.json"), encoding="utf-8") as file:
            return json.load(file)

    def run_load(self, name, plan, seconds):
        self.start_load(name, plan)
        return self.finish_load(name, seconds)

    def host_cpu_seconds(self):
        return sum(self.processes[host["name"]].cpu_seconds() for host in self.layout.hosts if host["name"] in self.processes)

    def metric(self, name, label=""):
        """The sum of a counter over all hosts that answer."""
        total = 0.0
        for host in self.layout.hosts:
            try:
                page = call(f"http://{host['address']}/metrics", timeout=2)
            except OSError:
                continue
            for line in page.splitlines():
                if line.startswith((name + "{", name + " ")) and label in line:
                    total += float(line.rsplit(" ", 1)[1])
        return total

    def stop_host(self, name, seconds=25):
        process = self.processes.pop(name)
        process.signal(signal.SIGTERM)
        return process.wait(seconds)

    def kill_host(self, name):
        process = self.processes.pop(name)
        process.signal(signal.SIGKILL)
        process.wait(5)

    def stop_all(self):
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5)
        self.processes.clear()
