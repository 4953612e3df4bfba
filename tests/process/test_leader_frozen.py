"""A leader is frozen until all leases have expired, then resumed: it makes no stale decision, and no task runs in two places."""

import time

from common import (Callers, expect_accepted, check_exchanges, check_records, wait_for_outcomes, create_templates, wait_for,
                    with_cell)


def a_frozen_leader_makes_no_stale_decision(cell):
    cell.add_workers(3)
    create_templates(cell)
    expect_accepted(cell.submit("cruzadas", "solve", "solve-verify", tasks=3))
    wait_for(lambda: cell.call("cruzadas", "solve", "warm up", "01931b60-0000-7000-8000-000000000000")[1] != 0)
    callers = Callers(cell, "cruzadas", "solve", 80, keyed=True, pause=0.1)
    jobs = []
    for round_number in range(2):
        jobs += expect_accepted(cell.submit("aarhus", "long-%d" % round_number, "recalculation", run_seconds=3))["jobs"]
        victim = wait_for(lambda: cell.leader(1 + round_number))
        victim.freeze()
        time.sleep(5)
        victim.resume()
        jobs += expect_accepted(cell.submit("aarhus", "after-%d" % round_number, "recalculation"))["jobs"]
        cell.wait_ready()
    outcomes = callers.join()
    assert set(wait_for_outcomes(cell, "aarhus", jobs)) == {"completed"}, cell.jobs("aarhus")
    check_records(cell, ["long-0", "long-1", "after-0", "after-1"])
    check_exchanges(cell, outcomes, "solve")
    print("freezes 2 of 5 s, lease 3 s, jobs %d, requests %d" % (len(jobs), len(outcomes)))


with_cell(a_frozen_leader_makes_no_stale_decision)
