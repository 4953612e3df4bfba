"""A worker fails what it runs for a second and is sound again. Does it get the work that only it may run?"""

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
WATCHED_S = 45.0          # the case looks on for so long, to see when the task starts
ADVICE = {"decision-ms": 170.0, "each-ms": 2.4, "validity-ms": 2000}  # as catalogue-sync of lecan-norte
GREY_S = 1.5              # srv_grey usually lasts 5 s
BEFORE = 8                # submissions while the worker is grey
LAST = "00000000c0ffeeff"


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
        super().__init__(os.path.join(ROOT, "target"), cores=5, edges=2, workers=7, run_seconds=0.2)

    def advise(self, _method, _path, _headers, body):
        """The policy allows all steps on one worker alone. Answers after decision-ms and each-ms for each worker that is named; a
        ticket holds for validity-ms from then on."""
        time.sleep((ADVICE["decision-ms"] + ADVICE["each-ms"] * len(body["workers"])) / 1000.0)
        allowed = [self.workers[0].worker_id]
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


def run(cell, record):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    only = cell.workers[0]
    record.add("workers: %s, %d millicores each; max-attempts is 3" % ([w.worker_id for w in cell.workers], WORKER_CPU))
    time.sleep(6.0)  # more than contact-ms behind all starts of processes
    step = {"count": 1, "cpu": WORKER_CPU // 8, "mem-mb": 1024, "estimate-ms": 200}
    cell.grey = only if TROUBLE else None
    if TROUBLE:
        record.add("%s turns grey: it fails what it runs" % only.worker_id)
    began = time.monotonic()
    for number in range(BEFORE):
        cell.submit("00000000c0ffee%02x" % number, [step])
        record.add("accepted: 00000000c0ffee%02x, one task, allowed on %s" % (number, only.worker_id))
    time.sleep(max(0.0, GREY_S - (time.monotonic() - began)))
    cell.grey = None
    record.add("%s is sound from now on" % only.worker_id)
    time.sleep(1.0)  # what it ran has ended
    cell.submit(LAST, [step])
    accepted = time.monotonic()
    record.add("accepted: %s, one task, allowed on %s; that runs %s" % (LAST, only.worker_id, sorted(only.running)))
    wait_for(lambda: any(task.startswith(LAST) for task, *_ in cell.starts), WATCHED_S)
    return time.monotonic() - accepted


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
            record.add("LOST: %s had nothing running for %.1f s, while the worker had room for it and nothing to do" % (LAST, stalled))
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
