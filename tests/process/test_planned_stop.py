"""Planned stops interrupt no request: SIGTERM of a daemon under load, and draining a host that runs a service."""

import signal
import threading
import time

from common import (Callers, expect_accepted, check_exchanges, check_records, wait_for_outcomes, wait_until_served, create_templates,
                    wait_for, with_cell)


def sigterm_under_load(cell):
    cell.add_workers(3)
    create_templates(cell)
    expect_accepted(cell.submit("aarhus", "balance", "balance-lookup", tasks=4))
    wait_until_served(cell, "aarhus", "balance")
    victim = cell.leader(0)
    stopping = threading.Event()
    results = []

    def call(number):
        # Behaves like a load balancer: sends no new request once /healthz fails.
        while not stopping.is_set() and healthy(cell, victim):
            results.append(cell.call("aarhus", "balance", "balance slow" if number == 0 else "balance", node=victim))
    threads = [threading.Thread(target=call, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    code = victim.kill(signal.SIGTERM)
    stopping.set()
    for thread in threads:
        thread.join()
    assert code == 0, code
    interrupted = [r for r in results if r[0] != "completed"]
    assert results and not interrupted, interrupted[:5]
    assert cell.leader(0) is not victim
    print("requests %d, interrupted 0" % len(results))


def healthy(cell, node):
    try:
        return cell.http(node.callers["aarhus"], "GET", "/healthz", "")[0] == 200
    except OSError:
        return False


def a_leaving_host_gets_no_new_work(cell):
    cell.add_workers(2)
    create_templates(cell)
    expect_accepted(cell.submit("aarhus", "balance", "balance-lookup", tasks=8))
    job = expect_accepted(cell.submit("aarhus", "annual", "recalculation", run_seconds=6, tasks=4))["jobs"]
    wait_for(lambda: len(cell.records.find("start")) == 12)
    wait_until_served(cell, "aarhus", "balance")
    callers = Callers(cell, "aarhus", "balance", 400, pause=0.02)
    leaving = cell.workers[0]
    began = time.monotonic()
    cell.platform.live.discard(leaving.number)
    cell.platform.leaving.add(leaving.number)
    outcomes = callers.join()
    assert all(o["outcome"] == "completed" for o in outcomes), [o for o in outcomes if o["outcome"] != "completed"]
    late = [e["at"] - began for e in cell.records.find("exchange", host=leaving.number) if e["at"] > began]
    starts = [e["at"] - began for e in cell.records.find("start", host=leaving.number) if e["at"] > began]
    assert max(late + starts, default=0) < 5, (max(late), starts)
    assert leaving.interrupted_requests == 0 and sum(w.interrupted_requests for w in cell.workers) == 0
    assert wait_for_outcomes(cell, "aarhus", job) == ["completed"]
    check_records(cell, ["annual"])
    check_exchanges(cell, [], "none")
    print("last new request %.1f s after leaving, none interrupted" % max(late, default=0))


with_cell(sigterm_under_load)
with_cell(a_leaving_host_gets_no_new_work)
