"""Faults of the soak that hit one worker at the same time: they must not leave two live processes under one id, which the platform
never has, and a long run must not use up the ports of its cell. A task that starts again counts as a failure unless the platform
allows it."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "soak"), os.path.join(HERE, "..", "fakes")]
from platform_cell import Worker  # noqa: E402
from ports import BLOCK  # noqa: E402
from promises import GuaranteeChecker  # noqa: E402
from soak import SoakCell  # noqa: E402
from trouble import FaultInjector  # noqa: E402


def cell_without_processes(workers):
    return SoakCell("", cores=0, edges=0, workers=workers, run_seconds=0.3)


def faults_at_one_time_leave_one_process():
    cell, started = cell_without_processes(1), []
    original = Worker.__init__

    def counted(self, *arguments):
        original(self, *arguments)
        started.append(self)

    Worker.__init__ = counted
    try:
        injector = FaultInjector(cell, 42, 0)
        first = cell.workers[0]
        started.append(first)
        acts = [lambda: injector.crash_worker_at(0), lambda: injector.crash_worker_at(0),
                lambda: (first.shut_down(), first.restart())]
        threads = [threading.Thread(target=act) for act in acts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        live = [worker for worker in started if worker.live]
        assert len(live) == 1, "%d processes of one worker are live" % len(live)
        assert cell.workers[0].live
    finally:
        Worker.__init__ = original
        cell.stop()


def workers_do_not_use_up_the_ports_of_a_cell():
    cell = cell_without_processes(0)
    try:
        addresses = {cell.reachable("127.0.0.1:9") for _ in range(BLOCK + 20)}
        assert len(addresses) == BLOCK + 20
    finally:
        cell.stop()


def failures_of_a_repeated_task(lease_ms, acknowledged_after_s):
    """A run is done under a lease, then another run of its task starts, then the end of the first is acknowledged."""
    cell = cell_without_processes(2)
    try:
        checker, task, worker = GuaranteeChecker(cell), "0000000000000001.0.0.0", cell.workers[0]
        checker.steps["0000000000000001"] = [{"count": 1}]
        worker.execute("/walkthread/hold", {"fencing-token": 1, "last-seen": 0, "until-ms": worker.clock() + lease_ms})
        cell.starts.append((task, 1, worker.worker_id, time.monotonic()))
        worker.running[(task, 1)] = time.monotonic()
        worker.complete((task, 1))
        time.sleep(acknowledged_after_s)
        cell.starts.append((task, 2, cell.workers[1].worker_id, time.monotonic()))
        worker.execute("/walkthread/hold", {"fencing-token": 1, "last-seen": 1})
        checker.check_starts()
        return checker.failures
    finally:
        cell.stop()


def a_repeated_task_is_a_failure_while_the_lease_lasts():
    found = failures_of_a_repeated_task(lease_ms=5000, acknowledged_after_s=0.0)
    assert len(found) == 1, found


def a_task_may_be_repeated_once_the_lease_has_lapsed():
    # The end may have been lost with the lease, so the platform allows another run even if it is acknowledged later.
    found = failures_of_a_repeated_task(lease_ms=200, acknowledged_after_s=0.4)
    assert not found, found


faults_at_one_time_leave_one_process()
a_repeated_task_is_a_failure_while_the_lease_lasts()
a_task_may_be_repeated_once_the_lease_has_lapsed()
workers_do_not_use_up_the_ports_of_a_cell()
print("soak_workers passed.")
