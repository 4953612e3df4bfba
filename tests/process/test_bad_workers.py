"""Workers that fail every task, overuse resources, or stop renewing and return; mass cancellation during starts."""

import time

from common import SMALL, expect_accepted, check_records, wait_for_outcomes, create_templates, wait_for, with_cell


def a_worker_that_fails_everything_is_quarantined(cell):
    cell.add_workers(2, fails=(1,))
    create_templates(cell)
    jobs = []
    for i in range(6):
        jobs += expect_accepted(cell.submit("cruzadas", "check-%d" % i, "clue-check", halls=["santiago-1"], tasks=8))["jobs"]
    assert wait_for_outcomes(cell, "cruzadas", jobs) == ["completed"] * 6
    hosts = {h["host"]: h["state"] for h in cell.operate("admin", "GET", "/v1/hosts")[2]}
    assert hosts[1] == "quarantined" and hosts[2] == "live", hosts
    check_records(cell)


def a_job_that_always_fails_is_held(cell):
    cell.add_workers(5)
    create_templates(cell)
    job = expect_accepted(cell.submit("cruzadas", "always-fails", "clue-check", tasks=1))["jobs"][0]

    def held():
        parts = cell.operate("cruzadas", "GET", "/v1/jobs/%d/explain" % job)[2]
        return isinstance(parts, list) and parts[0]["held"] and "held" in parts[0]["waits_because"]
    wait_for(held)
    assert len(cell.records.find("start")) == 3
    hosts = cell.operate("admin", "GET", "/v1/hosts")[2]
    assert all(h["state"] == "live" for h in hosts), hosts


def tasks_of_a_lost_worker_run_elsewhere_once(cell):
    cell.add_workers(2)
    create_templates(cell)
    again = expect_accepted(cell.submit("cruzadas", "again", "clue-check", run_seconds=3, tasks=8))["jobs"]
    once = expect_accepted(cell.submit("aarhus", "once", "recalculation", run_seconds=3, tasks=16, urgency=1))["jobs"]
    wait_for(lambda: cell.records.find("start", configuration="again") and len(cell.records.find("start")) >= 16)
    victim = next(w for w in cell.workers if any(e["configuration"] == "again" for e in
                                                 cell.records.find("start", host=w.number)))
    victim.frozen.set()  # it stops renewing; when its lease expires, it must stop its runs
    time.sleep(6)
    victim.frozen.clear()
    assert wait_for_outcomes(cell, "cruzadas", again) == ["completed"]
    outcome = wait_for_outcomes(cell, "aarhus", once)[0]
    assert outcome in ("completed", "unknown"), outcome
    check_records(cell, ["once"])


def mass_cancellation_does_not_delay_starts(cell):
    cell.add_workers(2)
    create_templates(cell)
    jobs = []
    for i in range(5):
        jobs += expect_accepted(cell.submit("aarhus", "wave-%d" % i, "recalculation", tasks=1000, run_seconds=600))["jobs"]
    wait_for(lambda: len(cell.records.find("start")) >= 16)
    answer = expect_accepted(cell.operate("aarhus", "POST", "/v1/jobs/cancel", {"request_id": "wave", "jobs": jobs}))
    assert answer["jobs"] == jobs
    began = time.monotonic()
    urgent = expect_accepted(cell.submit("cruzadas", "morning", "clue-check", urgency=3))["jobs"]
    wait_for(lambda: len(cell.records.find("start", configuration="morning")) == 2)
    started = max(e["at"] for e in cell.records.find("start", configuration="morning")) - began
    assert wait_for_outcomes(cell, "cruzadas", urgent) == ["completed"]
    assert wait_for_outcomes(cell, "aarhus", jobs) == ["cancelled"] * 5
    check_records(cell)
    print("5000 tasks cancelled; urgent work started %.2f s after it was submitted" % started)


def overuse_is_throttled(cell):
    cell.add_workers(1)
    create_templates(cell)
    cell.template("aarhus", "hog", "batch", run_seconds=30, **SMALL)
    expect_accepted(cell.submit("aarhus", "hog-1", "hog"))
    wait_for(lambda: any(s["throttled"] for w in cell.workers for s in list(w.runs.values())), 30)


with_cell(a_worker_that_fails_everything_is_quarantined)
with_cell(a_job_that_always_fails_is_held)
with_cell(tasks_of_a_lost_worker_run_elsewhere_once)
with_cell(mass_cancellation_does_not_delay_starts)
with_cell(overuse_is_throttled)
