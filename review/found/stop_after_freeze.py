"""Not a case: counts how processes end that are frozen and continued late in a planned stop, under load.

usage: stop_after_freeze.py [SECONDS]; exits with 1 if a process was ended by a signal that nobody sent.
"""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins  # noqa: E402

SECONDS = float(sys.argv[1]) if len(sys.argv) > 1 else 45.0
SHARDS = [f"shard~{number}" for number in range(20)]
CLIENTS = 100
# From SIGTERM to the freeze, and its length: the process wakes when its 4 s of serving on are over.
FREEZE_AFTER_S = 2.3
FREEZE_S = 1.75
RANDOM = random.Random(31)


async def case(deployment):
    say = deployment.record.say
    routes = [standins.route("pay", "/pay/", kind="non_idempotent", timeout_ms=2000), standins.route("look", "/look/", timeout_ms=2000),
              standins.route("all", "/all/", timeout_ms=2000, target_ms=166, fan_out=SHARDS, top_k=5, min_shard_ratio=0.6)]
    await deployment.store.put("config", "main", standins.configuration(3, routes, ["desk"] + SHARDS, connection_limit=30))
    for number in range(3):
        await deployment.add_searcher(f"i-{number}", "desk", work_s=0.02)
    for shard in SHARDS:
        for replica in range(2):
            searcher = await deployment.add_searcher(f"{shard}-{replica}", shard, work_s=0.008)
            searcher.answer_hook = lambda _, head, headers, body: (headers, os.urandom(64))
    hosts = [await deployment.add_host(number) for number in range(3)]
    for host in hosts:
        host.start(first_start=True)
    for host in hosts:
        await host.until_ready()
    codes, stopped = {}, False

    async def call(number):
        count = 0
        while not stopped:
            client = standins.Client(RANDOM.choice(hosts).front)
            for _ in range(RANDOM.randrange(1, 6)):
                count += 1
                path = RANDOM.choice(["/pay/x", "/look/x", "/all/x", "/all/x"])
                await client.ask(f"{number}-{count}", path, method="POST" if "pay" in path else "GET", deadline_ms=RANDOM.choice([2000, 2000, 300]))
                if client.writer is None:
                    break
                await asyncio.sleep(RANDOM.random() * 0.1)
            client.close()
            await asyncio.sleep(0.02)

    async def roll(host):
        await asyncio.sleep(RANDOM.random() * 2)
        while not stopped:
            await asyncio.sleep(0.7)
            host.signal(signal.SIGTERM)
            await asyncio.sleep(FREEZE_AFTER_S)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            host.signal(signal.SIGCONT)
            begin = time.monotonic()
            while host.process.poll() is None and time.monotonic() - begin < 5:
                await asyncio.sleep(0.01)
            code = host.process.poll()
            codes[code] = codes.get(code, 0) + 1
            if code is None:
                host.process.kill()
                host.process.wait()
            host.start()
            await host.until_ready()

    tasks = [call(number) for number in range(CLIENTS)] + [roll(host) for host in hosts]
    running = [asyncio.create_task(task) for task in tasks]
    await asyncio.sleep(SECONDS)
    stopped = True
    say(f"exit codes and how often (negative: ended by this signal): {codes}")
    del running
    return any(code is None or code < 0 for code in codes)


standins.play(tempfile.mkdtemp(prefix="quetzallift-review-"), [0, 1, 2], case)
