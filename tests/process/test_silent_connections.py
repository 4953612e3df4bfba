"""Open connections between processes, to workers and to the advisor silently discard all data, while new ones work. Each kind
of connection has its own timeout; work continues, and nothing runs twice."""

import os
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "soak"), os.path.join(HERE, "..", "fakes")]
from platform_cell import wait_for  # noqa: E402
from soak import SoakCell  # noqa: E402

SMALL = {"cpu": 1000, "mem-mb": 100, "estimate-ms": 300}
STEPS = [dict(SMALL, count=3), dict(SMALL, count=2, **{"after-rev": [0]})]


def work(cell, first, count):
    """Submits work and waits until all of it is completed."""
    names = ["%016x" % (0xCAFE000000000000 + first + n) for n in range(count)]
    for name in names:
        cell.sizes[name] = STEPS
        cell.submit(name, STEPS)
    for name in names:
        wait_for(lambda name=name: cell.state(name) == "completed", 40)


def run(cell):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    work(cell, 0, 6)
    workers = {w.server.address for w in cell.workers}
    cell.faults.discard_open(lambda link: link[1] in workers)  # polls and orders
    work(cell, 100, 6)
    cell.faults.discard_open(lambda link: link[1] not in workers)  # between cores, between edges and cores, and advisor queries
    work(cell, 200, 6)
    cell.faults.discard_open(lambda link: True)
    work(cell, 300, 6)
    assert cell.configure(7)
    assert not cell.overlaps(), cell.overlaps()
    assert not cell.violations, cell.violations


def main():
    cell = SoakCell(sys.argv[1], cores=3, edges=2, workers=4, run_seconds=0.3)
    failed = True
    try:
        run(cell)
        failed = False
    finally:
        cell.stop()
        if failed:
            for number, path in cell.logs.items():
                with open(path) as log:
                    print("-- process %d\n%s" % (number, log.read()[-3000:]))
        shutil.rmtree(cell.folder, ignore_errors=True)
    print("test_silent_connections passed.")


if __name__ == "__main__":
    main()
