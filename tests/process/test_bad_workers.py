"""Workers that fail every task, overuse resources, or stop renewing and return; mass cancellation during starts."""

import time

from common import SMALL, accepted, check_records, ended, templates, wait_for, with_cell


def a_worker_that_fails_everything_is_quarantined(cell):
    cell.add_workers(2, fails=(1,))
    templates(cell)
    jobs = []
    for i in range(6):
        jobs += accepted(cell.submit("cruzadas", "check-%d" % i, "clue-check", halls=["santiago-1"], tasks=8))["jobs"]
    assert ended(cell, "cruzadas", jobs) == ["completed"] * 6
    hosts = {h["host"]: h["state"] for h in cell.operate("admin", "GET", "/v1/hosts")[2]}
    assert hosts[1] == "quarantined" and hosts[2] == "live", hosts
    check_records(cell)


def a_job_that_always_fails_is_held(cell):
    cell.add_workers(5)
    templates(cell)
    job = accepted(cell.submit("cruzadas", "always-fails", "clue-check", tasks=1))["jobs"][0]

    def held():
        parts = cell.operate("cruzadas", "GET", "/v1/jobs/%d/explain" % job)[2]
        return isinstance(parts, list) and parts[0]["held"] and "held" in parts[0]["waits_because"]
    wait_for(held)
    assert len(cell.records.find("start")) == 3
    hosts = cell.operate("admin", "GET", "/v1/hosts")[2]
    assert all(h["state"] == "live" for h in hosts), hosts


def lost_workers_tasks_run_elsewhere_once(cell):
    cell.add_workers(2)
    templates(cell)
    again = accepted(cell.submit("cruzadas", "again", "clue-check", run_seconds=3, tasks=8))["jobs"]
    once = accepted(cell.submit("aarhus", "once", "recalculation", run_seconds=3, tasks=16, urgency=1))["jobs"]
    wait_for(lambda: cell.records.find("start", configuration="again") and len(cell.records.find("start")) >= 16)
    victim = next(w for w in cell.workers if any(e["configuration"] == "again" for e in
                                                 cell.records.find("start", host=w.number)))
    victim.frozen.set()  # it stops renewing; when its lease expires, it must stop its runs
    time.sleep(6)
    victim.frozen.clear()
    assert ended(cell, "cruzadas", again) == ["completed"]
    outcome = ended(cell, "aarhus", once)[0]
    assert outcome in ("completed", "unknown"), outcome
    check_records(cell, ["once"])


def a_wave_of_cancellations_delays_no_start(cell):
    cell.add_workers(2)
    templates(cell)
    jobs = []
    for i in range(5):
        jobs += accepted(cell.submit("aarhus", "wave-%d" % i, "recalculation", tasks=1000, run_seconds=600))["jobs"]
    wait_for(lambda: len(cell.records.find("start")) >= 16)
    answer = accepted(cell.operate("aarhus", "POST", "/v1/jobs/cancel", {"request_id": "wave", "jobs": jobs}))
    assert answer["jobs"] == jobs
    began = time.monotonic()
    urgent = accepted(cell.submit("cruzadas", "morning", "clue-check", urgency=3))["jobs"]
    wait_for(lambda: len(cell.records.find("start", configuration="morning")) == 2)
    started = max(e["at"] for e in cell.records.find("start", configuration="morning")) - began
    assert ended(cell, "cruzadas", urgent) == ["completed"]
    assert ended(cell, "aarhus", jobs) == ["cancelled"] * 5
    check_records(cell)
    print("5000 tasks cancelled; urgent work started %.2f s after it was submitted" % started)


def overuse_is_throttled(cell):
    cell.add_workers(1)
    templates(cell)
    cell.template("aarhus", "hog", "batch", run_seconds=30, **SMALL)
    accepted(cell.submit("aarhus", "hog-1", "hog"))
    wait_for(lambda: any(s["throttled"] for w in cell.workers for s in list(w.runs.values())), 30)


with_cell(a_worker_that_fails_everything_is_quarantined)
with_cell(a_job_that_always_fails_is_held)
with_cell(lost_workers_tasks_run_elsewhere_once)
with_cell(a_wave_of_cancellations_delays_no_start)
with_cell(overuse_is_throttled)
