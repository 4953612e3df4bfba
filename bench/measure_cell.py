"""Measures the control-plane overhead of real processes, for the slopes in docs/CAPACITY.md. Prints one JSON document.

Usage: python3 bench/measure_cell.py BUILD_FOLDER > run.json
"""

import json
import os
import socket
import statistics
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "fakes"))
from cell import TOKENS, Cell, wait_for  # noqa: E402

DEFAULT_TIMING = {"heartbeat_ms": 150, "election_ms": 1000, "worker_lease_ms": 30000, "worker_poll_ms": 10000,
                  "feed_ms": 2000, "config_staleness_ms": 10000, "endpoint_staleness_ms": 5000}


def cpu_seconds(node):
    with open("/proc/%d/schedstat" % node.process.pid) as f:
        main = int(f.read().split()[0])
    total = 0
    for task in os.listdir("/proc/%d/task" % node.process.pid):
        with open("/proc/%d/task/%s/schedstat" % (node.process.pid, task)) as f:
            total += int(f.read().split()[0])
    return max(total, main) / 1e9


def rss_mb(node):
    with open("/proc/%d/status" % node.process.pid) as f:
        return next(int(line.split()[1]) for line in f if line.startswith("VmRSS")) / 1000


class Usage:
    """Resource usage of the daemons since this object was created."""

    def __init__(self, cell):
        self.cell, self.at = cell, time.monotonic()
        self.cpu = [cpu_seconds(n) for n in cell.nodes]
        self.sent = [cell.metric(n, "walkthread_peer_sent_bytes_total") for n in cell.nodes]
        self.wal = self.wal_bytes()

    def wal_bytes(self):
        return sum(os.path.getsize(os.path.join(n.data, f)) for n in self.cell.nodes for f in os.listdir(n.data)
                   if f.startswith("wal-"))

    def since_start(self):
        now = Usage(self.cell)
        return {"seconds": now.at - self.at, "cpu": sum(now.cpu) - sum(self.cpu),
                "peer_bytes": sum(now.sent) - sum(self.sent), "log_bytes": now.wal - self.wal}


class WorkerFleet:
    """Protocol-only workers: they run nothing, renew on request over keep-alive connections, and count bytes."""

    def __init__(self, cell, count, slots=8):
        self.cell, self.bytes, self.exchanges = cell, 0, 0
        self.workers = []
        for i in range(count):
            node = cell.nodes[i % len(cell.nodes)]
            line = socket.create_connection(("127.0.0.1", node.workers))
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            worker = {"number": i + 1, "hall": cell.halls[i % len(cell.halls)], "line": line, "epoch": 0, "runs": {}}
            size = {"cpu_millicores": 1000 * slots * 2, "memory_mib": 8192 * slots, "accelerators": 0, "slots": slots}
            answer = self.exchange(worker, {"worker": i + 1, "epoch": 0, "rack": i // 8, "address": "127.0.0.1",
                                            "port": 1, "size": size})
            worker["epoch"] = answer["epoch"]
            self.workers.append(worker)

    def exchange(self, worker, body):
        data = json.dumps(body, separators=(",", ":")).encode()
        head = ("POST /v1/halls/%s/renew HTTP/1.1\r\nHost: w\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
                % (worker["hall"], TOKENS["worker"], len(data))).encode()
        while True:
            worker["line"].sendall(head + data)
            answer = b""
            while b"\r\n\r\n" not in answer:
                answer += worker["line"].recv(65536)
            headers, rest = answer.split(b"\r\n\r\n", 1)
            length = next(int(h.split(b":")[1]) for h in headers.split(b"\r\n") if h.lower().startswith(b"content-length"))
            while len(rest) < length:
                rest += worker["line"].recv(65536)
            self.bytes += len(head) + len(data) + len(headers) + 4 + length
            self.exchanges += 1
            if b" 200 " in headers.split(b"\r\n")[0]:
                return json.loads(rest)
            time.sleep(0.05)

    def renew(self, worker):
        runs = [{"run": r, "state": s} for r, s in worker["runs"].items()]
        answer = self.exchange(worker, {"worker": worker["number"], "epoch": worker["epoch"], "wait_ms": 0, "runs": runs})
        for run in answer.get("forget", []):
            worker["runs"].pop(run, None)
        for order in answer.get("start", []):
            worker["runs"][order["run"]] = "started"
        return answer


def idle(build, halls, feed_ms):
    cell = Cell(build, halls=["hall-%d" % i for i in range(halls)], timing={**DEFAULT_TIMING, "feed_ms": feed_ms})
    try:
        cell.wait_ready()
        time.sleep(2)
        usage = Usage(cell)
        time.sleep(10)
        spent = usage.since_start()
        return {"halls": halls, "feed_s": feed_ms / 1000, "cpu_percent_per_node": 100 * spent["cpu"] / spent["seconds"] / 3,
                "peer_bytes_per_s_per_node": spent["peer_bytes"] / spent["seconds"] / 3,
                "rss_mb": max(rss_mb(n) for n in cell.nodes)}
    finally:
        cell.stop()
        cell.remove()


def renewals(cell, fleet, rounds):
    usage, began, exchanges = Usage(cell), fleet.bytes, fleet.exchanges
    for _ in range(rounds):
        for worker in fleet.workers:
            fleet.renew(worker)
    spent, done = usage.since_start(), fleet.exchanges - exchanges
    return {"renewals": done, "cpu_us_each": 1e6 * spent["cpu"] / done, "peer_bytes_each": spent["peer_bytes"] / done,
            "http_bytes_each": (fleet.bytes - began) / done, "workers": len(fleet.workers)}


def tasks(cell, fleet, count):
    """Measures complete task life cycles, from placement to removal of the record."""
    usage, began, exchanges = Usage(cell), fleet.bytes, fleet.exchanges
    name = "life-%d" % count
    status, _, answer = cell.submit("aarhus", name, "small", tasks=count)
    assert status == 200, answer
    job = answer["jobs"][0]
    ended = 0
    while cell.jobs("aarhus")[job]["outcome"] == "running":
        for worker in fleet.workers:
            answer = fleet.renew(worker)
            for run, state in list(worker["runs"].items()):
                if state == "started" and not answer.get("start"):
                    worker["runs"][run] = "completed"
                    ended += 1
    spent = usage.since_start()
    return {"tasks": count, "cpu_us_each": 1e6 * spent["cpu"] / count, "peer_bytes_each": spent["peer_bytes"] / count,
            "log_bytes_each_replica": spent["log_bytes"] / count / 3, "http_bytes_each": (fleet.bytes - began) / count,
            "exchanges_each": (fleet.exchanges - exchanges) / count}


def placements(cell, count):
    """Committed placements per second, for a job that fits entirely on the free hosts."""
    before = sum(cell.metric(n, "walkthread_placements_total") for n in cell.nodes)
    usage = Usage(cell)
    status, _, answer = cell.submit("aarhus", "burst-%d" % count, "tiny", tasks=count)
    assert status == 200, answer
    began = time.monotonic()
    job = answer["jobs"][0]

    def placed():
        return sum(cell.metric(n, "walkthread_placements_total") for n in cell.nodes) - before >= count
    wait_for(placed, 60, 0.005)
    took = time.monotonic() - began
    spent = usage.since_start()
    cell.operate("aarhus", "POST", "/v1/jobs/cancel", {"request_id": "c%d" % count, "jobs": [job]})
    return {"placements": count, "per_s": count / took, "log_bytes_each_replica": spent["log_bytes"] / count / 3,
            "peer_bytes_each": spent["peer_bytes"] / count}


def changes(cell, count):
    usage, waits = Usage(cell), []
    for i in range(count):
        began = time.monotonic()
        status, headers, answer = cell.submit("cruzadas", "change", "small", expected=changes.version, tasks=1,
                                              node=cell.nodes[0])
        assert status == 200, answer
        changes.version = answer["version"]
        if i % 10 == 0:
            wait_for(lambda: all(cell.operate("cruzadas", "GET", "/v1/configurations/change?local=true", node=n)[2].get("version", 0)
                                 >= changes.version for n in cell.nodes), 10, 0.002)
            waits.append(time.monotonic() - began)
    spent = usage.since_start()
    return {"changes": count, "cpu_us_each": 1e6 * spent["cpu"] / count, "peer_bytes_each": spent["peer_bytes"] / count,
            "log_bytes_each_replica": spent["log_bytes"] / count / 3,
            "in_force_everywhere_s_median": statistics.median(waits), "in_force_everywhere_s_max": max(waits)}


def main():
    build = sys.argv[1]
    out = {"machine": "%d cores" % os.cpu_count(), "idle": [idle(build, halls, 2000) for halls in (1, 4, 13)],
           "idle_fast_feed": idle(build, 13, 500)}
    timing = {**DEFAULT_TIMING, "worker_lease_ms": 3600000}
    for key, sizes in (("renewals", (48, 96, 192)),):
        out[key] = []
        for size in sizes:
            cell = Cell(build, halls=("a", "b"), timing=timing, limits={"http_threads": 128})
            try:
                cell.wait_ready()
                fleet = WorkerFleet(cell, size)
                out[key].append({**renewals(cell, fleet, 10), "rss_mb": max(rss_mb(n) for n in cell.nodes)})
                if size != sizes[-1]:
                    continue
                cell.template("aarhus", "small", "batch", cpu_millicores=1000, memory_mib=1024, run_seconds=1, tasks=1)
                cell.template("cruzadas", "small", "batch", cpu_millicores=1000, memory_mib=1024, run_seconds=1, tasks=1)
                out["tasks"] = [tasks(cell, fleet, count) for count in (200, 400, 800)]
                changes.version = 0
                out["changes"] = [changes(cell, count) for count in (100, 200, 400)]
            finally:
                cell.stop()
                cell.remove()
    cell = Cell(build, halls=("a",), timing=timing)
    try:
        cell.wait_ready()
        WorkerFleet(cell, 96, slots=400)
        limits = {"tasks": 100000, "cpu_millicores": 1000, "memory_mib": 1024}
        body = {"request_id": "t", "kind": "batch", "repeatable": True, "defaults": {"cpu_millicores": 100, "memory_mib":
                16, "run_seconds": 60}, "limits": limits}
        cell.operate("aarhus", "PUT", "/v1/templates/tiny", body)
        out["placements"] = [placements(cell, count) for count in (4000, 8000, 16000)]
    finally:
        cell.stop()
        cell.remove()
    print(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
