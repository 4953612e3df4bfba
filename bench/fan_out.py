"""Counts what entry processes send to the core while nothing happens, for several numbers of entry processes on this machine.

Usage: fan_out.py BUILD [ENTRY PROCESSES...]

Prints, for each number, the messages a second that the leader and one other core process received, by kind and sender's role.
What grows with the number of entry processes at the leader limits the size of a fleet.
"""

import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "fakes"))
from platform_cell import PlatformCell, wait_for  # noqa: E402

CORES = 5
SETTLE_S, MEASURE_S = 8.0, 10.0
RECEIVED = re.compile(r'^walkthread_peer_messages_received_total\{kind="(\w+)",from="(\w+)"\} (\S+)$', re.MULTILINE)


def received(cell, process):
    return {(kind, role): float(value) for kind, role, value in RECEIVED.findall(cell.metrics(process))}


def measure(build, edges):
    """Messages a second received by the leader and by another core process: two maps by kind and sender's role."""
    cell = PlatformCell(build, cores=CORES, edges=edges, workers=0)
    try:
        leader = wait_for(cell.leader, 30)
        assert wait_for(cell.configure, 30)
        time.sleep(SETTLE_S)
        chosen = [leader, next(n for n in cell.cores if n != leader)]
        before, began = [received(cell, n) for n in chosen], time.monotonic()
        time.sleep(MEASURE_S)
        after, took = [received(cell, n) for n in chosen], time.monotonic() - began
        assert cell.leader() == leader, "The leader changed during the measurement."
    finally:
        cell.stop()
    return [{key: (now[key] - then.get(key, 0.0)) / took for key in now} for then, now in zip(before, after)]


def main():
    build = sys.argv[1]
    for edges in [int(n) for n in sys.argv[2:]] or [20, 40, 80, 160]:
        for name, rates in zip(("leader", "other core process"), measure(build, edges)):
            text = ", ".join("%s from %s %.1f" % (kind, role, rate) for (kind, role), rate in sorted(rates.items()) if rate > 0)
            print("%d entry processes, %s, messages a second: %s" % (edges, name, text))


if __name__ == "__main__":
    main()
