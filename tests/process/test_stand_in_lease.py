"""A fake worker whose lease expired during a renewal ignores the late answer and registers again."""

import http.server
import json
import os
import sys
import tempfile
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from cell import wait_for  # noqa: E402
from records import Records  # noqa: E402
from worker import Worker  # noqa: E402

LEASE_MS = 1500
RUN = {"run": "1/0/1", "configuration": "long", "organisation": "aarhus", "kind": "batch", "run_seconds": 600,
       "size": {"cpu_millicores": 1000, "memory_mib": 1024, "accelerators": 0, "slots": 1}}


class Gateway(http.server.ThreadingHTTPServer):
    """Registers the worker, starts one task, and delays the answer to the next renewal until the lease has expired."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), GatewayHandler)
        self.worker, self.epoch, self.held, self.after = None, 0, False, []

    def answer(self, asked):
        if self.held:
            self.after.append(asked)
        if asked["epoch"] == 0:
            self.epoch += 1
        answer = {"epoch": self.epoch, "lease_ms": LEASE_MS, "start": [], "stop": [], "throttle": [], "forget": []}
        if asked["epoch"] != 0 and not asked["runs"] and not self.held:
            answer["start"] = [RUN]
        elif asked["epoch"] != 0 and not self.held:
            wait_for(lambda: self.worker is not None and self.worker.epoch == 0)
            self.held, answer["lease_ms"] = True, 600000
        return answer


class GatewayHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        asked = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        body = json.dumps(self.server.answer(asked)).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def a_late_answer_does_not_restore_an_expired_epoch(folder):
    gateway = Gateway()
    threading.Thread(target=gateway.serve_forever, args=(0.05,), daemon=True).start()
    records = Records(os.path.join(folder, "records.txt"))
    gateway.worker = Worker(1, "santiago-1", 1, [gateway.server_address], "", records, wait_ms=20000)
    try:
        wait_for(lambda: gateway.after)
    finally:
        gateway.worker.stop()
        gateway.shutdown()
    assert records.find("end", run=RUN["run"], how="lease"), records.events
    assert gateway.after[0]["epoch"] == 0, "The worker renewed an epoch whose lease had expired: %s" % gateway.after[0]


with tempfile.TemporaryDirectory() as kept:
    a_late_answer_does_not_restore_an_expired_epoch(kept)
print("a_late_answer_does_not_restore_an_expired_epoch passed.")
