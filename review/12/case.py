"""A worker fails one run and is sound again. Is the task started again while only that worker has room for it?"""

import os
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.join(HERE, "..", "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fakes"))
import platform_cell  # noqa: E402
from platform_cell import HOST, PREFIX, WORKER_CPU, PlatformCell, call, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
STALL_S = 3.0             # LOST: nothing running for 3 s
FINISH_S = 14.0           # finish_s: submissions are asked for so long after the end of the traffic
WATCHED_S = 30.0          # the case looks on for longer, to see whether the task ever starts again
ADVICE = {"decision-ms": 170.0, "each-ms": 2.4, "validity-ms": 2000}  # as catalogue-sync of lecan-norte
LASTING, SHORT = "00000000c0ffee01", "00000000c0ffee02"


class Record:
    def __init__(self, path):
        self.began, self.file, self.lock = time.monotonic(), open(path, "w"), threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()


class RecordedWorker(platform_cell.Worker):
    """Records what it starts and ends. While it is grey, it fails what it runs."""

    def __init__(self, *arguments):
        self.failed = []
        super().__init__(*arguments)

    def start(self, body, late):
        answer = super().start(body, late)
        self.cell.record.add("%s is told to start %s, run %d: %s" % (self.worker_id, body["task"], body["run-id"], answer[0]))
        return answer

    def end(self, key, how):
        if how == "done" and self.cell.grey is self:
            how = "failed"
            self.failed.append(key)
        self.cell.record.add("%s ends %s, run %d: %s" % (self.worker_id, key[0], key[1], how))
        super().end(key, how)


class Cell(PlatformCell):
    def __init__(self, record):
        self.record, self.grey = record, None
        platform_cell.Worker = RecordedWorker
        super().__init__(os.path.join(ROOT, "target"), cores=5, edges=2, workers=7, run_seconds=0.5)

    def advise(self, _method, _path, _headers, body):
        """The policy allows the lasting step on one worker, and the short one on that and on one more. Answers after decision-ms
        and each-ms for each worker that is named; a ticket holds for validity-ms from then on."""
        time.sleep((ADVICE["decision-ms"] + ADVICE["each-ms"] * len(body["workers"])) / 1000.0)
        allowed = [w.worker_id for w in self.workers[:1 if body["step"].startswith(LASTING) else 2]]
        born = {w.worker_id: w.process_start_ms for w in self.workers}
        good = [[name, "t-%s-%s" % (body["step"], name)] for name in body["workers"] if name in allowed]
        for name, ticket in good:
            self.tickets[(body["step"], name, born[name], ticket)] = time.monotonic() + ADVICE["validity-ms"] / 1000.0
        self.record.add("advice on %s for %s: %s" % (body["step"], body["workers"], [name for name, _ in good]))
        return 200, {"good": good}

    def configure(self, version=1, prefix=PREFIX):
        route = {"name": "r", "host": HOST, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
                 "target-latency-ms": 3000, "priority": 2, "service": self.queue_pool, "max-attempts": 3, "stretch": 4.0, "advice": ADVICE}
        body = {"version": version, "routes": [route], "services": [{"name": self.queue_pool, "rejects-overload": False}]}
        return any(call(address, "PUT", "/walkthread/config", body)[0] == 200 for address in self.operator_addresses())

    def is_long_running(self, task):
        return task.startswith(LASTING)


def run(cell, record):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    full, other = cell.workers[0], cell.workers[1]
    record.add("workers: %s, %d millicores each; max-attempts is 3" % ([w.worker_id for w in cell.workers], WORKER_CPU))
    cell.submit(LASTING, [{"count": 1, "cpu": WORKER_CPU, "mem-mb": 1024, "estimate-ms": 1000, "long-running": True}])
    record.add("accepted: %s, a lasting task as large as a worker, allowed on %s" % (LASTING, full.worker_id))
    wait_for(lambda: full.running, 20)
    time.sleep(6.0)  # more than contact-ms behind all starts of processes
    cell.grey = other if TROUBLE else None
    if TROUBLE:
        record.add("%s turns grey: it fails what it runs" % other.worker_id)
    cell.submit(SHORT, [{"count": 2, "cpu": WORKER_CPU // 4, "mem-mb": 1024, "estimate-ms": 500}])
    record.add("accepted: %s, two tasks of a quarter of a worker, allowed on %s and %s" % (SHORT, full.worker_id, other.worker_id))
    wait_for(lambda: len(other.failed) == 2 or cell.state(SHORT) == "completed", 10)
    cell.grey = None
    ended = time.monotonic()
    record.add("%s is sound, has nothing to do and room for both tasks twice over" % other.worker_id)
    idle_until, stalled = None, 0.0
    while time.monotonic() - ended < WATCHED_S and cell.state(SHORT) != "completed":
        if any(task.startswith(SHORT) for worker in cell.workers for task, _ in list(worker.running)):
            ended = ended if idle_until else time.monotonic()
            idle_until = idle_until or time.monotonic()
        time.sleep(0.1)
    stalled = (idle_until or time.monotonic()) - ended if cell.state(SHORT) != "completed" else 0.0
    record.add("state of %s: %s" % (SHORT, cell.state(SHORT)))
    return stalled


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.add("with the disruption" if TROUBLE else "without the disruption")
    cell, code = None, COULD_NOT_RUN
    try:
        cell = Cell(record)
        stalled = run(cell, record)
        code = HELD
        if stalled >= STALL_S:
            code = BROKEN
            record.add("LOST: %s had nothing running for %.1f s, with one of seven workers in use, and has not completed" % (SHORT, stalled))
    except Exception as error:  # the case could not run
        record.add("could not run: %r" % error)
    finally:
        if cell is not None:
            for number, path in cell.logs.items():
                if os.environ.get("KEEP"):
                    shutil.copy(path, os.environ["KEEP"])
            cell.stop()
            shutil.rmtree(cell.folder, ignore_errors=True)
    record.add("exit code %d" % code)
    return code


if __name__ == "__main__":
    sys.exit(main())
