"""Fault injection for the soak test, driven by a seed."""

import os
import random
import shutil
import signal
import threading
import time

from platform_cell import Departure, Port, loopback

LOSS_KINDS = ["its process ends", "its machine falls silent", "it said that it leaves"]


class FaultInjector:
    """Injects random faults. At most `max_unavailable` replicas, which the cell tolerates, are unavailable at a time."""

    def __init__(self, cell, seed, max_unavailable):
        self.cell, self.random, self.max_unavailable = cell, random.Random(seed), max_unavailable
        self.unavailable, self.threads, self.log, self.lock = set(), [], [], threading.Lock()
        self.new_ids = 0
        # A separate generator, so that departures do not change other random choices.
        self.departures = random.Random(seed * 17 + 9)

    def record(self, text):
        self.log.append("%.2f %s" % (time.monotonic(), text))

    def choose_process(self):
        """Chooses a process for a fault; no replica if the tolerated number is unavailable already."""
        with self.lock:
            cores = [n for n in self.cell.cores if n not in self.unavailable]
            may = cores if len(self.unavailable & set(self.cell.cores)) < self.max_unavailable else []
            choice = self.random.choice([n for n in may + self.cell.edges if n not in self.unavailable] or [0])
            self.unavailable |= {choice}
        return choice

    def mark_available(self, number, recovery_s):
        time.sleep(recovery_s)  # a replica counts as unavailable until it has caught up
        with self.lock:
            self.unavailable -= {number}

    def inject(self):
        kind = self.random.choice(["kill", "kill", "stop", "pause", "wipe", "torn", "cut", "cut_one_way", "slow", "reset",
                                   "crash_worker", "leave_orders_unanswered", "restart_core", "discard_open",
                                   "discard_open_to_workers", "late_report", "replace_worker"])
        hold = self.random.uniform(0.2, 4.0)
        task = threading.Thread(target=getattr(self, kind), args=(hold,), daemon=True)
        task.start()
        self.threads.append(task)

    def with_process(self, text, hold, act, recovery_s=3.0):
        number = self.choose_process()
        if number == 0:
            return
        self.record("%s %d for %.2f s" % (text, number, hold))
        act(number)
        self.mark_available(number, recovery_s)

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
        self.with_process("wipe the disk of", hold, act, recovery_s=6.0)

    def torn(self, hold):
        """Kills a process during a write that was not durable yet: leaves a torn tail at the end of its newest log."""
        def act(number):
            self.cell.kill(number)
            folder = os.path.join(self.cell.folder, "disk-%d" % number)
            logs = [os.path.join(folder, f) for f in os.listdir(folder) if f.startswith("wal-")] if os.path.isdir(folder) else []
            for path in sorted(logs, key=os.path.getmtime)[-1:]:
                with open(path, "ab") as log:
                    log.write(os.urandom(37))
            time.sleep(hold)
            self.cell.start(number)
        self.with_process("torn write at", hold, act)

    def links_of(self, number, ways):
        me = loopback(number)
        others = [a for a in self.cell.all_addresses() if a != me]
        return [(me, a) for a in others if "out" in ways] + [(a, me) for a in others if "in" in ways]

    def cut(self, hold, ways=("in", "out")):
        def act(number):
            links = self.links_of(number, ways)
            self.cell.faults.set_blocked(links, True)
            time.sleep(hold)
            self.cell.faults.set_blocked(links, False)
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
        self.record("reset links of %d" % number)
        self.cell.faults.reset(self.links_of(number, ("in", "out")))

    def discard_open(self, _hold):
        """Open connections of one process discard all data from now on, which others notice only by timeouts."""
        me = loopback(self.random.choice(self.cell.cores + self.cell.edges))
        self.record("discard all data on the open links of %s" % me)
        self.cell.faults.discard_open(lambda link: me in link)

    def discard_open_to_workers(self, _hold):
        addresses = {w.server.address for w in self.random.sample(self.cell.workers, len(self.cell.workers) // 2)}
        self.record("discard all data on the open connections to %d workers" % len(addresses))
        self.cell.faults.discard_open(lambda link: link[1] in addresses)

    def late_report(self, hold):
        """A worker crashes and its next incarnation reports; then a delayed report of the former incarnation arrives."""
        index = self.random.randrange(len(self.cell.workers))
        old = self.cell.workers[index]
        self.crash_worker_at(index)
        time.sleep(hold)
        self.record("late report of worker %s" % old.worker_id)
        old.report()

    def crash_worker(self, _hold):
        self.crash_worker_at(self.random.randrange(len(self.cell.workers)))

    def crash_worker_at(self, index):
        """A worker crashes and restarts at once, with probability 0.5 under the same id."""
        self.new_ids += 1
        keeps, new_id = self.random.random() < 0.5, "i-%08x" % (0x1000 + self.new_ids)
        with self.cell.workers_lock:
            old = self.cell.workers[index]
            self.record("crash worker %s%s" % (old.worker_id, ", which keeps its id" if keeps else ""))
            self.cell.workers[index] = old.crash(old.worker_id if keeps else new_id)

    def replace_worker(self, hold):
        """A worker is replaced: it announces that it leaves, serves for a while and ends; another one takes its place."""
        return self.replace_worker_at(self.random.randrange(len(self.cell.workers)), hold)

    def replace_worker_at(self, index, hold):
        self.new_ids += 1
        new_id = "i-%08x" % (0x1000 + self.new_ids)
        with self.cell.workers_lock:
            old = self.cell.workers[index]
            self.record("worker %s leaves" % old.worker_id)
            self.cell.leaving_workers.append(old)
            self.cell.workers[index] = old.leave(new_id, hold + 1.0, self.choose_departure())
        return old

    def choose_departure(self):
        if not self.cell.departures:
            return Departure()
        departure = Departure(self.departures.choice([0.0, 0.1, 0.7, 3.0]), self.departures.choice(list(Port)))
        self.record("its runs go on for %.1f s, its port %s" % (departure.runs_on_s, departure.port.name.lower()))
        return departure

    def disrupt_leader(self, hold):
        """Kills, pauses or isolates the current leader."""
        leader = self.cell.leader()
        if leader is None:
            return
        how = self.random.choice(["kill", "pause", "cut"])
        self.record("%s the leader %d for %.2f s" % (how, leader, hold))
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
            self.cell.faults.set_blocked(links, True)
            time.sleep(hold)
            self.cell.faults.set_blocked(links, False)

    def lose_workers(self, hold):
        """Loses workers permanently at about the time at which the leader or the whole core fails."""
        how, count = self.random.choice(LOSS_KINDS), self.random.randint(1, 2)
        first, apart = self.random.random() < 0.5, self.random.uniform(0.0, 0.5)
        core = threading.Thread(target=self.random.choice([self.disrupt_leader, self.disrupt_leader, self.restart_all_replicas]),
                                args=(hold,))
        going = sorted(self.cell.workers, key=lambda w: -len(w.running))[:count]
        if how == "it said that it leaves":
            for worker in going:
                worker.draining = True
                worker.report()
        if not first:
            core.start()
        time.sleep(apart)
        for worker in going:
            self.lose_permanently(worker, how)
        if first:
            core.start()
        core.join()

    def lose_permanently(self, worker, how):
        self.record("worker %s is lost permanently with %d runs: %s" % (worker.worker_id, len(worker.running), how))
        with self.cell.workers_lock:
            self.cell.workers.remove(worker)
            self.cell.leaving_workers.append(worker)
        proxy = self.cell.proxies[worker.server.address]
        if how == "its machine falls silent":
            worker.reports_paused_until = float("inf")
            proxy.simulate_power_loss()
        else:
            worker.shut_down()
            proxy.simulate_process_exit()

    def leave_orders_unanswered(self, hold):
        worker = self.random.choice(self.cell.workers)
        self.record("worker %s does not answer orders for %.2f s" % (worker.worker_id, hold))
        worker.orders_unanswered_until = time.monotonic() + hold

    def restart_core(self, hold):
        """Kills all replicas at once and restarts them with their disks intact."""
        with self.lock:
            if self.unavailable & set(self.cell.cores):
                return
            self.unavailable |= set(self.cell.cores)
        self.restart_all_replicas(min(hold, 1.0))
        time.sleep(4.0)
        with self.lock:
            self.unavailable -= set(self.cell.cores)

    def restart_all_replicas(self, hold):
        self.record("kill all replicas")
        for number in self.cell.cores:
            self.cell.kill(number)
        time.sleep(hold)
        for number in self.cell.cores:
            self.cell.start(number)
