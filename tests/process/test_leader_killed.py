"""Leaders and followers are killed with SIGKILL under load: no work is lost and nothing runs twice."""

import time

from common import Callers, expect_accepted, check_exchanges, check_outcomes, check_records, create_templates, wait_for, with_cell


def leaders_and_followers_are_killed(cell):
    cell.add_workers(4)
    create_templates(cell)
    expect_accepted(cell.submit("cruzadas", "solve", "solve-verify", tasks=4))
    wait_for(lambda: cell.call("cruzadas", "solve", "warm up", "01931b60-0000-7000-8000-000000000000")[1] != 0)
    callers = Callers(cell, "cruzadas", "solve", 150, keyed=True, pause=0.05)
    jobs = []
    for round_number in range(4):
        for template in ("clue-check", "grid-build"):
            name = "%s-%d" % (template, round_number)
            jobs += expect_accepted(cell.submit("cruzadas", name, template))["jobs"]
        victim = cell.leader(round_number % 3) or cell.nodes[round_number % 3]
        victim.kill()
        time.sleep(0.3)
        victim.start()
        cell.wait_ready()
    outcomes = callers.join()
    check_outcomes(cell, "cruzadas", jobs)
    check_records(cell, [n for n in ("grid-build-%d" % i for i in range(4))])
    check_exchanges(cell, outcomes, "solve")
    answered = sum(o["outcome"] == "completed" for o in outcomes)
    print("kills 4, jobs %d, requests %d, completed %d" % (len(jobs), len(outcomes), answered))


with_cell(leaders_and_followers_are_killed)
