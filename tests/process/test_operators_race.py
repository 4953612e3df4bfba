"""Concurrent changes with the same expected version, and resends after a lost answer: one change wins, and a resend gets the
first answer."""

import threading

from common import SMALL, expect_accepted, create_templates, uuid7, wait_for, with_cell


def one_of_concurrent_changes_wins(cell):
    create_templates(cell)
    for version in range(20):
        answers = []

        def change(node, tasks):
            answers.append(cell.submit("cruzadas", "raced", "clue-check", expected=version, tasks=tasks,
                                       request_id="race-%d-%d" % (version, tasks), node=node))
        threads = [threading.Thread(target=change, args=(n, i + 1)) for i, n in enumerate(cell.nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [a for a in answers if a[0] == 200]
        lost = [a for a in answers if a[0] == 409]
        assert len(won) == 1 and len(lost) == 2, answers
        assert all(a[1]["X-Walkthread-Version"] == str(version + 1) for a in lost), lost
    # A resend through any process gets the first answer; another command with the same request id is rejected.
    first = expect_accepted(cell.submit("cruzadas", "again", "clue-check", request_id="once"))
    for node in cell.nodes:
        assert expect_accepted(cell.submit("cruzadas", "again", "clue-check", request_id="once", node=node)) == first
    status, _, body = cell.submit("cruzadas", "again", "clue-check", request_id="once", tasks=9)
    assert status == 422 and body["error"]["code"] == 403, body
    jobs = [j for j in cell.jobs("cruzadas").values() if j["configuration"] == "again"]
    assert len(jobs) == 1, jobs


def data_of_another_organisation_is_not_visible(cell):
    create_templates(cell)
    job = expect_accepted(cell.submit("cruzadas", "secret", "clue-check"))["jobs"][0]
    status, _, mine = cell.operate("aarhus", "GET", "/v1/configurations/secret")
    other, _, unknown = cell.operate("aarhus", "GET", "/v1/configurations/never-made")
    assert (status, mine) == (other, unknown) and status == 404
    assert cell.operate("aarhus", "GET", "/v1/jobs/%d/explain" % job) [0] == 404
    assert cell.operate("aarhus", "POST", "/v1/jobs/cancel", {"request_id": "x", "jobs": [job]})[2]["jobs"] == []
    assert "secret" not in str(cell.operate("aarhus", "GET", "/v1/timeline")[2])
    assert cell.operate("cruzadas", "GET", "/v1/hosts")[0] == 401
    # Names are scoped to an organisation.
    cell.template("aarhus", "clue-check", "batch", run_seconds=1, **SMALL)
    assert expect_accepted(cell.submit("aarhus", "secret", "clue-check"))["version"] == 1


def a_gateway_without_replicas_serves_requests(cell):
    """Processes with only the gateway role hold no replica but serve callers, operators and workers."""
    cell.add_workers(2)
    create_templates(cell)
    expect_accepted(cell.submit("aarhus", "balance", "balance-lookup", node=cell.nodes[3]))
    wait_for(lambda: cell.call("aarhus", "balance", "x", node=cell.nodes[3])[0] == "completed")
    expect_accepted(cell.submit("cruzadas", "solve", "solve-verify", node=cell.nodes[3]))
    wait_for(lambda: cell.call("cruzadas", "solve", "x", uuid7(), node=cell.nodes[3])[0] == "completed")
    withdrawn = cell.operate("aarhus", "DELETE", "/v1/configurations/balance?expected_version=1&request_id=w")
    assert withdrawn[0] == 200
    wait_for(lambda: cell.call("aarhus", "balance", "x", node=cell.nodes[3])[1] == 404)


with_cell(one_of_concurrent_changes_wins)
with_cell(data_of_another_organisation_is_not_visible)
with_cell(a_gateway_without_replicas_serves_requests, gateways=1)
