"""A queue is sent to another service because its workers are lost: what was accepted before never runs there."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from small_cell import play, route, wait_for  # noqa: E402

STEPS = [{"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": 3000}]
BEFORE = ["%016x" % (0x100 + i) for i in range(4)]
AFTER = ["%016x" % (0x200 + i) for i in range(4)]
SERVICES = ["first", "first"] + ["second"] * 12  # of the workers; both of the first service are in one rack
FINISH_S, WATCHED_S = 14.0, 45.0


def scenario(cell, trouble):
    wait_for(lambda: cell.put_configuration(1, [route(service="first")], ("first", "second")), 30)
    wait_for(lambda: len(cell.ready_edges()) == len(cell.edges), 20)
    wait_for(lambda: cell.send("GET", "")[0] == 200, 20)
    time.sleep(4.0)  # calm
    for submission in BEFORE:
        assert cell.send("POST", submission, STEPS)[0] == 200
    time.sleep(1.0)
    if trouble:
        cell.note("the rack with both workers of service `first` is lost for good")
        for worker in cell.workers[:2]:
            worker.shut_down()
    time.sleep(1.0)
    wait_for(lambda: cell.put_configuration(2, [route(service="second")], ("first", "second")), 10)
    changed = time.monotonic()
    for submission in AFTER:
        assert cell.send("POST", submission, STEPS)[0] == 200
    states = {}
    while time.monotonic() < changed + WATCHED_S and not all(states.get(i) == "completed" for i in BEFORE + AFTER):
        time.sleep(2.0)
        for submission in BEFORE + AFTER:
            if states.get(submission) != "completed":
                states[submission] = (cell.send("GET", submission)[1] or {}).get("state")
    busy = sum(len(w.running) for w in cell.workers if w.live)
    cell.note("%d tasks run on %d live workers with room for 16 such tasks each" % (busy, sum(w.live for w in cell.workers)))
    second = {w.worker_id for w in cell.workers[2:]}
    broken = []
    for submission in BEFORE + AFTER:
        last = max([s[3] for s in cell.starts if s[0].startswith(submission)], default=changed)
        there = sum(1 for s in cell.starts if s[0].startswith(submission) and s[2] in second)
        if states[submission] != "completed":
            broken.append("LOST: %s is `%s` %.0f s after the change, with nothing started for %.0f s (%d starts on `second`, which is idle)" % (
                submission, states[submission], time.monotonic() - changed, time.monotonic() - last, there))
    return broken


play(os.path.dirname(os.path.abspath(__file__)), scenario, run_seconds=3.0, workers=len(SERVICES), services=SERVICES)
