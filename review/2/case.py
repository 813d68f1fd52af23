"""A host restarts just after its peer was partitioned from the store, while a searcher leaves."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

# Bounds of the site.
DRAIN_S = 3.0
STABILITY_S = 5.0
GRACE_S = 6.0
# The largest dose of `core_cut` there.
CUT_S = 5.5
# From the start of the cut: the planned stop of the other host, and the end of the searcher's entry.
STOP_AT_S = 2.8
LEAVE_AT_S = 3.0
RESTART_PAUSE_S = 0.2
# One of them leaves, a share of 0.125; the site's `scale_in` takes 0.13.
SEARCHERS = 8
# How long a searcher that left serves on after its entry was removed: drain-ms and "at times many seconds".
SERVES_ON_S = 16.0


async def case(deployment):
    record, store = deployment.record, deployment.store
    routes = [standins.route("booking-lookup", "/booking/", service="desk", attempts=2)]
    await store.put("config", "main", standins.configuration(7, routes, ["desk"]))
    searchers = [await deployment.add_searcher(f"i-desk{number}", "desk") for number in range(SEARCHERS)]
    hosts = [await deployment.add_host(number) for number in range(2)]
    for host in hosts:
        host.start(first_start=True)
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(8)
    reader = deployment.reader()
    if reader is None:
        raise standins.CannotRun("no single host reads the searchers from the store")
    other = hosts[1] if reader is hosts[0] else hosts[0]
    link = int(reader.store.split(":")[1])
    leaving = searchers[0]

    begin = time.monotonic()

    async def until(seconds):
        await asyncio.sleep(max(0.0, begin + seconds - time.monotonic()))

    async def partition():
        if standins.TROUBLE:
            record.say(f"{reader.name} is partitioned from the store for {CUT_S} s")
            store.cut(link)
        await until(CUT_S)
        store.heal(link)
        record("the partition has ended")

    async def leave():
        await until(LEAVE_AT_S)
        await store.remove("servers", leaving.name)
        record.say(f"{leaving.name} leaves without having reported draining: its entry is removed; it serves on for {SERVES_ON_S} s")
        return time.monotonic()

    async def restart():
        await until(STOP_AT_S)
        other.signal(signal.SIGTERM)
        stop_at = time.monotonic()
        while other.process.poll() is None:
            if time.monotonic() - stop_at > GRACE_S:
                raise standins.CannotRun("the planned stop took longer than the grace period")
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_PAUSE_S)
        other.start()
        started_at = time.monotonic()
        await other.until_ready()
        return started_at

    _, removed_at, started_at = await asyncio.gather(partition(), leave(), restart())
    # From here on the restarted host is in touch: nothing has disturbed it or its links since its start.
    await asyncio.sleep(max(0.0, max(started_at + STABILITY_S, removed_at + DRAIN_S) + 0.3 - time.monotonic()))
    record.say(f"{other.name} is in touch, {time.monotonic() - started_at:.1f} s after its start, "
               f"{time.monotonic() - removed_at:.1f} s after the entry was removed")
    client = standins.Client(other.front)
    late, served, number = [], 0, 0
    while time.monotonic() < removed_at + SERVES_ON_S:
        request = f"{number:016x}"
        number += 1
        record(f"sends {request} to {other.name}")
        answer = await client.ask(request, "/booking/1", deadline_ms=3000)
        record(f"{request} gets {answer.status} {answer.head.get('server-stamp', '')} {answer.detail}")
        served += answer.status == 200
        if any(request == arrived for _, arrived in leaving.arrivals):
            late.append(request)
        await asyncio.sleep(0.03)
    record.say(f"{number} requests in touch, {served} served, {len(late)} of them reached {leaving.name}, "
               f"the last one {time.monotonic() - removed_at:.1f} s after its entry was removed")
    if served < number / 2:
        raise standins.CannotRun("too few requests were served")
    return bool(late)


standins.play(FOLDER, [0, 1], case)
