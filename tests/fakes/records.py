"""Event records of the fakes: one line per event, timed by the machine's monotonic clock so that tests can compare them."""

import threading
import time


class Records:
    """An append-only list of events, kept in memory and in a file."""

    def __init__(self, path):
        self._file = open(path, "a", buffering=1)
        self._lock = threading.Lock()
        self.events = []

    def add(self, kind, **fields):
        with self._lock:
            event = {"at": time.monotonic(), "kind": kind, **fields}
            self.events.append(event)
            self._file.write(repr(event) + "\n")

    def find(self, kind, **fields):
        with self._lock:
            return [e for e in self.events if e["kind"] == kind and all(e.get(k) == v for k, v in fields.items())]

    def overlaps(self):
        """Pairs of runs of one task whose time spans overlap. Every start counts, also a second start of the same run. Halls
        that share a service use the same task numbers, so a service's task is identified by its hall as well."""
        with self._lock:
            events = list(self.events)
        by_task, open_spans = {}, {}
        for event in events:
            place = (event.get("host"), event.get("run"))
            if event["kind"] == "start":
                job, task, _ = event["run"].split("/")
                hall = event["hall"] if event["service"] else None
                span = [event["at"], float("inf"), event["run"]]
                by_task.setdefault((job, task, hall), []).append(span)
                open_spans.setdefault(place, []).append(span)
            elif event["kind"] == "end" and place in open_spans:
                for span in open_spans.pop(place):
                    span[1] = event["at"]
        bad = []
        for runs in by_task.values():
            runs.sort()
            bad += [(a[2], b[2]) for a, b in zip(runs, runs[1:]) if b[0] < a[1]]
        return bad

    def started_twice(self, not_repeatable):
        """Tasks of not-repeatable jobs that were started more than once, with their runs."""
        starts = {}
        for event in self.find("start"):
            job, task, _ = event["run"].split("/")
            if event["configuration"] in not_repeatable:
                starts.setdefault((job, task), []).append(event["run"])
        return {task: runs for task, runs in starts.items() if len(runs) > 1}

    def over_size(self):
        """Hosts that were overcommitted at any time."""
        with self._lock:
            events = list(self.events)
        used, sizes, running, bad = {}, {}, {}, set()
        for event in events:
            host = event.get("host")
            if event["kind"] == "worker":
                sizes[host] = event["size"]
            elif event["kind"] == "start":
                running[(host, event["run"])] = event["size"]
                total = used.setdefault(host, [0, 0, 0])
                for i, amount in enumerate(event["size"]):
                    total[i] += amount
                if any(u > s for u, s in zip(total, sizes[host])):
                    bad.add(host)
            elif event["kind"] == "end" and (host, event["run"]) in running:
                for i, amount in enumerate(running.pop((host, event["run"]))):
                    used[host][i] -= amount
        return bad
