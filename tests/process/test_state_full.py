"""Guards against accepted work that takes the core processes over their memory: callers send more, larger, wider and more
often repeated submissions than the state has room for. What does not fit is refused at once with a time to come back; what
was accepted is answered and can be cancelled, and the processes stay within their memory, also when they restart or load the
state from another replica."""

import os
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import HOST, PREFIX, PlatformCell, call, loopback, wait_for  # noqa: E402

MEMORY_MB, DISK_MB = 256, 128
LARGE = "x" * 240_000
WAITING = {"cpu": 1000, "mem-mb": 100, "requirements": "nowhere"}  # no worker has this label
MOST_SENT = 400  # 96 MB of large submissions
HOUR_MS = 3_600_000


class SmallCell(PlatformCell):
    def own_settings(self, number):
        return ["memory-mb = %d" % MEMORY_MB, "disk-mb = %d" % DISK_MB] if number in self.cores else []


def peak_mb(process):
    """The largest resident set of a process so far."""
    with open("/proc/%d/status" % process.pid) as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024


def check_memory(cell, when):
    peaks = {number: peak_mb(cell.processes[number]) for number in cell.cores}
    print(when, "MB:", {number: round(peak) for number, peak in peaks.items()}, flush=True)
    assert max(peaks.values()) < MEMORY_MB, "%s: %s" % (when, peaks)


def submission(number):
    return "%016x" % (0xF011000000000000 + number)


def send(cell, number, body):
    """Returns the status, whether the answer came at once, and when to come back."""
    began = time.monotonic()
    status, _ = cell.ask("POST", submission(number), body)
    return status, time.monotonic() - began


def fill(cell, first):
    """Sends large submissions until one is refused, and some more. Returns the accepted ones."""
    accepted, refused = [], 0
    for number in range(first, first + MOST_SENT):
        status, took = send(cell, number, {"spec": LARGE, "steps": [dict(WAITING, count=1)]})
        if status == 200:
            accepted.append(number)
        elif status == 503:
            refused += 1
            assert took < 2.0, "a refusal was held for %.1f s" % took
        if refused == 40:
            break
    print("accepted", len(accepted), "refused", refused, flush=True)
    assert refused == 40, "nothing was refused although %d large submissions were accepted" % len(accepted)
    return accepted


def cancel(cell, accepted):
    for number in accepted:
        wait_for(lambda: cell.ask("DELETE", submission(number))[0] == 200, 10)


def kept_submissions(cell, number):
    return next((line for line in cell.metrics(number).splitlines() if line.startswith("walkthread_submissions_kept ")), None)


def check_answers(cell, accepted):
    for number in accepted:
        wait_for(lambda: cell.state(submission(number)) == "queued", 20)


def run(cell):
    wait_for(lambda: cell.configure(), 30)
    # Numbers that a request names cost nothing by themselves: 300 requests ask for 1.2 million tasks, 300 for 3 million.
    for number in range(300):
        assert cell.submit(submission(number), [dict(WAITING, count=4000)])
    times = {"max-runs": 1000, "first-run-ms": int(time.time() * 1000) + HOUR_MS, "interval-ms": HOUR_MS}
    for number in range(300, 600):
        body = dict({"spec": "text", "steps": [dict(WAITING, count=10)]}, **times)
        wait_for(lambda: cell.ask("POST", submission(number), body)[0] == 200, 20)
    check_memory(cell, "wide and repeated submissions")
    accepted = fill(cell, 1000)
    check_memory(cell, "full")
    # Twice as much again goes through the log, so that replicas need the snapshot of those that lead them.
    for first in (2000, 3000):
        cancel(cell, accepted)
        accepted = fill(cell, first)
    check_memory(cell, "full again")
    check_answers(cell, accepted[:5] + accepted[-5:])
    # A retry of an accepted submission is no new one.
    assert send(cell, accepted[0], {"spec": LARGE, "steps": [dict(WAITING, count=1)]})[0] == 200
    assert cell.configure(version=2), "a configuration has to be taken while the state is full"
    for number in cell.cores:
        cell.kill(number)
    for number in cell.cores:
        cell.start(number)
    check_answers(cell, accepted[:5] + accepted[-5:])
    check_memory(cell, "all restarted")
    leader = wait_for(cell.leader, 20)
    kept = kept_submissions(cell, leader)
    lost = [number for number in cell.cores if number != leader][:2]
    for number in lost:
        cell.kill(number)
        shutil.rmtree(os.path.join(cell.folder, "disk-%d" % number))
        cell.start(number)
    for number in lost:
        wait_for(lambda: kept_submissions(cell, number) == kept, 60)
    check_memory(cell, "two disks were lost")
    cancel(cell, accepted[:10])
    wait_for(lambda: send(cell, 5000, {"spec": LARGE, "steps": [dict(WAITING, count=1)]})[0] == 200, 20)
    check_memory(cell, "after cancels")


if __name__ == "__main__":
    small_cell = SmallCell(sys.argv[1], cores=5, edges=2, workers=2)
    try:
        run(small_cell)
    finally:
        small_cell.stop()
    shutil.rmtree(small_cell.folder, ignore_errors=True)
    print("1 passed, 0 failed")
