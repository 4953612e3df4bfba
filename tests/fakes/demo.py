"""The demo: runs jobs and services of both organisations on a small cell, and kills the root leader once meanwhile."""

import statistics
import sys
import time

from cell import Callers, Cell, wait_for

REQUESTS = 200


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))]


def main():
    cell = Cell(sys.argv[1])
    try:
        return run(cell)
    finally:
        cell.remove()


def submit_all(cell):
    size = {"cpu_millicores": 2000, "memory_mib": 4096}
    cell.template("cruzadas", "grid-build", "gang", repeatable=False, run_seconds=2, tasks=4, **size)
    cell.template("cruzadas", "clue-check", "batch", run_seconds=1, tasks=8, **size)
    cell.template("cruzadas", "solve-verify", "service", repeatable=False, tasks=4, **size)
    cell.template("aarhus", "recalculation", "batch", repeatable=False, run_seconds=2, tasks=8, **size)
    cell.template("aarhus", "projection", "batch", run_seconds=1, tasks=8, **size)
    cell.template("aarhus", "balance-lookup", "service", repeatable=True, tasks=4, **size)
    accepted = []
    for who, name, template in (("cruzadas", "solve", "solve-verify"), ("aarhus", "balance", "balance-lookup"),
                                ("cruzadas", "monday-grid", "grid-build"), ("cruzadas", "monday-clues", "clue-check"),
                                ("aarhus", "annual", "recalculation"), ("aarhus", "benefits", "projection")):
        status, _, answer = cell.submit(who, name, template, urgency=2 if who == "cruzadas" else 1)
        assert status == 200, answer
        accepted += [(who, job) for job in answer["jobs"]]
    return accepted


def run(cell):
    cell.wait_ready()
    cell.add_workers(6, rack_size=3)
    wait_for(lambda: len(cell.operate("admin", "GET", "/v1/hosts")[2]) == 12)
    accepted = submit_all(cell)
    wait_for(lambda: cell.call("aarhus", "balance", "warm up")[0] == "completed")
    callers = [Callers(cell, "cruzadas", "solve", REQUESTS, keyed=True, pause=0.02),
               Callers(cell, "aarhus", "balance", REQUESTS, pause=0.02)]
    time.sleep(0.5)
    leader = cell.leader()
    print("Killing node %d, the leader of the root group." % leader.number, flush=True)
    leader.kill()
    time.sleep(1)
    leader.start()
    outcomes = [o for c in callers for o in c.join()]
    ended = lambda: [j for who in ("cruzadas", "aarhus") for j in cell.jobs(who).values()
                     if j["kind"] != "service" and j["outcome"] != "running"]
    wait_for(lambda: len(ended()) == 4, 60)
    return summary(cell, accepted, ended(), outcomes)


def summary(cell, accepted, ended, outcomes):
    nodes = [n for n in cell.nodes if n.is_running]
    placed = sum(h["reserved"]["cpu_millicores"] for h in cell.operate("admin", "GET", "/v1/hosts")[2])
    control_bytes = sum(cell.metric(n, "walkthread_peer_sent_bytes_total") for n in nodes)
    seconds = [o["seconds"] for o in outcomes if o["outcome"] == "completed"]
    starts = {e["run"]: e["at"] for e in cell.records.find("start")}
    codes = cell.stop()
    exchanges = [e["body"] for e in cell.records.find("exchange") if e["body"].startswith("solve ")]
    lost = [j for j in ended if j["outcome"] != "completed"]
    twice = len(exchanges) - len(set(exchanges))
    wrong = [o for o in outcomes if not o["right"]]
    open_ends = [o for o in outcomes if o["outcome"] != "completed"]
    overlaps = cell.records.overlaps() + list(cell.records.started_twice({"monday-grid", "annual"}))
    print("jobs accepted         %d (%d of them services)" % (len(accepted), 2))
    print("jobs completed        %d of 4" % (len(ended) - len(lost)))
    print("task starts           %d, no task twice: %s" % (len(starts), not overlaps))
    print("requests              %d, completed %d, unknown %d" % (len(outcomes), len(seconds), len(open_ends)))
    print("request time          p50 %.1f ms, p99 %.1f ms (with one leader killed)"
          % (1000 * statistics.median(seconds), 1000 * percentile(seconds, 0.99)))
    print("solve run twice       %d" % twice)
    print("wrong answers         %d" % len(wrong))
    print("packing at the end    %.0f%% of the cores of 12 hosts reserved for services" % (100 * placed / (12 * 16000)))
    print("control bytes         %.0f KB sent between the processes" % (control_bytes / 1000))
    print("daemons' exit codes   %s" % codes)
    bad = lost or twice or wrong or overlaps or cell.records.over_size() or any(codes)
    print("FAILED" if bad else "No job was lost, and nothing ran twice.")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
