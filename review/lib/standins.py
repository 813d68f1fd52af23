"""Stand-ins for the review scripts: the platform's store, searchers and clients, on loopback addresses.

They follow the users' pages: the store keeps objects with revisions, lists, watches and conditional writes; a searcher
checks Expect-Instance, echoes Request-Id and signs its answers; a client waits until its deadline and uses kept
connections. The program under test runs as separate processes with the command of the deploy file.
"""
import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of deploy/system.toml, which runs in the root of the repository.
COMMAND = ["target/src/quetzallift/quetzallift", "serve"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(f"{self.now():8.3f} {text}", flush=True)


class Head(dict):
    """The headers of a message, by lower-case name; `first` is the split first line."""

    first = ()


async def read_head(reader):
    """The next message's head, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    head = Head()
    head.first = lines[0].split(" ", 2)
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            head[name.strip().lower()] = value.strip()
    return head


async def read_body(reader, head):
    return await reader.readexactly(int(head.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    PREFIX = "/quetzallift/objects/"

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.kinds = {}
        self.revision = 10
        self.history = []
        self.changed = asyncio.Condition()
        # When a caller last watched the searchers, by the port that it calls.
        self.watched = {}
        # The ports whose link is cut: connections to them are reset.
        self.cut_ports = set()
        self.connections = {}

    async def start(self):
        await self.listen(self.address)

    async def listen(self, address):
        """Serves on one more address; each host has one of its own, so that the store can tell its callers apart."""
        host, port = address.split(":")

        async def serve(reader, writer):
            await self.serve(reader, writer, int(port))

        await asyncio.start_server(serve, host, int(port), limit=1 << 22)

    def encode(self, name, item):
        return {"meta": {"name": name, "revision": item["revision"], "created": item["created"], "finalizers": [], "deleting": False},
                "spec": item["spec"], "status": {}}

    async def put(self, kind, name, spec):
        """Writes an object as the operator or a searcher does; the return is the acknowledgement."""
        items = self.kinds.setdefault(kind, {})
        item = items.get(name)
        if item is not None and item["spec"] == spec:
            return
        self.revision += 1
        items[name] = {"spec": spec, "revision": self.revision, "created": item["created"] if item else self.revision}
        await self.note(kind, name, items[name], False)

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["revision"] = self.revision
            await self.note(kind, name, item, True)

    async def note(self, kind, name, item, deleted):
        self.history.append((self.revision, kind, {"object": self.encode(name, item), "deleted": deleted}))
        if kind != "hosts":
            self.record(f"store revision {self.revision}: {kind}/{name} {'removed' if deleted else 'written'}")
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [event for revision, kind_, event in self.history if kind_ == kind and revision > since]

    def cut(self, port):
        """Partitions the host that calls this port from the store; the store itself is not disturbed."""
        self.cut_ports.add(port)
        for writer in list(self.connections.get(port, ())):
            writer.transport.abort()

    def heal(self, port):
        self.cut_ports.discard(port)

    async def serve(self, reader, writer, port):
        if port in self.cut_ports:
            writer.transport.abort()
            return
        self.connections.setdefault(port, set()).add(writer)
        try:
            await self.serve_calls(reader, writer, port)
        finally:
            self.connections[port].discard(writer)

    async def serve_calls(self, reader, writer, port):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if "/servers" in head.first[1]:
                    self.watched[port] = time.monotonic()
                status, reply = await self.answer(head.first[0], head.first[1], body)
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], json.dumps(reply).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(self.PREFIX):
            return 404, {}
        kind, _, name = url.path[len(self.PREFIX):].partition("/")
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        if method == "GET" and name:
            return (200, self.encode(name, items[name])) if name in items else (404, {})
        if method == "GET":
            names = sorted(known for known in items if known > query.get("after", ""))
            return 200, {"items": [self.encode(known, items[known]) for known in names[:500]], "has-more": len(names) > 500, "as-of": self.revision}
        return await self.write(method, kind, name, items, json.loads(body) if body else {}, query)

    async def write(self, method, kind, name, items, content, query):
        meta = content.get("meta", {})
        name = meta.get("name", "") if method == "POST" else name
        revision = meta.get("revision", int(query.get("revision", "0")))
        if method != "POST" and name not in items:
            return 404, {}
        if name in items and (method == "POST" or (revision and revision != items[name]["revision"])):
            return 409, self.encode(name, items[name])
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        await self.put(kind, name, content.get("spec"))
        return (201 if method == "POST" else 200), self.encode(name, items[name])

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while not self.events(kind, since) and time.monotonic() < end:
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
        return 200, {"events": self.events(kind, since), "as-of": self.revision}


class Searcher:
    """A searcher of one service. `answer_hook(searcher, head, headers, body)` may change the headers and body of a success."""

    def __init__(self, record, store, name, service, address, zone="a", slots=4, work_s=0.02):
        self.record, self.store = record, store
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.runs = 0
        self.answer_hook = None
        self.extra_headers = []
        self.server = None

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold-remaining-ms": 0, "sequence": 1, "born": self.born}

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)
        await self.store.put("servers", self.name, self.entry())

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                await self.handle(head, body, writer)
        writer.close()

    async def handle(self, head, body, writer):
        request = head.get("request-id", "")
        if head.get("expect-instance") != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected", [("Request-Id", request), ("Instance-Id", self.name)]))
            return
        self.arrivals.append((time.monotonic(), request))
        self.runs += 1
        stamp = f"{self.name}.{self.runs}.{request}"
        self.record(f"{self.name} ({self.service}) runs {request}")
        await asyncio.sleep(self.work_s)
        headers = [("Request-Id", request), ("Server-Stamp", stamp)] + self.extra_headers
        reply = f"answer to {request} by {self.name}".encode()
        if self.answer_hook is not None:
            headers, reply = self.answer_hook(self, head, headers, reply)
        writer.write(message("HTTP/1.1 200 OK", headers, reply))
        await writer.drain()


class Answer:
    """What a client got: status 0 stands for a connection that ended without a complete answer."""

    def __init__(self, status, head=None, body=b"", detail=""):
        self.status, self.head, self.body, self.detail = status, head or Head(), body, detail


class Client:
    """One client with one kept connection."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, request, path, host="search.example", method="GET", body=b"", deadline_ms=3000, more=()):
        try:
            return await asyncio.wait_for(self.attempt(request, path, host, method, body, deadline_ms, more), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            return Answer(0, detail="no answer until the deadline")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(0, detail=f"connection ended: {error}")

    async def attempt(self, request, path, host, method, body, deadline_ms, more):
        if self.writer is None:
            address, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(address, int(port), limit=1 << 22)
        headers = [("Host", host), ("Request-Id", request), ("Deadline-Ms", str(deadline_ms)), *more]
        self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return Answer(0, detail="connection closed without an answer")
        answer = Answer(int(head.first[1]), head, await read_body(self.reader, head))
        if head.get("connection", "").lower() == "close":
            self.close()
        return answer


class Host:
    """One process of the program under test."""

    def __init__(self, number, zone, deployment, store=None):
        self.ip = deployment.ip(10 + number)
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.deployment = deployment
        self.store = store or deployment.store.address
        self.process = None
        self.front = f"{self.ip}:8100"
        self.ready = f"{self.ip}:8103"

    def write_settings(self, first_start):
        """The settings as deploy/settings.json states them for a small deployment."""
        settings = {
            "host": {"name": self.name, "address": self.front, "peer_address": f"{self.ip}:8101", "data_centre": self.zone,
                     "region": self.zone, "regions": {"a": "a", "b": "b"}, "peers": self.deployment.seeds, "traffic_threads": 1,
                     "processor_share": 0.25, "processor_speed": 1, "first_start": first_start, "addresses_keep_ms": 5000,
                     "addresses_used_ms": 4000, "stop_limit_ms": 5000},
            "platform": {"address": self.store},
            "routes": {"directory_address": f"{self.ip}:8102", "readiness_address": self.ready, "metrics_address": f"{self.ip}:9464",
                       "retry_ratio": 0.2, "retry_slack": 54, "retry_window_ms": 10000},
        }
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start(self, first_start=False):
        path = self.write_settings(first_start)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["QUETZALLIFT_CONFIG"] = path
        self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.deployment.record(f"{self.name} starts")

    def signal(self, number):
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        with open(os.path.join(self.deployment.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def is_ready(self):
        client = Client(self.ready)
        answer = await client.ask("", "/quetzallift/readiness", deadline_ms=1000)
        client.close()
        return answer.status == 200

    async def until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun(f"{self.name} did not get ready")
            await asyncio.sleep(0.05)


class Deployment:
    """The store, searchers and hosts of one script, in a temporary folder."""

    def __init__(self, folder, seeds):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="quetzallift-review-")
        pid = os.getpid()
        self.network = f"127.{1 + pid % 250}.{pid // 250 % 250}"
        self.seeds = [f"{self.ip(10 + number)}:8101" for number in seeds]
        self.store = Store(self.record, f"{self.ip(2)}:8200")
        self.hosts = []
        self.searchers = []

    def ip(self, last):
        return f"{self.network}.{last}"

    async def add_host(self, number, zone="a"):
        store = f"{self.ip(2)}:{8201 + number}"
        await self.store.listen(store)
        self.hosts.append(Host(number, zone, self, store))
        return self.hosts[-1]

    def reader(self, zone="a", within_s=1.5):
        """The only host of the zone that reads the searchers from the store, or None."""
        now = time.monotonic()
        readers = [host for host in self.hosts
                   if host.zone == zone and now - self.store.watched.get(int(host.store.split(":")[1]), -100) < within_s]
        return readers[0] if len(readers) == 1 else None

    async def add_searcher(self, name, service, **options):
        searcher = Searcher(self.record, self.store, name, service, f"{self.ip(100 + len(self.searchers))}:9000", **options)
        self.searchers.append(searcher)
        await searcher.start()
        return searcher

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind="idempotent", service="desk", timeout_ms=4000, target_ms=300, attempts=3, **more):
    entry = {"name": name, "hostname": "search.example", "path-prefix": prefix, "route-type": kind, "timeout-ms": timeout_ms,
             "target-latency-ms": target_ms, "priority": 1, "max-attempts": attempts}
    if "fan-out" not in more and "fan_out" not in more:
        entry["service"] = service
    entry.update({key.replace("_", "-"): value for key, value in more.items()})
    return entry


def configuration(version, routes, services, connection_limit=100):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-check-path": "/health", "connection-limit": connection_limit} for name in services],
            "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 15000}}


def play(folder, seeds, case):
    """Runs `case(deployment)`, which returns True if the rule was broken, and exits with the script's code."""
    deployment = Deployment(folder, seeds)

    async def run():
        await deployment.store.start()
        return await asyncio.wait_for(case(deployment), 110)

    def interrupted(*_):
        deployment.end()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    code = NOT_RUN
    try:
        if not os.path.exists(os.path.join(ROOT, COMMAND[0])):
            raise CannotRun("the program of the deploy file is not built")
        code = BROKEN if asyncio.new_event_loop().run_until_complete(run()) else HELD
    except Exception as error:  # pylint: disable=broad-except
        # Whatever fails in the script itself says nothing about the rule.
        deployment.record.say(f"could not run: {error!r}")
    finally:
        deployment.end()
    deployment.record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    # Ends the tasks of the stand-ins too.
    os._exit(code)
