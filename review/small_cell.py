"""An installation for the review scripts: 5 core and some entry processes with the settings of a small deployment, and the
project's stand-ins for workers and the advisor. Each worker's life has an id of its own; nobody sends `born`."""

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path[:0] = [os.path.join(ROOT, "tests", "fakes"), os.path.join(ROOT, "tests", "soak")]
import platform_cell  # noqa: E402
from peer_proxy import Faults, PeerProxy  # noqa: E402
from ports import free_port  # noqa: E402
from platform_cell import HOST, PREFIX, PlatformCell, call, loopback, wait_for  # noqa: E402,F401

BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
          "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12,
          "hold-max-ms": 6000, "stop-ms": 400, "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
          "finish_s": 14, "status_s": 120}


def route(name="r", prefix=PREFIX, service="pool", timeout_ms=3000):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": timeout_ms,
            "target-latency-ms": 500, "priority": 0, "service": service, "max-attempts": 2, "stretch": 2.0,
            "advice": {"decision-ms": 5.0, "each-ms": 0.1, "validity-ms": 1500}}


NOTED_REFUSALS = 40  # in record.txt; all are counted


class SmallWorker(platform_cell.Worker):
    """Without `born`: after a crash the next life has another id."""

    def handle(self, method, path, headers, body):
        status, document = super().handle(method, path, headers, body)
        if document:
            document.pop("born", None)
        if path.endswith("/run-start") and status != 200:
            self.cell.refused_starts += 1
        if path.endswith("/run-start") and status != 200 and self.cell.refused_starts <= NOTED_REFUSALS:
            self.cell.note("worker %s refuses the start of %s run %d, ticket %r: %s %s" % (
                self.worker_id, body["task"], body["run-id"], body.get("ticket", ""), status, (document or {}).get("reason")))
        return status, document

    def report(self):
        """As the project's stand-in reports, without `born`, every heartbeat-ms."""
        self.sequence += 1
        body = {"service": self.cell.service_of(self.number), "machine": "m-%d" % self.number, "address": self.address,
                "zone": self.zone, "version": "v1",
                "slots": 8, "state": "draining" if self.draining else "ready", "cold-remaining-ms": 0,
                "room": {"cpu": platform_cell.WORKER_CPU, "mem-mb": 65536, "gpu": 0}, "labels": ["a", self.cell.rack_of(self.number)],
                "clock-ms": self.clock(), "sequence": self.sequence}
        body.update({"remaining-ms": 2000} if self.draining else {})
        for target in ([self.heartbeat_address] if self.heartbeat_address else []) + self.cell.operator_addresses():
            status, answer = call(target, "PUT", "/walkthread/instances/" + self.worker_id, body, timeout=1.0)
            if status == 200:
                self.heartbeat_address = (answer or {}).get("heartbeat-addr")
                if self.draining and not self.leaving_acknowledged.is_set():
                    self.cell.leaving_acknowledged_at[self.worker_id] = time.monotonic()
                    self.leaving_acknowledged.set()
                break
            self.heartbeat_address = None

    def heartbeat_loop(self):
        while self.live:
            self.report()
            time.sleep(1.5)


class SmallCell(PlatformCell):
    def __init__(self, edges=2, workers=6, run_seconds=0.3, proxied=(), services=()):
        """`proxied`: processes whose peer port has the project's proxy in front, by number. `services`: of each worker."""
        self.began = time.monotonic()
        self.proxied, self.proxies, self.faults, self.bind, self.services = proxied, {}, Faults(), {}, services
        self.events, self.events_lock, self.refused_starts = [], threading.Lock(), 0
        super().__init__(os.path.join(ROOT, "target"), cores=5, edges=edges, workers=0, run_seconds=run_seconds)
        self.workers = [SmallWorker(self, n) for n in range(workers)]

    def service_of(self, number):
        """The service of the worker with this number."""
        return self.services[number] if number < len(self.services) else "pool"

    def rack_of(self, number):
        return "r-%s-%d" % (self.service_of(number), number % 2 if not self.services else 0)

    def put_configuration(self, version, routes, services=("pool",)):
        """Sends a configuration to one core process after the other until one acknowledges it; returns whether one did."""
        body = {"version": version, "routes": routes,
                "services": [{"name": s, "rejects-overload": False, "spare": False} for s in services]}
        for address in self.operator_addresses():
            self.note("PUT configuration %d, routes %s -> %s" % (
                version, ["%s at %s to %s" % (r["name"], r["path-prefix"], r["service"]) for r in routes], address))
            status, _ = call(address, "PUT", "/walkthread/config", body, timeout=1.0)
            self.note("PUT configuration %d <- %s" % (version, status))
            if status == 200:
                return True
        return False

    def note(self, text):
        with self.events_lock:
            self.events.append("%8.3f s  %s" % (time.monotonic() - self.began, text))

    def settings(self, number, bootstrap):
        ip, core = loopback(number), number in self.cores
        seeds = ", ".join('"%s:%d"' % (loopback(n), self.control) for n in self.cores[:3])
        lines = ['node-name = "n%d"' % number, 'role = "%s"' % ("core" if core else "edge"),
                 'machine-class = "%s"' % ("core" if core else "edge"), 'serves = ["%s"]' % ("control_plane" if core else "edge"),
                 'ip = "%s"' % ip, 'zone = "a"', 'region = "r"', "internal-ports = [%d, %d]" % (self.peer, self.peer),
                 "seeds = [%s]" % seeds, "bootstrap = %s" % str(bootstrap).lower(), "loss-counts = %s" % str(core).lower(),
                 'discovery = "registration"', 'entry = "vip"', "heartbeat-ms = 1500",
                 'contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]',
                 'config_mode = "highest"', 'orders = "call"', 'advice = "%s"' % self.advisor.address]
        if number in self.proxied:
            self.bind.setdefault(number, free_port())
            if number not in self.proxies:
                self.proxies[number] = PeerProxy(ip, (ip, self.peer), (ip, self.bind[number]), self.faults)
            lines.append('peer-bind = "%s:%d"' % (ip, self.bind[number]))
        lines += ['data-dir = "%s"' % os.path.join(self.folder, "disk-%d" % number)] if core else []
        lines += ["[zones]", 'a = "r"', "[listen-addrs]"]
        lines += ['control = "%s:%d"' % (ip, self.control)] if core else [
            'front = "%s:%d"' % (ip, self.front), 'ready = "%s:%d"' % (ip, self.ready)]
        lines += ["[limits]", "cpu-share = %s" % (0.5 if core else 0.25), "cores = 1", "memory-mb = %d" % (256 if core else 260),
                  "max-fds = %d" % (4096 if core else 4200), "link-mbps = 1000.0", "disk-mb = %d" % (128 if core else 0),
                  "[fault-tolerance]", "machines = 2", "zones = 0", "regions = 0", "[bounds]"]
        lines += ["%s = %s" % item for item in BOUNDS.items()]
        path = os.path.join(self.folder, "n%d.toml" % number)
        with open(path, "w") as f:
            f.write("\n".join(lines) + "\n")
        return path

    def start(self, number, bootstrap=False):
        """Starts a process as the deploy file says: the command without arguments, the settings file in the environment."""
        self.logs[number] = os.path.join(self.folder, "n%d.log" % number)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin"), "HOME": self.folder, "LANG": "C.UTF-8",
                       "WALKTHREAD_SETTINGS": self.settings(number, bootstrap)}
        with open(self.logs[number], "a") as log:
            self.processes[number] = subprocess.Popen([self.program], stdout=log, stderr=log, env=environment, cwd=ROOT)

    def follower_cores(self):
        leader = self.leader()
        return [n for n in self.cores if n != leader] if leader else []

    def ready_edges(self):
        return [n for n in self.edges if call("%s:%d" % (loopback(n), self.ready), "GET", "/walkthread/ready", timeout=1.0)[0] == 200]

    def send(self, method, submission, steps=None, edge=None, timeout=3.0):
        """One call of a client, with its deadline; notes what was sent and answered. Returns status and document."""
        edge = self.edges[0] if edge is None else edge
        body = {"spec": "spec of " + submission, "steps": steps} if steps else None
        self.note("%s %s -> entry %d" % (method, submission or "(queue)", edge))
        status, answer = call("%s:%d" % (loopback(edge), self.front), method, PREFIX + submission, body,
                              {"Host": HOST, "X-Walkthread-Deadline-Ms": "%d" % (timeout * 1000)}, timeout=timeout)
        self.note("%s %s <- entry %d: %s %s" % (method, submission or "(queue)", edge, status, json.dumps(answer)))
        return status, answer

    def write_record(self, folder, verdict):
        lines = sorted(self.events) + ["", "starts, from the workers' own records:"]
        lines += ["%8.3f s  %s run %d on %s" % (s[3] - self.began, s[0], s[1], s[2]) for s in self.starts]
        lines += ["", "starts that workers refused: %d" % self.refused_starts, "", "ends `done`, from the workers' own records:"]
        lines += ["%8.3f s  %s run %d" % (d[2] - self.began, d[0], d[1]) for d in self.done]
        with open(os.path.join(folder, "record.txt"), "w") as f:
            f.write("\n".join(lines + ["", verdict]) + "\n")


def play(folder, scenario, **options):
    """Runs a scenario, writes record.txt and ends with 1 if it returns what was broken, 0 if nothing, 2 if it could not run."""
    cell, code = None, 2
    verdict = "The case could not run."
    try:
        cell = SmallCell(**options)
        broken = scenario(cell, os.environ.get("TROUBLE", "1") != "0")
        code = 1 if broken else 0
        verdict = "BROKEN: " + "; ".join(broken) if broken else "The rule held."
    except Exception as error:  # the case could not be brought about
        verdict = "The case could not run: %r" % error
    finally:
        if cell is not None:
            cell.write_record(folder, verdict)
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(cell.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            cell.stop()
            shutil.rmtree(cell.folder, ignore_errors=True)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' threads may still wait
