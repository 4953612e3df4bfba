"""Measures the time without a root leader after a kill, a freeze and a silent network partition, with default settings.

Usage: python3 bench/measure_recovery.py BUILD_FOLDER
"""

import os
import statistics
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "fakes"))
from cell import Cell, wait_for  # noqa: E402

DEFAULT_TIMING = {"heartbeat_ms": 150, "election_ms": 1000, "worker_lease_ms": 30000, "worker_poll_ms": 10000,
                  "feed_ms": 2000, "config_staleness_ms": 10000, "endpoint_staleness_ms": 5000}
REPEATS = 5


def set_partitioned(cell, node, partitioned):
    for other in cell.nodes:
        if other is not node:
            other.relays[node.number].blocked = partitioned
            node.relays[other.number].blocked = partitioned


FAILURES = {"kill -9": (lambda cell, node: node.kill(), lambda cell, node: node.start()),
            "freeze": (lambda cell, node: node.freeze(), lambda cell, node: node.resume()),
            "silent cut": (lambda cell, node: set_partitioned(cell, node, True),
                           lambda cell, node: set_partitioned(cell, node, False))}


def main():
    cell = Cell(sys.argv[1], halls=("a",), timing=DEFAULT_TIMING, with_relays=True)
    try:
        cell.wait_ready()
        for name, (inject, recover) in FAILURES.items():
            times = []
            for i in range(REPEATS):
                leader = wait_for(cell.leader)
                rest = [n for n in cell.nodes if n is not leader]
                inject(cell, leader)
                began = time.monotonic()
                body = {"request_id": "%s %d" % (name, i)}
                cell.operate("aarhus", "PUT", "/v1/teams/t", body, node=rest[0])
                times.append(time.monotonic() - began)
                recover(cell, leader)
                cell.wait_ready()
            print("%-10s commands accepted again after %.2f s (median), %.2f s (maximum) in %d runs; election timeout 1 s"
                  % (name, statistics.median(times), max(times), REPEATS), flush=True)
    finally:
        cell.stop()
        cell.remove()


if __name__ == "__main__":
    main()
