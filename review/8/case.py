"""Ordinary submissions stand still beside idle workers while scheduled submissions wait for times that lie ahead."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from deployment import main, route  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
HOST, PREFIX = "ficu95.example", "/pufi791/"
SCHEDULED, PER_SECOND, TIMES = 500, 12.0, 1000  # submissions, their rate, and the times of each
ORDINARY = 10
IDLE_S = 3.0  # LOST: for 3 s nothing runs although there is room
STEP = {"count": 10, "cpu": 980, "mem-mb": 1024, "estimate-ms": 600}


BUSY = []  # the share of the workers' processors in use, while ordinary submissions wait


async def watch_busy(deployment):
    while True:
        running = sum(len(worker.running) for worker in deployment.workers)
        BUSY.append(running * STEP["cpu"] / (16000.0 * len(deployment.workers)))
        await asyncio.sleep(0.05)


async def submit_all(deployment, numbers, body):
    accepted = []
    for number in numbers:
        path = PREFIX + "%016x" % number
        if await deployment.submit(path, HOST, body()) == 200:
            accepted.append((number, time.monotonic()))
    return accepted


async def case(deployment):
    trouble = os.environ.get("TROUBLE") != "0"
    if not await deployment.configure(1, [route("r-d3zji9n", PREFIX)]):
        raise RuntimeError("the first configuration was not acknowledged")
    await asyncio.sleep(3.0)
    due = int((time.time() + 3600) * 1000)

    def scheduled():
        times = {"max-runs": TIMES, "first-run-ms": due, "interval-ms": 3600000} if trouble else {}
        return dict({"spec": "text", "steps": [dict(STEP, count=1)]}, **times)

    base = random.getrandbits(40) << 20
    for n in range(SCHEDULED):
        began = time.monotonic()
        await submit_all(deployment, [base + n], scheduled)
        await asyncio.sleep(max(0.0, 1 / PER_SECOND - (time.monotonic() - began)))
    await asyncio.sleep(4.0)
    busy = asyncio.ensure_future(watch_busy(deployment))
    accepted = []
    for n in range(ORDINARY):
        accepted += await submit_all(deployment, [base + 0x80000 + n], lambda: {"spec": "text", "steps": [dict(STEP, count=2)]})
        await asyncio.sleep(0.5)
    await asyncio.sleep(15.0)
    busy.cancel()
    late = 0
    for number, at in accepted:
        first = min((t for task, _, t in deployment.starts if task.startswith("%016x." % number)), default=None)
        waited = (first or time.monotonic()) - at
        status, state = await deployment.state(PREFIX + "%016x" % number, HOST)
        deployment.record("verdict", "ordinary submission", id="%016x" % number, first_start="%.2f s" % waited if first else "none",
                          state=state)
        late += waited > IDLE_S
    most = max(BUSY)
    deployment.record("verdict", "submissions with nothing running for 3 s", count=late, of=len(accepted),
                      most_of_the_room_in_use="%.2f" % most)
    if most >= 0.5:
        raise RuntimeError("half of the workers' room was in use")
    return late == 0


main(HERE, case, workers=12, run_seconds=0.6)
