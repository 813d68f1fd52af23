"""Clients query all shards with many query arguments, within the limit that the configuration sets for headers."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

# `header-bytes` of the configuration, for the request line and all headers together.
HEADER_BYTES = 16384
SHARDS = 30
DEADLINE_MS = 1200
IN_TOUCH_S = 6.0
REQUESTS = 24
# The rule allows three at any time.
ALLOWED = 3
# Without the trouble the same requests name fewer references.
REFERENCES = 336 if standins.TROUBLE else 100


async def case(deployment):
    record = deployment.record
    shards = [f"partner~{number}" for number in range(SHARDS)]
    routes = [standins.route("route-catalogue", "/catalogue/", timeout_ms=DEADLINE_MS, target_ms=150, attempts=2, fan_out=shards, top_k=50,
                             min_shard_ratio=0.89)]
    await deployment.store.put("config", "main", standins.configuration(7, routes, shards, connection_limit=26))
    searchers = [await deployment.add_searcher(f"i-p{number:02}", shard, work_s=0.005) for number, shard in enumerate(shards)]
    hosts = [await deployment.add_host(number) for number in range(2)]
    for host in hosts:
        host.start(first_start=True)
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(IN_TOUCH_S)

    def answer(searcher, head, headers, body):
        # A signature has 26 characters, as on the pages; a part has two records.
        stamp = f"{searcher.name}.{searcher.runs:03x}.{head['request-id'][:16]}"
        return [("Request-Id", head["request-id"]), ("Server-Stamp", stamp)], os.urandom(32)

    for searcher in searchers:
        searcher.answer_hook = answer

    counts = {}
    for number in range(REQUESTS):
        path = "/catalogue/find?" + "&".join(f"ref={number:04}{reference:04}{'K7' * 9}" for reference in range(REFERENCES))
        request, before = f"{number:016x}", f"a{number:015x}"
        head = len(f"GET {path} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {request}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n")
        if head > HEADER_BYTES:
            raise standins.CannotRun(f"{head} bytes are more than the configuration allows")
        client = standins.Client(hosts[number % len(hosts)].front)
        first = await client.ask(before, "/catalogue/find?ref=1", deadline_ms=DEADLINE_MS)
        kept = first.status == 200 and client.writer is not None
        record(f"sends {request}, {head} bytes of request line and headers, on a {'kept' if kept else 'new'} connection")
        reply = await client.ask(request, path, deadline_ms=DEADLINE_MS)
        ran = sum(request == run for searcher in searchers for _, run in searcher.arrivals)
        record(f"{request} ends: {reply.status} {reply.detail}; {ran} searchers ran it")
        lost = kept and reply.status == 0 and "closed" in reply.detail and ran > 0
        kind = "closed without an answer after it was passed on" if lost else f"status {reply.status}"
        counts[kind] = counts.get(kind, 0) + 1
        client.close()
    record.say(f"{REQUESTS} requests of at most {head} bytes (allowed: {HEADER_BYTES}) on kept connections: {counts}")
    if not standins.TROUBLE and counts.get("status 200") != REQUESTS:
        raise standins.CannotRun("plain requests are not served")
    return counts.get("closed without an answer after it was passed on", 0) > ALLOWED


standins.play(FOLDER, [0, 1], case)
