"""Two of five disks are lost, including the leader's, and all processes are killed at the same time, right after
acknowledgements: all acknowledged work survives and completes, and the newest configuration is in force."""

import os
import shutil
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import PlatformCell, call, wait_for  # noqa: E402

STEPS = [{"cpu": 1000, "mem-mb": 100, "estimate-ms": 300, "count": 3}]


def submission(number):
    return "%016x" % (0xD15C000000000000 + number)


def current_version(cell):
    for address in cell.operator_addresses():
        status, held = call(address, "GET", "/walkthread/config", timeout=2)
        if status == 200:
            return held["version"]
    return None


def kill_all_and_lose_two_disks(cell, leader):
    """Kills all processes and deletes two disks before any process is restarted."""
    lost = [leader, next(n for n in cell.cores if n != leader)]
    for process in cell.processes.values():
        process.kill()
    for process in cell.processes.values():
        process.wait(15)
    for number in lost:
        shutil.rmtree(os.path.join(cell.folder, "disk-%d" % number))
    for number in cell.cores + cell.edges:
        cell.start(number)


def repaired(cell):
    """Whether all five replicas are voters and no learner is left."""
    metrics = ("\nwalkthread_votes 1\n", "\nwalkthread_voters 5\n", "\nwalkthread_learners 0\n")
    return all(metric in cell.metrics(number) for number in cell.cores for metric in metrics)


def run(cell):
    wait_for(cell.configure, 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    accepted, version = [], 1
    for round_number in range(2):
        wait_for(lambda: repaired(cell), 40)
        leader = wait_for(cell.leader, 30)
        for number in range(12):
            accepted.append(submission(20 * round_number + number))
            cell.submit(accepted[-1], STEPS)
        version += 1
        wait_for(lambda: cell.configure(version), 30)
        kill_all_and_lose_two_disks(cell, leader)
        wait_for(lambda: current_version(cell) == version, 40)
        for name in accepted:
            wait_for(lambda name=name: cell.state(name) == "completed", 60)
    assert not cell.overlaps(), cell.overlaps()
    assert not cell.violations, cell.violations


def main():
    cell = PlatformCell(sys.argv[1], cores=5)
    try:
        run(cell)
    finally:
        cell.stop()
        shutil.rmtree(cell.folder, ignore_errors=True)
    print("test_power_and_disks passed.")


if __name__ == "__main__":
    main()
