"""An accepted submission answers 410 once its route stands in the configuration under another name."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from deployment import main, route  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
HOST, PREFIX = "ficu95.example", "/pufi791/"
CONFIG_APPLY_S, VISIBLE_S = 2.0, 3.0
IDS = ["%016x" % (0x5C0E7A21D94B3000 + n) for n in range(6)]
BODY = {"spec": "text", "steps": [{"count": 4, "cpu": 980, "mem-mb": 1024, "estimate-ms": 8000}]}


async def case(deployment):
    trouble = os.environ.get("TROUBLE") != "0"
    if not await deployment.configure(1, [route("r-d3zji9n", PREFIX)]):
        raise RuntimeError("the first configuration was not acknowledged")
    for submission in IDS:
        if await deployment.submit(PREFIX + submission, HOST, BODY) != 200:
            raise RuntimeError("a submission was not accepted")
    accepted = time.monotonic()
    # One version removes the route and adds one of another name in its place; without trouble only its time-out changes.
    changed = dict(route("r-k81vv2c" if trouble else "r-d3zji9n", PREFIX), **{"timeout-ms": 2500})
    if not await deployment.configure(2, [changed]):
        raise RuntimeError("the second configuration was not acknowledged")
    await asyncio.sleep(max(CONFIG_APPLY_S, accepted + VISIBLE_S - time.monotonic()) + 0.5)
    gone = 0
    for _ in range(3):
        for submission in IDS:
            status, _ = await deployment.state(PREFIX + submission, HOST)
            gone += status == 410
        await asyncio.sleep(1.0)
    running = {task.split(".")[0] for worker in deployment.workers for task, _ in worker.running}
    deployment.record("verdict", "410 for accepted submissions", answers=gone, still_running=len(running))
    return gone == 0


main(HERE, case, workers=12, run_seconds=8.0)
