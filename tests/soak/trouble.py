"""Fault injection for the soak test, driven by a seed."""

import os
import random
import shutil
import signal
import threading
import time

from platform_cell import loopback

WAYS_TO_GO = ["its process ends", "its machine falls silent", "it said that it leaves"]


class Trouble:
    """Injects random faults. At most `borne` replicas, which the cell tolerates, are unavailable at a time."""

    def __init__(self, cell, seed, borne):
        self.cell, self.random, self.borne = cell, random.Random(seed), borne
        self.away, self.threads, self.log, self.lock = set(), [], [], threading.Lock()
        self.lives = 0

    def note(self, text):
        self.log.append("%.2f %s" % (time.monotonic(), text))

    def pick(self):
        """Chooses a process for a fault; no replica if the tolerated number is unavailable already."""
        with self.lock:
            cores = [n for n in self.cell.cores if n not in self.away]
            may = cores if len(self.away & set(self.cell.cores)) < self.borne else []
            choice = self.random.choice([n for n in may + self.cell.edges if n not in self.away] or [0])
            self.away |= {choice}
        return choice

    def back(self, number, settle):
        time.sleep(settle)  # a replica counts as unavailable until it has caught up
        with self.lock:
            self.away -= {number}

    def strike(self):
        kind = self.random.choice(["kill", "kill", "stop", "pause", "wipe", "torn", "cut", "cut_one_way", "slow", "reset",
                                   "worker", "hush", "all", "mute", "mute_workers", "late_report", "release"])
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
        """Kills a process during a write that was not durable yet: leaves a torn tail at the end of its newest log."""
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
        """Open connections of one process discard all data from now on, which others notice only by timeouts."""
        me = loopback(self.random.choice(self.cell.cores + self.cell.edges))
        self.note("mute the open links of %s" % me)
        self.cell.faults.mute(lambda link: me in link)

    def mute_workers(self, _hold):
        addresses = {w.server.address for w in self.random.sample(self.cell.workers, len(self.cell.workers) // 2)}
        self.note("mute the open connections to %d workers" % len(addresses))
        self.cell.faults.mute(lambda link: link[1] in addresses)

    def late_report(self, hold):
        """A worker crashes and its next incarnation reports; then a delayed report of the former incarnation arrives."""
        index = self.random.randrange(len(self.cell.workers))
        old = self.cell.workers[index]
        self.worker_at(index)
        time.sleep(hold)
        self.note("late report of worker %s" % old.life)
        old.report()

    def worker(self, _hold):
        self.worker_at(self.random.randrange(len(self.cell.workers)))

    def worker_at(self, index):
        """A worker crashes and restarts at once, with probability 0.5 under the same id."""
        self.lives += 1
        old = self.cell.workers[index]
        keeps = self.random.random() < 0.5
        self.note("crash worker %s%s" % (old.life, ", which keeps its id" if keeps else ""))
        self.cell.workers[index] = old.crash(old.life if keeps else "i-%08x" % (0x1000 + self.lives))

    def release(self, hold):
        """A worker is replaced: it announces that it leaves, serves for a while and ends; another one takes its place."""
        return self.release_at(self.random.randrange(len(self.cell.workers)), hold)

    def release_at(self, index, hold):
        self.lives += 1
        old = self.cell.workers[index]
        self.note("worker %s leaves" % old.life)
        self.cell.leavers.append(old)
        self.cell.workers[index] = old.leave("i-%08x" % (0x1000 + self.lives), hold + 1.0)
        return old

    def strike_leader(self, hold):
        """Kills, pauses or isolates the current leader."""
        leader = self.cell.leader()
        if leader is None:
            return
        how = self.random.choice(["kill", "pause", "cut"])
        self.note("%s the leader %d for %.2f s" % (how, leader, hold))
        links = self.links_of(leader, ("in", "out"))
        if how == "kill":
            self.cell.kill(leader)
            time.sleep(hold)
            self.cell.start(leader)
        elif how == "pause":
            self.cell.processes[leader].send_signal(signal.SIGSTOP)
            time.sleep(hold)
            self.cell.processes[leader].send_signal(signal.SIGCONT)
        else:
            self.cell.faults.set_silent(links, True)
            time.sleep(hold)
            self.cell.faults.set_silent(links, False)

    def lose_workers(self, hold):
        """Loses workers permanently at about the time at which the leader or the whole core fails."""
        how, count = self.random.choice(WAYS_TO_GO), self.random.randint(1, 2)
        first, apart = self.random.random() < 0.5, self.random.uniform(0.0, 0.5)
        core = threading.Thread(target=self.random.choice([self.strike_leader, self.strike_leader, self.all_down]), args=(hold,))
        going = sorted(self.cell.workers, key=lambda w: -len(w.running))[:count]
        if how == "it said that it leaves":
            for worker in going:
                worker.draining = True
                worker.report()
        if not first:
            core.start()
        time.sleep(apart)
        for worker in going:
            self.go_for_good(worker, how)
        if first:
            core.start()
        core.join()

    def go_for_good(self, worker, how):
        self.note("worker %s is lost permanently with %d runs: %s" % (worker.life, len(worker.running), how))
        self.cell.workers.remove(worker)
        self.cell.leavers.append(worker)
        proxy = self.cell.proxies[worker.server.address]
        if how == "its machine falls silent":
            worker.quiet_until = float("inf")
            proxy.fall_silent()
        else:
            worker.go_down()
            proxy.refuse()

    def hush(self, hold):
        worker = self.random.choice(self.cell.workers)
        self.note("worker %s does not answer orders for %.2f s" % (worker.life, hold))
        worker.hushed_until = time.monotonic() + hold

    def all(self, hold):
        """Kills all replicas at once and restarts them with their disks intact."""
        with self.lock:
            if self.away & set(self.cell.cores):
                return
            self.away |= set(self.cell.cores)
        self.all_down(min(hold, 1.0))
        time.sleep(4.0)
        with self.lock:
            self.away -= set(self.cell.cores)

    def all_down(self, hold):
        self.note("kill all replicas")
        for number in self.cell.cores:
            self.cell.kill(number)
        time.sleep(hold)
        for number in self.cell.cores:
            self.cell.start(number)
