"""Workers leave while tasks run on them, and end in each of the ways that the platform leaves open: their runs, their connections and
their port may outlive the answer to their leave, and the next worker of the machine may start meanwhile. No task may run on two workers at once, and each one runs again in bounded time.

Usage: test_leaving_workers.py BUILD [ROW]
       test_leaving_workers.py --list"""

import http.client
import os
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "fakes"))
from platform_cell import Departure, PlatformCell, Port, Worker, wait_for  # noqa: E402

STAY_S = 2.2            # between the announcement of a leave and the leave
RUN_S = 40.0            # of a task that ends: longer than a row
LEASE_S = 6.0           # the platform's longest
RESTART_LIMIT_S = LEASE_S + 2.0  # until a task that ran on a worker that left runs elsewhere: a lease, and a start on a busy machine
ELECTION_LIMIT_S = 4.0  # until another process leads
STEP = {"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 20000, "anti-affinity": 1}
LASTING, ENDING, GANG = dict(STEP, **{"long-running": True}), STEP, dict(STEP, gang=True)


class Row:
    def __init__(self, departure=Departure(), leaving=1, loses_answer=False, kills_leader=False, next_life=False):
        self.departure, self.leaving, self.loses_answer = departure, leaving, loses_answer
        self.kills_leader, self.next_life = kills_leader, next_life


ROWS = {
    "ends-at-once": Row(),
    "runs-on-briefly": Row(Departure(0.1)),
    "runs-on": Row(Departure(1.0)),
    "three-workers": Row(Departure(0.7), leaving=3),
    "answer-lost": Row(Departure(0.2), loses_answer=True),
    "leader-killed": Row(Departure(1.5), kills_leader=True),
    "next-life": Row(Departure(0.7), leaving=2, next_life=True),
    "port-closed-before-leave": Row(Departure(0.5, Port.CLOSES_BEFORE_THE_LEAVE)),
    "port-closed-after-answer": Row(Departure(0.5, Port.CLOSES_AFTER_THE_ANSWER)),
    "port-closed-long-before-end": Row(Departure(4.0, Port.CLOSES_AFTER_THE_ANSWER)),
    "port-closed-and-leader-killed": Row(Departure(1.5, Port.CLOSES_AFTER_THE_ANSWER), kills_leader=True),
}


class LeavingWorker(Worker):
    """Reports its leave; the row says how it goes on."""

    row = None

    def send_leave(self):
        if self.row is not None and self.row.loses_answer:
            host, port = self.cell.operator_addresses()[0].rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            connection.request("DELETE", "/walkthread/instances/" + self.worker_id)
            time.sleep(1.0)  # no answer within a second: the next process is asked
            connection.close()
        super().send_leave()
        if self.row is not None and self.row.next_life:
            self.cell.workers.append(LeavingWorker(self.cell, self.number, self.worker_id))


class Cell(PlatformCell):
    def __init__(self, build):
        super().__init__(build, cores=5, edges=2, workers=0, run_seconds=RUN_S)
        self.lasting = set()
        self.workers = [LeavingWorker(self, self.next_host()) for _ in range(8)]

    def is_long_running(self, task):
        return task.split(".")[0] in self.lasting

    def submit_all(self):
        for number, step in enumerate((LASTING, ENDING, GANG)):
            name = "%016x" % (0xBEEF0000 + number)
            self.lasting |= {name} if "long-running" in step else set()
            self.submit(name, [step])

    def running_tasks(self):
        return [task for worker in self.workers + self.leaving_workers if worker.live for task, _ in list(worker.running)]


def leave(cell, worker, row):
    """Takes a worker out of the cell as the row says; a worker on another machine has come in its place before."""
    worker.row = row
    worker.announce_leave(STAY_S)
    time.sleep(STAY_S)
    killing = threading.Thread(target=kill_leader, args=(cell,)) if row.kills_leader else None
    ending = threading.Thread(target=worker.finish, args=(row.departure,))
    ending.start()
    if killing:
        time.sleep(row.departure.runs_on_s / 3)
        killing.start()
    ending.join()
    if killing:
        killing.join()


def kill_leader(cell):
    leader = wait_for(cell.leader, 10)
    cell.kill(leader)
    time.sleep(0.5)
    cell.start(leader)


def play(cell, row):
    wait_for(lambda: len(cell.running_tasks()) == 12, 30)
    time.sleep(1.0)
    leaving = sorted(cell.workers, key=lambda w: -len(w.running))[:row.leaving]
    for worker in leaving:
        cell.workers.remove(worker)
        cell.leaving_workers.append(worker)
        cell.workers.append(LeavingWorker(cell, cell.next_host()))
    threads = [threading.Thread(target=leave, args=(cell, worker, row)) for worker in leaving]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    wait_for(lambda: len(set(cell.running_tasks())) == 12, RESTART_LIMIT_S + (ELECTION_LIMIT_S if row.kills_leader else 0.0))
    assert not cell.violations, cell.violations


def run(build, name):
    cell, failed = Cell(build), True
    try:
        wait_for(lambda: cell.configure(), 30)
        wait_for(lambda: cell.ask("GET")[0] == 200, 30)
        cell.submit_all()
        play(cell, ROWS[name])
        failed = False
    finally:
        cell.stop()
        if failed:
            print("%s: %s" % (name, cell.violations))
            for number, path in cell.logs.items():
                with open(path) as log:
                    print("-- process %d\n%s" % (number, log.read()[-4000:]))
        shutil.rmtree(cell.folder, ignore_errors=True)
    print("test_leaving_workers: %s passed." % name)


if __name__ == "__main__":
    if sys.argv[1] == "--list":
        print("\n".join(ROWS))
    else:
        for row_name in sys.argv[2:] or ROWS:
            run(sys.argv[1], row_name)
