"""A small deployment on loopback addresses for the cases 6 to 10: the project's processes as the deploy file starts them, with
stand-ins for the platform, its workers, the placement advisor, the operator and the clients.

The stand-ins follow PROTOCOL.md and DEPLOY.md; figures are those of the sheet of cruzadas-prod. All of them run in one asyncio
loop. What is sent, answered and run goes to `record.txt`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["stgo-a", "stgo-b", "valpo-a", "rancagua-a"]
HOLD_MAX_MS, STOP_MS, GANG_MS, HEARTBEAT_S, SEED_LAG_S = 6000, 400, 3000, 1.5, 3.0
MEMORY_MB = {"edge": 260, "core": 256}  # a process above it is killed, and started again after RESTART_S
MEMORY_CHECK_S, RESTART_S = 0.02, 0.5
SETTINGS = """\
node-name = "{name}"
role = "{role}"
machine-class = "{role}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "cl-central"
internal-ports = [{peer}, {peer_last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
loss-counts = {counts}
{data_dir}discovery = "registration"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "call"
advice = "{advice}"
[zones]
stgo-a = "cl-central"
stgo-b = "cl-central"
valpo-a = "cl-central"
rancagua-a = "cl-central"
[listen-addrs]
{listen}
[limits]
cpu-share = {cpu}
cores = 1
memory-mb = {memory}
max-fds = 4096
link-mbps = 1000.0
disk-mb = {disk}
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 6000
stop-ms = 400
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-factor = 1.5
checkpoint-s = 2
restore-ms = 250
notice-ms = 4500
move-s = 1.5
upkeep-s = 2
require-fencing = true
lease-ms = 3000
thaw-ms = 300
pace-ms = 100
harm-ms = 4000
[cloud-api]
address = "{cloud}"
rate-per-s = 60.0
duties = []
duty-per-s = 60.0
"""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def __call__(self, who, what, **fields):
        text = " ".join("%s=%s" % item for item in fields.items())
        self.file.write("%8.3f %-12s %s %s\n" % (time.monotonic() - self.began, who, what, text))
        self.file.flush()


async def read_message(reader):
    """Reads an HTTP message. Returns the first line, the headers and the body; None if the peer has closed."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server. `handle(method, path, headers, document)` returns the status and the document of the answer."""

    def __init__(self, handle):
        self.handle, self.writers, self.server, self.address = handle, set(), None, None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                status, document = await self.handle(method, path, headers, json.loads(body) if body else None)
                out = json.dumps(document).encode() if document is not None else b""
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(out)) + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError, asyncio.CancelledError):
            pass  # closed by the peer, by `kill`, or at the end of the case
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, document=None, headers=(), timeout=3.0):
    """Sends one request on a new connection. Returns the status and the document; (None, None) if there is no complete answer."""
    host, port = address.rsplit(":", 1)
    out = json.dumps(document).encode() if document is not None else b""
    head = {"Host": address, "Content-Length": str(len(out)), "Connection": "close"}
    head.update({"Content-Type": "application/json"} if out else {})
    head.update(headers)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = "".join("%s: %s\r\n" % item for item in head.items())
            writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, lines)).encode() + out)
            line, _, body = await read_message(reader)
            return int(line.split()[1]), json.loads(body) if body else None
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
        return None, None
    finally:
        if writer:
            writer.close()


class Worker:
    """One life of a worker: room, lease, fencing token, run ids. It starts what it is told, like those of the sheet."""

    lives = 0

    def __init__(self, deployment, number, port=0):
        Worker.lives += 1
        self.deployment, self.number, self.port = deployment, number, port
        self.worker_id = "i-%08x" % random.getrandbits(32)
        self.origin, self.clock_base = time.monotonic(), random.randrange(10**6)
        self.fence = self.until = self.sequence = 0
        self.running, self.highest, self.finished, self.next_end = {}, {}, [], 1
        self.live, self.heartbeat_to, self.news = True, None, asyncio.Event()

    async def open(self):
        self.server = await Server(self.handle).open(self.port)
        self.address, self.port = self.server.address, int(self.server.address.rsplit(":", 1)[1])
        self.tasks = [asyncio.ensure_future(self.heartbeat()), asyncio.ensure_future(self.watch_lease())]
        self.deployment.record(self.name(), "worker up", machine="m-%05x" % self.number)
        return self

    def name(self):
        return self.worker_id

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.origin) * 1000)

    def crash(self):
        """The process ends: connections are reset, and all that runs there is gone."""
        self.live = False
        for task in self.tasks:
            task.cancel()
        for (task, run), handle in self.running.items():
            handle[0].cancel()
            self.deployment.record(self.name(), "run lost in the crash", task=task, run=run)
            self.deployment.lost.append((task, run))
        self.running = {}
        self.server.kill()
        self.deployment.record(self.name(), "worker crashed")

    async def heartbeat(self):
        while True:
            self.sequence += 1
            body = {"service": "puzzle-engine", "machine": "m-%05x" % self.number, "address": self.address,
                    "zone": ZONES[self.number % len(ZONES)], "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                    "room": {"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "labels": ["a", "r1-%d" % (self.number // 6)],
                    "clock-ms": self.clock(), "sequence": self.sequence}
            targets = ([self.heartbeat_to] if self.heartbeat_to else []) + random.sample(self.deployment.controls, 5)
            self.heartbeat_to = None
            for target in targets:
                status, answer = await call(target, "PUT", "/walkthread/instances/" + self.worker_id, body, timeout=1.0)
                if status == 200:
                    self.heartbeat_to = (answer or {}).get("heartbeat-addr")
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.until:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        handle = self.running.pop(key)
        handle[0].cancel()
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.finished.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.deployment.record(self.name(), "run ended", task=key[0], run=key[1], how=how)
        self.deployment.ends.append((key[0], key[1], how, time.monotonic()))
        self.news.set()

    async def handle(self, _method, path, headers, body):
        if headers.get("x-walkthread-expect-instance", self.worker_id) != self.worker_id:
            return 421, None
        if body["fencing-token"] < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = body["fencing-token"]
        until = body.get("until-ms", 0)
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))
        if path == "/walkthread/run-start":
            key = (body["task"], body["run-id"])
            if key in self.running:
                return 200, {"clock-ms": self.clock()}
            if body["run-id"] <= self.highest.get(body["task"], 0):
                return 409, {"clock-ms": self.clock(), "reason": "old"}
            if until < self.clock():
                return 409, {"clock-ms": self.clock(), "reason": "late"}
            began = time.monotonic()
            seconds = self.deployment.run_seconds(body["task"])
            self.running[key] = (asyncio.get_running_loop().call_later(seconds, self.end, key, "done"), began, seconds)
            self.deployment.record(self.name(), "run started", task=key[0], run=key[1])
            self.deployment.starts.append((key[0], key[1], began))
            return 200, {"clock-ms": self.clock()}
        if path == "/walkthread/run-stop":
            key = (body["task"], body["run-id"])
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.running:
                self.end(key, "stopped")
            return 200, {"clock-ms": self.clock()}
        if path == "/walkthread/hold":
            self.finished = [row for row in self.finished if row[0] > body["last-seen"]]
            if not self.finished and body.get("wait-ms"):
                self.news.clear()
                try:
                    await asyncio.wait_for(self.news.wait(), min(body["wait-ms"], 2000) / 1000)
                except TimeoutError:
                    pass
            now = time.monotonic()
            running = [[task, run, "", min(99, int(100 * (now - began) / seconds))]
                       for (task, run), (_, began, seconds) in self.running.items()]
            return 200, {"clock-ms": self.clock(), "running": running, "finished": self.finished[:500]}
        return 200, {"clock-ms": self.clock()}  # pace


class Deployment:
    """5 core and 6 edge machines, each with a loopback address of its own, the workers and the other stand-ins."""

    def __init__(self, folder, workers=12, run_seconds=0.64, worker_class=Worker):
        self.record, self.worker_count, self.default_seconds = Record(os.path.join(folder, "record.txt")), workers, run_seconds
        self.worker_class = worker_class
        self.folder = tempfile.mkdtemp(prefix="walkthread-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"].values()
        self.commands = {role["on"]: role["run"].split(" ") for role in roles}
        self.net = "127.%d.%d" % (random.randrange(1, 250), random.randrange(1, 250))
        self.peer, self.control, self.front, self.ready = free_port(), free_port(), free_port(), free_port()
        self.machines = ["core-%d" % n for n in range(5)] + ["edge-%d" % n for n in range(6)]
        self.controls = ["%s:%d" % (self.ip(name), self.control) for name in self.machines[:5]]
        self.fronts = ["%s:%d" % (self.ip(name), self.front) for name in self.machines[5:]]
        self.processes, self.exits, self.workers = {}, [], []
        self.starts, self.ends, self.lost = [], [], []  # by the workers' own accounts
        self.stopping, self.watch = False, None

    def ip(self, name):
        return "%s.%d" % (self.net, 10 + 2 * self.machines.index(name))

    def run_seconds(self, _task):
        return self.default_seconds

    async def open(self):
        self.advisor = await Server(self.advise).open()
        self.cloud = await Server(self.refuse).open()
        for name in self.machines:
            self.start(name, bootstrap=True)
        self.watch = asyncio.ensure_future(self.watch_processes())
        self.workers = [await self.worker_class(self, n).open() for n in range(self.worker_count)]

    async def advise(self, _method, _path, _headers, body):
        return 200, {"good": [[worker, "t"] for worker in body["workers"]]}

    async def refuse(self, _method, _path, _headers, _body):
        return 503, None

    def start(self, name, bootstrap=False):
        role = name.split("-")[0]
        core, ip = role == "core", self.ip(name)
        disk = os.path.join(self.folder, name)
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as f:
            f.write(SETTINGS.format(
                name=name, role=role, serves="control_plane" if core else "edge", ip=ip,
                zone=ZONES[self.machines.index(name) % len(ZONES)], peer=self.peer, peer_last=self.peer,
                seeds=", ".join('"%s"' % c for c in self.controls[:3]), bootstrap=str(bootstrap).lower(), counts=str(core).lower(),
                data_dir='data-dir = "%s"\n' % disk if core else "", advice=self.advisor.address, cloud=self.cloud.address,
                listen='control = "%s:%d"' % (ip, self.control) if core else 'front = "%s:%d"\nready = "%s:%d"' % (
                    ip, self.front, ip, self.ready),
                cpu=0.5 if core else 0.25, memory=MEMORY_MB[role], disk=128 if core else 0))
        command = self.commands[role]
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C", "WALKTHREAD_SETTINGS": path}
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen([os.path.join(ROOT, command[0])] + command[1:], cwd=ROOT, env=env, stdout=log,
                                                    stderr=log, stdin=subprocess.DEVNULL)
        self.record(name, "process started", pid=self.processes[name].pid)

    def resident_mb(self, name):
        try:
            with open("/proc/%d/status" % self.processes[name].pid) as f:
                return next((int(line.split()[1]) // 1024 for line in f if line.startswith("VmRSS:")), 0)
        except OSError:
            return 0

    async def watch_processes(self):
        """What the platform does: kills a process above its machine's memory, and starts again whatever has ended."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            for name in self.machines:
                process = self.processes[name]
                used = self.resident_mb(name)
                if process.poll() is None and used > MEMORY_MB[name.split("-")[0]]:
                    process.kill()
                    process.wait()
                    self.record(name, "killed by the platform: above memory-mb", used_mb=used)
                    self.exits.append((name, "memory"))
                    asyncio.get_running_loop().call_later(RESTART_S, self.restart, name)
                elif process.poll() is not None and process.returncode != -signal.SIGKILL:
                    self.record(name, "process ended by itself", code=process.returncode)
                    self.exits.append((name, process.returncode))
                    process.returncode = -signal.SIGKILL
                    asyncio.get_running_loop().call_later(RESTART_S, self.restart, name)

    def restart(self, name):
        if not self.stopping:
            self.start(name)

    async def configure(self, version, routes, seconds=20.0):
        """Sends a configuration until it is acknowledged, as the operator does. Returns whether it was."""
        body = {"version": version, "routes": routes,
                "services": [{"name": "puzzle-engine", "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": False,
                              "rejects-overload": False, "spare": False}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for address in random.sample(self.controls, len(self.controls)):
                status, _ = await call(address, "PUT", "/walkthread/config", body, timeout=1.0)
                self.record("operator", "PUT config", version=version, to=address, status=status)
                if status == 200 or status is not None and 400 <= status < 500 and status not in (408, 429):
                    return status == 200
            await asyncio.sleep(0.2)
        return False

    async def ask(self, method, path, host, body=None, timeout=3.0):
        """One attempt of a client, at any edge machine."""
        front = random.choice(self.fronts)
        return await call(front, method, path, body, {"Host": host, "X-Walkthread-Deadline-Ms": str(int(timeout * 1000))}, timeout)

    async def submit(self, path, host, body, attempts=5):
        """Hands a submission in like a client with 4 retries. Returns the last status; 200 if it was accepted."""
        status = None
        for attempt in range(attempts):
            status, _ = await self.ask("POST", path, host, body)
            self.record("client", "POST", path=path, status=status)
            if status is not None and status not in (429, 502, 503, 504):
                break
            await asyncio.sleep(0.2 * 2**attempt)
        return status

    async def state(self, path, host, timeout=3.0):
        """Asks for a submission's state. Returns the status and the state."""
        status, answer = await self.ask("GET", path, host, timeout=timeout)
        state = answer.get("state") if status == 200 and answer else None
        self.record("client", "GET", path=path, status=status, state=state)
        return status, state

    async def close(self):
        self.stopping = True
        if self.watch:
            self.watch.cancel()
        for worker in self.workers:
            if worker.live:
                for task in worker.tasks:
                    task.cancel()
                for handle, *_ in worker.running.values():
                    handle.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, priority=2, attempts=4, aim=3000, stretch=4.0, host="ficu95.example"):
    return {"name": name, "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": aim,
            "priority": priority, "service": "puzzle-engine", "max-attempts": attempts, "stretch": stretch}


def main(folder, case, limit_s=115, **options):
    """Runs a case. `case(deployment)` returns whether the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""
    async def run():
        deployment = Deployment(folder, **options)
        try:
            await deployment.open()
            async with asyncio.timeout(limit_s):
                held = await case(deployment)
            deployment.record("verdict", "held" if held else "BROKEN")
            return 0 if held else 1
        except Exception as error:  # the case could not run
            deployment.record("verdict", "could not run", error=repr(error))
            return 2
        finally:
            await deployment.close()

    raise SystemExit(asyncio.run(run()))
