"""A fake of the platform's workers: renews leases, simulates tasks with timers, and serves as endpoint.

The name of a task's configuration selects its behaviour: "fail" makes it fail, "hog" makes it use more than declared. The body
of a request selects the endpoint's behaviour: slow, late, short, twice, wrong or close.
"""

import http.client
import json
import random
import socket
import socketserver
import threading
import time

CPU, MEMORY, ACCELERATORS, SLOTS = 16000, 65536, 0, 8


class Endpoint(socketserver.ThreadingTCPServer):
    """Serves requests for all service tasks of one worker."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, worker):
        super().__init__(("127.0.0.1", 0), EndpointHandler)
        self.worker = worker
        self.in_progress = 0


class EndpointHandler(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        try:
            while self.one_request():
                pass
        except OSError:
            pass  # the gateway closed the connection

    def one_request(self):
        line = self.rfile.readline()
        if not line:
            return False
        headers = {}
        while True:
            header = self.rfile.readline().strip().decode()
            if not header:
                break
            name, value = header.split(":", 1)
            headers[name.lower()] = value.strip()
        body = self.rfile.read(int(headers.get("content-length", "0"))).decode()
        return self.answer(headers, body) and headers.get("connection", "").lower() != "close"

    def answer(self, headers, body):
        worker = self.server.worker
        run, attempt = headers["x-walkthread-run"], headers["x-walkthread-attempt"]
        if not worker.serves(run):
            self.send(attempt, b"leaving", 503, "X-Walkthread-Leaving: 1\r\n")
            return True
        worker.records.add("exchange", host=worker.number, run=run, body=body)
        worker.count_in_progress(run, 1)
        try:
            return self.answer_as_requested(attempt, body)
        finally:
            worker.count_in_progress(run, -1)

    def answer_as_requested(self, attempt, body):
        answer = ("answer to " + body).encode()
        if "slow" in body:
            time.sleep(1.5)
        if "late" in body:
            time.sleep(8)
        if "close" in body:
            return False
        if "wrong" in body:
            attempt = "1"
        if "short" in body:
            head = f"HTTP/1.1 200 OK\r\nX-Walkthread-Attempt: {attempt}\r\nContent-Length: {len(answer) + 50}\r\n\r\n"
            self.wfile.write(head.encode() + answer)
            return False
        self.send(attempt, answer)
        if "twice" in body:
            self.send(attempt, answer)
        return True

    def send(self, attempt, answer, status=200, more=""):
        head = f"HTTP/1.1 {status} X\r\nX-Walkthread-Attempt: {attempt}\r\n{more}Content-Length: {len(answer)}\r\n\r\n"
        self.wfile.write(head.encode() + answer)


class Worker:
    """One worker in one hall."""

    def __init__(self, number, hall, rack, gateways, token, records, size=None, fails=False, wait_ms=2000):
        self.number, self.hall, self.rack, self.gateways, self.token = number, hall, rack, gateways, token
        self.records, self.fails, self.wait_ms = records, fails, wait_ms
        self.size = size or (CPU, MEMORY, ACCELERATORS, SLOTS)
        self.epoch, self.previous, self.lease_until = 0, 0, 0.0
        self.runs, self.lock = {}, threading.Lock()
        self.answers = {}
        self.begun = set()  # runs that began in the epoch `previous` and were not forgotten
        self.stopping = False
        self.frozen = threading.Event()
        self.endpoint = Endpoint(self)
        self.interrupted_requests = 0
        records.add("worker", host=number, size=self.size[:3])
        threading.Thread(target=self.endpoint.serve_forever, args=(0.1,), daemon=True).start()
        self.threads = [threading.Thread(target=f, daemon=True) for f in (self.renew_loop, self.run_loop)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping = True
        self.endpoint.shutdown()
        self.endpoint.server_close()

    def serves(self, run):
        with self.lock:
            state = self.runs.get(run)
            return state is not None and state["state"] == "started" and time.monotonic() < self.lease_until

    def count_in_progress(self, run, change):
        with self.lock:
            self.answers[run] = self.answers.get(run, 0) + change

    # Leases -----------------------------------------------------------------------------------------------

    def renew_loop(self):
        connection, gateway = None, random.randrange(len(self.gateways))
        while not self.stopping:
            if self.frozen.is_set():
                time.sleep(0.05)
                continue
            asked = time.monotonic()
            try:
                if connection is None:
                    host, port = self.gateways[gateway % len(self.gateways)]
                    connection = http.client.HTTPConnection(host, port, timeout=self.wait_ms / 1000 + 0.6)
                    connection.connect()
                    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sent = self.renewal()
                connection.request("POST", f"/v1/halls/{self.hall}/renew", json.dumps(sent),
                                   {"Authorization": "Bearer " + self.token})
                reply = connection.getresponse()
                body = json.loads(reply.read())
                if reply.status != 200:
                    raise OSError(body)
                self.apply_response(asked, sent, body)
            except (OSError, ValueError, http.client.HTTPException):
                connection, gateway = None, gateway + 1
                time.sleep(0.1)

    def renewal(self):
        with self.lock:
            self.end_lease()
            return self.renewal_of(self.epoch)

    def renewal_of(self, epoch):
        if epoch == 0:
            self.runs.clear()
            cpu, memory, accelerators, slots = self.size
            return {"worker": self.number, "epoch": 0, "previous": self.previous, "begun": sorted(self.begun), "rack": self.rack, "address": "127.0.0.1",
                    "port": self.endpoint.server_address[1],
                    "size": {"cpu_millicores": cpu, "memory_mib": memory, "accelerators": accelerators, "slots": slots}}
        runs = [{"run": run, "state": s["state"], "port": s["port"], "cpu_millicores": s["cpu"],
                 "stopping": s["stopping"], "throttled": s["throttled"]} for run, s in self.runs.items()]
        return {"worker": self.number, "epoch": epoch, "wait_ms": self.wait_ms, "runs": runs}

    def apply_response(self, asked, sent, body):
        if self.epoch == 0 or any(body.get(key) for key in ("register", "start", "stop", "forget")):
            runs = ["%s %s" % (r["run"], r["state"]) for r in sent.get("runs", [])]
            self.records.add("told", host=self.number, asked=asked, asked_as=sent["epoch"], said=runs, mine=self.epoch,
                             answer=body)
        with self.lock:
            self.end_lease()
            if self.epoch != sent["epoch"]:
                return  # the lease under which this renewal was sent has expired
            if body.get("register"):
                self.end_all("lease")
            else:
                self.apply_orders(asked, body)

    def apply_orders(self, asked, body):
        if self.epoch == 0:
            self.begun.clear()
        self.epoch = self.previous = body["epoch"]
        self.lease_until = max(self.lease_until, asked + body["lease_ms"] / 1000)
        for run in body.get("forget", []):
            self.runs.pop(run, None)
            self.begun.discard(run)
        for order in body.get("start", []):
            self.start(order)
        for order in body.get("stop", []):
            self.stop_run(order)
        for run in body.get("throttle", []):
            if run in self.runs:
                self.runs[run]["throttled"] = True

    # Tasks ------------------------------------------------------------------------------------------------

    def start(self, order):
        run, size = order["run"], order["size"]
        if run in self.runs:
            return
        service = order["kind"] == "service"
        name = order["configuration"]
        hog = 2 if "hog" in name else 1
        self.runs[run] = {"state": "started", "port": self.endpoint.server_address[1] if service else 0,
                          "ends": float("inf") if service else time.monotonic() + order["run_seconds"],
                          "fails": self.fails or "fail" in name, "stopping": False, "throttled": False,
                          "cpu": size["cpu_millicores"] * hog, "service": service}
        self.begun.add(run)
        self.records.add("start", run=run, host=self.number, hall=self.hall, service=service, configuration=name,
                         organisation=order["organisation"],
                         size=(size["cpu_millicores"], size["memory_mib"], size["accelerators"]))

    def stop_run(self, order):
        run = order["run"]
        state = self.runs.get(run)
        if state is None:
            # Unknown run: record it as ended, so that a delayed start order is refused.
            self.runs[run] = {"state": "stopped", "port": 0, "ends": 0, "fails": False, "stopping": True,
                              "throttled": False, "cpu": 0, "service": False}
            return
        if state["state"] == "started":
            if self.answers.get(run, 0) > 0:
                self.interrupted_requests += self.answers[run]
            self.end(run, "checkpointed" if order["checkpoint"] else "stopped")

    def end(self, run, how):
        self.runs[run]["state"] = how
        self.runs[run]["stopping"] = True
        self.records.add("end", run=run, host=self.number, how=how)

    def end_lease(self):
        if self.epoch != 0 and time.monotonic() > self.lease_until:
            self.records.add("lease_over", host=self.number, hall=self.hall)
            self.end_all("lease")

    def end_all(self, why):
        for run, state in self.runs.items():
            if state["state"] == "started":
                self.records.add("end", run=run, host=self.number, how=why)
        self.runs.clear()
        self.epoch = 0

    def run_loop(self):
        while not self.stopping:
            time.sleep(0.02)
            with self.lock:
                self.end_lease()
                now = time.monotonic()
                for run, state in list(self.runs.items()):
                    if state["state"] == "started" and (now >= state["ends"] or (state["fails"] and not state["service"])):
                        self.end(run, "failed" if state["fails"] else "completed")
