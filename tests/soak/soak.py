"""A randomized soak: the real processes with faults from outside, and the promises checked from what callers, operators and
workers see.

Usage: soak.py BUILD [--seed N] [--seconds S] [--cores N] [--edges N] [--workers N] [--keep FOLDER]

The seed decides which faults come, in which order and on what. Times of a run differ all the same, as real processes do.
A broken promise ends the run with exit code 1; with --keep the processes' logs and the list of faults stay there.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "fakes")]
import platform_cell  # noqa: E402
from peer_proxy import Faults, PeerProxy  # noqa: E402
from platform_cell import HOST, PREFIX, PlatformCell, call, loopback, wait_for  # noqa: E402
from ports import free_port  # noqa: E402

SMALL = {"cpu": 1500, "mem-mb": 200, "estimate-ms": 300}
KINDS = [[dict(SMALL, count=2)], [dict(SMALL, count=4), dict(SMALL, count=2, **{"after-rev": [0]})],
         [dict(SMALL, count=4, cpu=4000, gang=True)], [dict(SMALL, count=5, checkpointing=True, **{"anti-affinity": 2})]]
CANCEL_SHARE = 0.1
CANCELLED_AFTER_S = 3.5  # the platform's bound for cancels, with the workers' stop
CALM_S = 4.0             # after the last fault, before time bounds count again
FINISH_S = 60            # in which everything accepted has to be done once all faults are over
CLIENTS = 4


class SoakCell(PlatformCell):
    """A cell whose peers meet through proxies."""

    def __init__(self, build, cores, edges, workers, run_seconds):
        self.faults, self.proxies, self.bind, self.sizes = Faults(), {}, {}, {}
        super().__init__(build, cores, edges, workers, run_seconds)

    def own_settings(self, number):
        if number not in self.proxies:
            self.bind[number] = free_port()
            ip = loopback(number)
            self.proxies[number] = PeerProxy(ip, (ip, self.peer), (ip, self.bind[number]), self.faults)
        return ['peer-bind = "%s:%d"' % (loopback(number), self.bind[number])]

    def reachable(self, address):
        """Workers are met through proxies too."""
        host, port = address.rsplit(":", 1)
        listen = ("127.0.0.1", free_port())
        self.proxies[address] = PeerProxy(address, listen, (host, int(port)), self.faults)
        return "%s:%d" % listen

    def cpu_of(self, task):
        name, _, step, _ = task.split(".")
        return self.sizes[name][int(step)]["cpu"] if name in self.sizes else 0

    def everyone(self):
        return [loopback(n) for n in self.cores + self.edges]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        super().stop()
        for proxy in self.proxies.values():
            proxy.close()


class Promises:
    """What was seen, and what of it breaks a promise."""

    def __init__(self, cell):
        self.cell, self.lock, self.broken = cell, threading.Lock(), []
        self.steps, self.answers, self.cancelled, self.completed = cell.sizes, {}, {}, set()
        self.versions_acked, self.calm_since = 0, time.monotonic()

    def fail(self, text):
        with self.lock:
            self.broken.append("%.2f %s" % (time.monotonic(), text))

    def submitted(self, name, status):
        with self.lock:
            self.answers.setdefault(name, []).append(status)

    def accepted(self, name):
        return 200 in self.answers.get(name, [])

    def saw_state(self, name, status, state, asked_at):
        """One read of a submission's state. Rules with a time bound hold only where all was calm before."""
        if status == 410 and asked_at - self.calm_since > CALM_S:
            self.fail("410 for the accepted submission " + name)
        if status != 200:
            return
        with self.lock:
            done = name in self.completed
            self.completed |= {name} if state == "completed" else set()
        if done and state != "completed":
            self.fail("%s was completed and is %s" % (name, state))
        if state == "completed":
            self.check_complete(name)
        if state == "failed" or (state == "cancelled" and name not in self.cancelled):
            self.fail("%s is %s without a cause" % (name, state))

    def check_complete(self, name):
        ended = {task for task, _, _ in list(self.cell.done)}
        for step, spec in enumerate(self.steps[name]):
            tasks = ["%s.0.%d.%d" % (name, step, i) for i in range(spec["count"])]
            missing = [t for t in tasks if t not in ended]
            if missing and not (spec.get("gang") and len(missing) < len(tasks)):
                self.fail("%s is completed without %s" % (name, missing[0]))

    def check_starts(self):
        """From what the workers wrote down: nothing unasked, refused, twice, too early, or after a cancel."""
        starts, done = list(self.cell.starts), list(self.cell.done)
        first_done = {}
        for task, _, at in done:
            first_done[task] = min(at, first_done.get(task, at))
        for task, run, life, at in starts:
            name, _, step, _ = task.split(".")
            if name not in self.steps:
                self.fail("unasked start of " + task)
                continue
            if self.answers.get(name) and all(s in (429, 503) for s in self.answers[name]):
                self.fail("start of %s, which was refused each time" % task)
            for earlier in self.steps[name][int(step)].get("after-rev", []):
                for i in range(self.steps[name][earlier]["count"]):
                    if first_done.get("%s.0.%d.%d" % (name, earlier, i), at + 1) > at:
                        self.fail("%s began on %s before step %d was done" % (task, life, earlier))
            if at > self.cancelled.get(name, at) + CANCELLED_AFTER_S:
                self.fail("%s/%d began %.1f s after its cancel" % (task, run, at - self.cancelled[name]))
        for text in self.cell.violations:
            self.fail(text)
        noted = {(task, run) for task, run, _ in list(self.cell.noted)}
        for start in self.cell.overlaps():
            if any(d[0] == start[0] and d[1] < start[1] and d[2] < start[3] and (d[0], d[1]) in noted for d in done):
                self.fail("%s/%d began after an earlier run of it was done and taken note of" % start[:2])


class Client(threading.Thread):
    """Submits, asks and cancels over connections that it keeps until they break."""

    def __init__(self, number, cell, promises, seed):
        super().__init__(daemon=True)
        self.number, self.cell, self.promises, self.random = number, cell, promises, random.Random(seed * 100 + number)
        self.stopping, self.channels, self.names = threading.Event(), {}, []

    def exchange(self, edge, method, name, body=None):
        channel = self.channels.get(edge)
        if channel is None:
            channel = self.channels[edge] = http.client.HTTPConnection(loopback(edge), self.cell.front, timeout=3.2)
        try:
            channel.request(method, PREFIX + name, json.dumps(body) if body else None, {"Host": HOST})
            answer = channel.getresponse()
            text = answer.read()
            return answer.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            channel.close()
            self.channels.pop(edge, None)
            return None, {}

    def run(self):
        while not self.stopping.is_set():
            self.submit()
            for name in self.random.sample(self.names, min(3, len(self.names))):
                self.read(name)
            time.sleep(self.random.uniform(0.02, 0.2))

    def submit(self):
        name = "%016x" % self.random.getrandbits(64)
        steps = self.random.choice(KINDS)
        self.promises.steps[name] = steps
        for _ in range(6):
            status, _ = self.exchange(self.random.choice(self.cell.edges), "POST", name, {"spec": "text", "steps": steps})
            self.promises.submitted(name, status)
            if status == 200:
                self.names.append(name)
                break
            if status in (429, 503):
                break
            time.sleep(0.1)
        if status == 200 and self.random.random() < CANCEL_SHARE:
            self.cancel(name)

    def cancel(self, name):
        # From the first attempt on the state may be `cancelled`; only an answer starts the bound on starts.
        self.promises.cancelled[name] = float("inf")
        for _ in range(40):
            status, _ = self.exchange(self.random.choice(self.cell.edges), "DELETE", name)
            if status == 200:
                self.promises.cancelled[name] = time.monotonic()
                return
            time.sleep(0.1)

    def read(self, name):
        asked_at = time.monotonic()
        status, answer = self.exchange(self.random.choice(self.cell.edges), "GET", name)
        self.promises.saw_state(name, status, answer.get("state"), asked_at)


class Operator(threading.Thread):
    """Raises the configuration's version and reads it back."""

    def __init__(self, cell, promises, seed):
        super().__init__(daemon=True)
        self.cell, self.promises, self.random = cell, promises, random.Random(seed * 7 + 3)
        self.stopping, self.version = threading.Event(), 1

    def run(self):
        while not self.stopping.is_set():
            time.sleep(self.random.uniform(0.2, 1.0))
            self.version += self.random.randint(1, 3)
            if self.cell.configure(self.version):
                self.promises.versions_acked = self.version
            self.read()

    def read(self):
        acked = self.promises.versions_acked
        status, held = call(self.random.choice(self.cell.operator_addresses()), "GET", "/walkthread/config", timeout=1.5)
        if status == 200 and held["version"] < acked:
            self.promises.fail("configuration %d was read after %d was acknowledged" % (held["version"], acked))


class Trouble:
    """Faults from the seed. At most as many disks are away at a time as the cell bears."""

    def __init__(self, cell, seed, borne):
        self.cell, self.random, self.borne = cell, random.Random(seed), borne
        self.away, self.threads, self.log, self.lock = set(), [], [], threading.Lock()
        self.lives = 0

    def note(self, text):
        self.log.append("%.2f %s" % (time.monotonic(), text))

    def pick(self):
        """A process to strike; none of the replicas if enough of them are away."""
        with self.lock:
            cores = [n for n in self.cell.cores if n not in self.away]
            may = cores if len(self.away & set(self.cell.cores)) < self.borne else []
            choice = self.random.choice([n for n in may + self.cell.edges if n not in self.away] or [0])
            self.away |= {choice}
        return choice

    def back(self, number, settle):
        time.sleep(settle)  # a replica counts as away until it has caught up
        with self.lock:
            self.away -= {number}

    def strike(self):
        kind = self.random.choice(["kill", "kill", "stop", "pause", "wipe", "torn", "cut", "cut_one_way", "slow", "reset",
                                   "worker", "hush", "all", "mute", "mute_workers", "late_report"])
        hold = self.random.uniform(0.2, 4.0)
        task = threading.Thread(target=getattr(self, kind), args=(hold,), daemon=True)
        task.start()
        self.threads.append(task)

    def with_process(self, text, hold, act, settle=3.0):
        number = self.pick()
        if number == 0:
            return
        self.note("%s %d for %.2f s" % (text, number, hold))
        act(number)
        self.back(number, settle)

    def kill(self, hold):
        def act(number):
            self.cell.kill(number)
            time.sleep(hold)
            self.cell.start(number)
        self.with_process("kill", hold, act)

    def stop(self, hold):
        def act(number):
            code = self.cell.kill(number, signal.SIGTERM)
            if code != 0:
                self.cell.violations.append("process %d ended with %s after SIGTERM" % (number, code))
            time.sleep(hold)
            self.cell.start(number)
        self.with_process("stop", hold, act)

    def pause(self, hold):
        def act(number):
            self.cell.processes[number].send_signal(signal.SIGSTOP)
            time.sleep(hold)
            self.cell.processes[number].send_signal(signal.SIGCONT)
        self.with_process("pause", hold, act)

    def wipe(self, hold):
        def act(number):
            self.cell.kill(number)
            shutil.rmtree(os.path.join(self.cell.folder, "disk-%d" % number), ignore_errors=True)
            time.sleep(hold)
            self.cell.start(number)
        self.with_process("wipe the disk of", hold, act, settle=6.0)

    def torn(self, hold):
        """A kill with a write that was never synced half on the disk: bytes behind the end of the newest log."""
        def act(number):
            self.cell.kill(number)
            folder = os.path.join(self.cell.folder, "disk-%d" % number)
            logs = [os.path.join(folder, f) for f in os.listdir(folder) if "log" in f] if os.path.isdir(folder) else []
            for path in sorted(logs, key=os.path.getmtime)[-1:]:
                with open(path, "ab") as log:
                    log.write(os.urandom(37))
            time.sleep(hold)
            self.cell.start(number)
        self.with_process("torn write at", hold, act)

    def links_of(self, number, ways):
        me = loopback(number)
        others = [a for a in self.cell.everyone() if a != me]
        return [(me, a) for a in others if "out" in ways] + [(a, me) for a in others if "in" in ways]

    def cut(self, hold, ways=("in", "out")):
        def act(number):
            links = self.links_of(number, ways)
            self.cell.faults.set_silent(links, True)
            time.sleep(hold)
            self.cell.faults.set_silent(links, False)
        self.with_process("cut %s of" % "+".join(ways), hold, act)

    def cut_one_way(self, hold):
        self.cut(hold, self.random.choice([("in",), ("out",)]))

    def slow(self, hold):
        def act(number):
            links = self.links_of(number, ("in", "out"))
            self.cell.faults.set_delay(links, 0.08)
            time.sleep(hold)
            self.cell.faults.set_delay(links, 0)
        self.with_process("slow links of", hold, act)

    def reset(self, _hold):
        number = self.random.choice(self.cell.cores)
        self.note("reset links of %d" % number)
        self.cell.faults.reset(self.links_of(number, ("in", "out")))

    def mute(self, _hold):
        """Open connections of one process go silent for good; only time-outs of the processes show it."""
        me = loopback(self.random.choice(self.cell.cores + self.cell.edges))
        self.note("mute the open links of %s" % me)
        self.cell.faults.mute(lambda link: me in link)

    def mute_workers(self, _hold):
        addresses = {w.server.address for w in self.random.sample(self.cell.workers, len(self.cell.workers) // 2)}
        self.note("mute the open connections to %d workers" % len(addresses))
        self.cell.faults.mute(lambda link: link[1] in addresses)

    def late_report(self, hold):
        """A worker crashes and its next life is heard first; then a report that was held back arrives."""
        index = self.random.randrange(len(self.cell.workers))
        old = self.cell.workers[index]
        self.worker_at(index)
        time.sleep(hold)
        self.note("late report of worker %s" % old.life)
        old.report()

    def worker(self, _hold):
        self.worker_at(self.random.randrange(len(self.cell.workers)))

    def worker_at(self, index):
        self.lives += 1
        self.note("crash worker %s" % self.cell.workers[index].life)
        self.cell.workers[index] = self.cell.workers[index].crash("i-%08x" % (0x1000 + self.lives))

    def hush(self, hold):
        worker = self.random.choice(self.cell.workers)
        self.note("worker %s leaves orders unanswered for %.2f s" % (worker.life, hold))
        worker.hushed_until = time.monotonic() + hold

    def all(self, hold):
        """Every replica is killed at once and comes back; their disks stay."""
        with self.lock:
            if self.away & set(self.cell.cores):
                return
            self.away |= set(self.cell.cores)
        self.note("kill all replicas")
        for number in self.cell.cores:
            self.cell.kill(number)
        time.sleep(min(hold, 1.0))
        for number in self.cell.cores:
            self.cell.start(number)
        time.sleep(4.0)
        with self.lock:
            self.away -= set(self.cell.cores)


def play(cell, promises, seed, seconds):
    """Trouble for so long, in series that overlap; then all has to be done."""
    borne = (len(cell.cores) - 1) // 2
    trouble = Trouble(cell, seed, borne)
    clients = [Client(n, cell, promises, seed) for n in range(CLIENTS)]
    operator = Operator(cell, promises, seed)
    for thread in clients + [operator]:
        thread.start()
    end = time.monotonic() + seconds
    while time.monotonic() < end and not promises.broken:
        promises.calm_since = float("inf")
        for _ in range(trouble.random.randint(1, 4)):
            trouble.strike()
            time.sleep(trouble.random.uniform(0.0, 1.2))
        time.sleep(trouble.random.uniform(0.5, 3.0))
    for task in trouble.threads:
        task.join(30)
    promises.calm_since = time.monotonic()
    time.sleep(CALM_S)
    for thread in clients + [operator]:
        thread.stopping.set()
        thread.join(20)
    settle(cell, promises, clients)
    promises.check_starts()
    return trouble.log


def settle(cell, promises, clients):
    """Everything that was accepted is done in the end, and the newest configuration is held."""
    open_names = [name for client in clients for name in client.names]
    end = time.monotonic() + FINISH_S
    while open_names and time.monotonic() < end and not promises.broken:
        left = []
        for name in open_names:
            asked_at = time.monotonic()
            status, answer = cell.ask("GET", name)
            state = answer.get("state") if status == 200 else None
            promises.saw_state(name, status, state, asked_at)
            if state not in ("completed", "cancelled"):
                left.append(name)
        open_names = left
        time.sleep(0.2)
    for name in open_names[:5]:
        promises.fail("%s was accepted and is not done: %s" % (name, cell.ask("GET", name)))
    status, held = call(cell.operator_addresses()[0], "GET", "/walkthread/config", timeout=3)
    if status != 200 or held["version"] < promises.versions_acked:
        promises.fail("the configuration at the end is %s, not %d" % (held and held["version"], promises.versions_acked))


def main():
    options = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    options.add_argument("build")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seconds", type=float, default=30)
    options.add_argument("--cores", type=int, default=3)
    options.add_argument("--edges", type=int, default=2)
    options.add_argument("--workers", type=int, default=6)
    options.add_argument("--keep")
    chosen = options.parse_args()
    cell = SoakCell(chosen.build, chosen.cores, chosen.edges, chosen.workers, run_seconds=0.3)
    promises, log = Promises(cell), []
    try:
        wait_for(lambda: cell.configure(), 30)
        wait_for(lambda: cell.ask("GET")[0] == 200, 30)
        log = play(cell, promises, chosen.seed, chosen.seconds)
    except AssertionError as error:
        promises.fail("the cell did not form: %s" % error)
    finally:
        cell.stop()
        if promises.broken and chosen.keep:
            shutil.copytree(cell.folder, chosen.keep, dirs_exist_ok=True, ignore=shutil.ignore_patterns("disk-*"))
            with open(os.path.join(chosen.keep, "faults.txt"), "w") as out:
                out.write("\n".join(log + promises.broken) + "\n")
        shutil.rmtree(cell.folder, ignore_errors=True)
    accepted = sum(1 for name in promises.answers if promises.accepted(name))
    print("seed %d: %d faults, %d of %d submissions accepted, %d starts, %d broken" % (
        chosen.seed, len(log), accepted, len(promises.answers), len(cell.starts), len(promises.broken)))
    for text in promises.broken[:10]:
        print("  " + text)
    return 1 if promises.broken else 0


if __name__ == "__main__":
    platform_cell.random.seed()
    sys.exit(main())
