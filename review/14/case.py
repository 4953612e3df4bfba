"""A DELETE of a worker's former life, held back by a cut, arrives while the present life under the same id is leaving too."""

import os
import shutil
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.join(HERE, "..", "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fakes"))
import platform_cell  # noqa: E402
from platform_cell import HOST, PREFIX, PlatformCell, call, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
ADVICE = {"decision-ms": 50.0, "each-ms": 0.5, "validity-ms": 1500}
CUT_S = 5.0               # usual length of srv_cut
DRAIN_S = 2.0             # drain-ms of a small deployment
SILENCE_S = 1.0           # callers of control_plane move to another node after one second of silence
SUBMISSION = "00000000c0ffee01"


class Record:
    def __init__(self, path):
        self.began, self.file, self.lock = time.monotonic(), open(path, "w"), threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()


class CutPath:
    """The path from one worker to one core machine. While it is cut, bytes on open channels wait, and arrive when the cut heals."""

    def __init__(self, address):
        self.target, self.whole = address.rsplit(":", 1), threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open = []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        client, _ = self.listener.accept()
        request = client.recv(65536)
        self.whole.wait()
        server = socket.create_connection((self.target[0], int(self.target[1])))
        self.open += [client, server]
        server.sendall(request)
        try:
            client.sendall(server.recv(65536))
        except OSError:
            pass  # its sender has ended

    def close(self):
        self.whole.set()
        for each in self.open + [self.listener]:
            each.close()


class RecordedWorker(platform_cell.Worker):
    def name(self):
        return "%s (born %d)" % (self.worker_id, self.process_start_ms % 1000000)

    def leave_now(self, nodes):
        """Sends DELETE, to the next node after one second of silence, and ends once it is answered."""
        for address in nodes:
            self.cell.record.add("%s sends DELETE to %s" % (self.name(), address))
            status, _ = call(address, "DELETE", "/walkthread/instances/" + self.worker_id, timeout=SILENCE_S)
            if status is not None:
                break
            self.cell.record.add("%s gets no answer within %.0f s and goes to the next node" % (self.name(), SILENCE_S))
        with self.lock:
            self.live = False
            self.running.clear()
            self.lock.notify_all()
        self.cell.record.add("%s gets %s and ends" % (self.name(), status))
        self.server.close()

    def start(self, body, late):
        answer = super().start(body, late)
        if answer[0] == 200:
            others = [w.name() for w in self.cell.workers if w is not self and w.live and w.clock() <= w.until and
                      any(t == body["task"] for t, _ in list(w.running))]
            self.cell.record.add("%s starts %s, run %d%s" % (self.name(), body["task"], body["run-id"],
                                                             "; it still runs on %s, which is up" % others if others else ""))
            if others:
                self.cell.twice.append((body["task"], body["run-id"], self.name(), others))
        return answer


class Cell(PlatformCell):
    def __init__(self, record):
        self.record, self.twice = record, []
        platform_cell.Worker = RecordedWorker
        super().__init__(os.path.join(ROOT, "target"), cores=5, edges=2, workers=7)

    def configure(self, version=1, prefix=PREFIX):
        route = {"name": "r", "host": HOST, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
                 "target-latency-ms": 2500, "priority": 1, "service": self.queue_pool, "max-attempts": 3, "stretch": 2.2, "advice": ADVICE}
        body = {"version": version, "routes": [route], "services": [{"name": self.queue_pool, "rejects-overload": False}]}
        return any(call(address, "PUT", "/walkthread/config", body)[0] == 200 for address in self.operator_addresses())

    def advise(self, method, path, headers, body):
        time.sleep((ADVICE["decision-ms"] + ADVICE["each-ms"] * len(body["workers"])) / 1000.0)
        return super().advise(method, path, headers, body)

    def is_long_running(self, _task):
        return True


def drain(worker, record):
    worker.draining = True
    worker.report()
    assert worker.leaving_acknowledged.wait(10), "no confirmation that the worker leaves"
    record.add("%s reports draining, which is confirmed" % worker.name())


def run(cell, record):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    time.sleep(6.0)  # more than contact-ms behind all starts of processes
    first, nodes = cell.workers[0], cell.operator_addresses()
    drain(first, record)
    time.sleep(DRAIN_S + 0.5)
    path = CutPath(nodes[0])
    if TROUBLE:
        record.add("the path from this worker to the core machine %s is cut" % nodes[0])
        heal = threading.Timer(CUT_S, path.whole.set)
        heal.daemon = True
        heal.start()
    else:
        path.whole.set()
    cut_at = time.monotonic()
    first.leave_now([path.address] + nodes[1:])
    time.sleep(0.5)
    second = cell.workers[0] = RecordedWorker(cell, first.number, first.worker_id)
    record.add("it is started again under its id: %s" % second.name())
    time.sleep(0.8)
    steps = [{"count": 7, "cpu": 8000, "mem-mb": 4096, "estimate-ms": 1000, "long-running": True, "anti-affinity": 1}]
    cell.submit(SUBMISSION, steps)
    record.add("accepted: submission %s with seven lasting tasks, one a worker" % SUBMISSION)
    wait_for(lambda: second.running, 5)
    cell.workers.append(RecordedWorker(cell, 20))
    time.sleep(0.7)
    drain(second, record)
    record.add("%s keeps serving; it runs %s" % (second.name(), sorted(t for t, _ in second.running)))
    time.sleep(max(0.0, CUT_S - (time.monotonic() - cut_at)))
    if TROUBLE:
        record.add("the cut has healed; what waited on the open channel arrives")
    time.sleep(2.0)
    second.leave_now(nodes[1:])
    time.sleep(1.0)
    record.add("state of the submission: %s" % cell.state(SUBMISSION))
    path.close()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.add("with the disruption" if TROUBLE else "without the disruption")
    cell, code = None, COULD_NOT_RUN
    try:
        cell = Cell(record)
        run(cell, record)
        for task, number, worker, others in cell.twice:
            record.add("TWICE: run %d of %s began on %s while it ran on %s" % (number, task, worker, others))
        code = BROKEN if cell.twice else HELD
    except Exception as error:  # the case could not run
        record.add("could not run: %r" % error)
    finally:
        if cell is not None:
            cell.stop()
            shutil.rmtree(cell.folder, ignore_errors=True)
    record.add("exit code %d" % code)
    return code


if __name__ == "__main__":
    sys.exit(main())
