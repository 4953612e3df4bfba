"""Scheduled submissions of the usual width, accepted at a usual rate, take all core machines over their memory for good."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from deployment import main, route  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
HOST, PREFIX = "ficu95.example", "/pufi791/"
# clue-check of cruzadas-prod: 6.82 a second, 1.8 times that in a burst, 10 tasks a step.
SCHEDULED, PER_SECOND, TIMES, WIDTH = 400, 12.0, 1000, 10
ORDINARY = 5
MOST_ENDS = 3  # Fault: on half of the core, processes end by themselves three times in the day (memory over the limit counts)
FINISH_S = 14.0  # LOST: submissions are asked for `finish_s` after the end of the traffic
STEP = {"count": WIDTH, "cpu": 980, "mem-mb": 1024, "estimate-ms": 600}


async def case(deployment):
    trouble = os.environ.get("TROUBLE") != "0"
    if not await deployment.configure(1, [route("r-d3zji9n", PREFIX)]):
        raise RuntimeError("the first configuration was not acknowledged")
    await asyncio.sleep(3.0)
    base = random.getrandbits(40) << 20
    accepted = []
    for n in range(ORDINARY):  # handed in and done before the burst; their state has to be known for 120 s
        path = PREFIX + "%016x" % (base + 0x80000 + n)
        if await deployment.submit(path, HOST, {"spec": "text", "steps": [STEP]}) == 200:
            accepted.append(path)
    if len(accepted) < ORDINARY:
        raise RuntimeError("an ordinary submission was not accepted")
    due = int((time.time() + 3600) * 1000)
    times = {"max-runs": TIMES, "first-run-ms": due, "interval-ms": 3600000} if trouble else {}
    open_calls = set()
    for n in range(SCHEDULED):
        path = PREFIX + "%016x" % (base + n)

        async def hand_in(path=path):
            if await deployment.submit(path, HOST, dict({"spec": "text", "steps": [STEP]}, **times)) == 200:
                accepted.append(path)

        open_calls.add(asyncio.ensure_future(hand_in()))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.wait(open_calls, timeout=10.0)
    deployment.record("client", "end of the traffic", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    unanswered = dict.fromkeys(accepted[:ORDINARY] + accepted[-15:])
    for _ in range(3):
        paths = list(unanswered)
        answers = await asyncio.gather(*(deployment.state(path, HOST, timeout=3.0) for path in paths))
        for path, (status, _) in zip(paths, answers):
            if status == 200:
                del unanswered[path]
        await asyncio.sleep(1.0)
    ends = {name: sum(who == name for who, _ in deployment.exits) for name in deployment.machines[:5]}
    often = [name for name, count in ends.items() if count >= MOST_ENDS]
    deployment.record("verdict", "processes that ended by themselves, memory included", **ends)
    deployment.record("verdict", "accepted submissions without an answer about their state", count=len(unanswered), of=ORDINARY + 15)
    return len(often) * 2 < len(ends) and not unanswered


main(HERE, case, workers=12, run_seconds=0.6)
