"""A leader with fewer file descriptors than connections to all workers would need: no process exits and no work is lost.

Guards against descriptor exhaustion. With 1,100 workers each leader in turn ran out of descriptors, could not open its
snapshot, and exited: it used one connection for polls and up to three for orders per worker, without a limit. Descriptors are
now divided by need at the start, and connections to workers stay within their share.
"""

import os
import resource
import shutil
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import PlatformCell, call, wait_for  # noqa: E402

WORKERS = 40
LIMIT = 200 + 150  # the platform reserves 200; 35 of the rest are for polls, fewer than there are workers
STEP = {"cpu": 1000, "mem-mb": 100, "estimate-ms": 300}


class FewDescriptors(PlatformCell):
    def limit_process(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT - 200, LIMIT - 200))

    def settings(self, number, bootstrap):
        path = super().settings(number, bootstrap)
        with open(path, "a") as file:
            file.write("[limits]\nmax-fds = %d\n" % LIMIT)
        return path


def submission(number):
    return "%016x" % (0xFDE0000000000000 + number)


def descriptors(cell, number):
    return len(os.listdir("/proc/%d/fd" % cell.processes[number].pid))


def foreign_reports(cell):
    """Checks that invalid reports from another sender are rejected; its worker must not be used."""
    good = {"service": "pool", "machine": "m-x", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8, "state": "ready",
            "room": {"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "labels": ["a"], "clock-ms": 1, "sequence": 1}
    for change in ({"state": "warming"}, {"service": 7}, {"room": None}, {"address": "nowhere"}, {"labels": 3}, {"sequence": -4},
                   {"service": "another"}):
        status, _ = call(cell.operator_addresses()[0], "PUT", "/walkthread/instances/i-foreign", dict(good, **change), timeout=2.0)
        assert status is not None and status >= 400, (change, status)


def run(cell):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    ids = [submission(n) for n in range(30)]
    most = 0
    for n, name in enumerate(ids):
        gang = n % 3 == 2
        cell.submit(name, [dict(STEP, count=8, cpu=4500, gang=True) if gang else dict(STEP, count=10)])
        if n == 10:
            foreign_reports(cell)
            leader = wait_for(cell.leader, 20)
            cell.kill(leader, signal.SIGKILL)
            cell.start(leader)
        most = max([most] + [descriptors(cell, c) for c in cell.cores])
    for name in ids:
        wait_for(lambda name=name: cell.state(name) == "completed", 60)
    assert most <= LIMIT - 200, most
    assert not cell.overlaps(), cell.overlaps()
    assert not cell.violations, cell.violations
    assert all(process.poll() is None for process in cell.processes.values())
    leader = wait_for(cell.leader, 20)
    page = cell.metrics(leader)
    opened = next(line for line in page.splitlines() if line.startswith("walkthread_looks_connections "))
    assert float(opened.split()[1]) < WORKERS, opened
    assert "i-foreign" not in str(cell.starts)


def main():
    cell = FewDescriptors(sys.argv[1], workers=WORKERS)
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
    print("test_few_descriptors passed.")


if __name__ == "__main__":
    main()
