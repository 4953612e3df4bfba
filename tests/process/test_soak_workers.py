"""Faults of the soak that hit one worker at the same time: they must not leave two live processes under one id, which the platform
never has, and a long run must not use up the ports of its cell."""

import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "soak"), os.path.join(HERE, "..", "fakes")]
from platform_cell import Worker  # noqa: E402
from ports import BLOCK  # noqa: E402
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


faults_at_one_time_leave_one_process()
workers_do_not_use_up_the_ports_of_a_cell()
print("soak_workers passed.")
