"""A reply for an entry process that was killed answers a call of the process that took its place."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from small_cell import loopback, play, wait_for  # noqa: E402

STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300}]
AT_ONCE = 8          # clients that send at the same time
CORE_DOWN_S = 2.0    # three of five core processes are down for that long; their disks stay
FINISH_S = 14.0


def in_parallel(cell, ids, edge, answers):
    def send(submission):
        answers[submission] = cell.send("POST", submission, STEPS, edge=edge)[0]
    threads = [threading.Thread(target=send, args=(i,), daemon=True) for i in ids]
    for thread in threads:
        thread.start()
    return threads


def state_of(cell, submission):
    """The state, asked of both entry processes until one gives a final answer, for FINISH_S at most."""
    end = time.monotonic() + FINISH_S
    status, answer = None, None
    while time.monotonic() < end:
        for edge in cell.edges:
            status, answer = cell.send("GET", submission, edge=edge)
            if status == 200 and answer["state"] == "completed":
                return status, answer
        time.sleep(0.5)
    return status, answer


def scenario(cell, trouble):
    edge = cell.edges[0]
    wait_for(cell.configure, 30)
    wait_for(lambda: len(cell.ready_edges()) == len(cell.edges), 20)
    wait_for(lambda: cell.send("GET", "", edge=cell.edges[1])[0] == 200, 20)
    assert cell.send("POST", "%016x" % 0xAAA, STEPS, edge=cell.edges[1])[0] == 200
    wait_for(lambda: (cell.send("GET", "%016x" % 0xAAA, edge=cell.edges[1])[1] or {}).get("state") == "completed", 20)
    time.sleep(3.0)  # calm

    followers = wait_for(cell.follower_cores, 10)[:3]
    if trouble:
        cell.note("core processes %s are killed" % followers)
        for n in followers:
            cell.kill(n)
    down = time.monotonic()
    first = {}
    in_parallel(cell, ["%016x" % (0x100 + i) for i in range(AT_ONCE)], edge, first)
    time.sleep(0.6)
    if trouble:
        cell.note("entry process %d is killed and started again" % edge)
        cell.kill(edge)
        cell.start(edge)
    wait_for(lambda: answers_at(cell, edge), 5)
    second = {}
    threads = in_parallel(cell, ["%016x" % (0x200 + i) for i in range(AT_ONCE)], edge, second)
    time.sleep(max(0.0, CORE_DOWN_S - (time.monotonic() - down)))
    if trouble:
        cell.note("core processes %s are started again, with their disks" % followers)
        for n in followers:
            cell.start(n)
    for thread in threads:
        thread.join()
    accepted = sorted(i for i, status in second.items() if status is not None and 200 <= status < 300)
    cell.note("accepted with 2xx: %s" % accepted)
    time.sleep(3.0)
    results = {}
    def ask(submission):
        results[submission] = state_of(cell, submission)
    asking = [threading.Thread(target=ask, args=(i,), daemon=True) for i in accepted]
    for thread in asking:
        thread.start()
    for thread in asking:
        thread.join()
    return ["LOST: %s was accepted and is then answered %s" % (i, results[i]) for i in accepted
            if results[i][0] != 200 or results[i][1]["state"] != "completed"]


def answers_at(cell, edge):
    import socket
    try:
        socket.create_connection((loopback(edge), cell.front), timeout=0.5).close()
        return True
    except OSError:
        return False


play(os.path.dirname(os.path.abspath(__file__)), scenario)
