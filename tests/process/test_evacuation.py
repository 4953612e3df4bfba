"""A zone is evacuated, and the leader is killed right after the acknowledgement: nothing new starts in the zone, work completes in
the other one, and the zone gets work again once it is taken back."""

import os
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import PlatformCell, call, wait_for  # noqa: E402

SMALL = {"cpu": 1000, "mem-mb": 100, "estimate-ms": 300}
EVACUATION_S = 5.0  # the platform's bound on starts behind the acknowledgement


def submit_and_wait(cell, first, count):
    names = ["%016x" % (0xEAC0000000000000 + first + n) for n in range(count)]
    for n, name in enumerate(names):
        cell.submit(name, [dict(SMALL, count=4, gang=n % 3 == 0)])
    for name in names:
        wait_for(lambda name=name: cell.state(name) == "completed", 60)


def starts_in(cell, zone, since=0.0):
    return [start for start in list(cell.timely_starts) if cell.zone_of[start[2]] == zone and start[3] > since]


def run(cell):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    submit_and_wait(cell, 0, 24)
    assert starts_in(cell, "a")
    leader = wait_for(cell.leader, 20)
    wait_for(lambda: cell.evacuate("a"), 30)
    acknowledged = time.monotonic()
    cell.kill(leader)
    wait_for(lambda: cell.evacuate("a"), 30)  # the same request again, answered by the next leader
    submit_and_wait(cell, 100, 12)
    time.sleep(max(0.0, acknowledged + EVACUATION_S - time.monotonic()))
    submit_and_wait(cell, 200, 12)
    late = starts_in(cell, "a", acknowledged + EVACUATION_S)
    assert not late, late
    survivor = next(a for n, a in zip(cell.cores, cell.operator_addresses()) if n != leader)
    assert list(call(survivor, "GET", "/walkthread/evacuations")[1]["evacuations"]) == ["a"]
    assert call(survivor, "POST", "/walkthread/evacuations/b")[0] == 409  # no zone would be left
    cell.start(leader)
    taken_back = time.monotonic()
    wait_for(lambda: cell.evacuate("a", "DELETE"), 30)
    submit_and_wait(cell, 300, 24)
    assert starts_in(cell, "a", taken_back)
    assert not cell.overlaps(), cell.overlaps()


def main():
    cell = PlatformCell(sys.argv[1], workers=6, zones=("a", "b"))
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
    print("test_evacuation passed.")


if __name__ == "__main__":
    main()
