"""A control host is partitioned silently: connections stay open, but no data passes. It stops admitting requests; the others
continue."""

import time

from common import expect_accepted, wait_until_served, create_templates, uuid7, wait_for, with_cell


def set_partitioned(cell, node, partitioned):
    for other in cell.nodes:
        if other is not node:
            other.relays[node.number].blocked = partitioned
            node.relays[other.number].blocked = partitioned


def a_silent_partition_reverts_no_change(cell):
    cell.add_workers(3)
    create_templates(cell)
    expect_accepted(cell.submit("aarhus", "balance", "balance-lookup", tasks=4))
    wait_until_served(cell, "aarhus", "balance")
    isolated = cell.leader(0)
    rest = [n for n in cell.nodes if n is not isolated]
    set_partitioned(cell, isolated, True)

    def changed():
        status, _, body = cell.submit("aarhus", "balance", "balance-lookup", expected=1, tasks=6, request_id="change",
                                      node=rest[0])
        return status == 200 and body["version"] == 2
    wait_for(changed, 20)
    # The partitioned node stops admitting within config_staleness_ms and answers not_run with status 503 and a
    # time after which to retry.
    wait_for(lambda: cell.call("aarhus", "balance", "y", node=isolated)[0] == "not_run", 20)
    outcome, status, _ = cell.call("aarhus", "balance", "y", node=isolated)
    assert (outcome, status) == ("not_run", 503)
    wait_for(lambda: not cell.ready(isolated), 20)
    wait_for(lambda: cell.call("aarhus", "balance", "z", node=rest[1])[0] == "completed", 20)
    set_partitioned(cell, isolated, False)
    cell.wait_ready()
    for node in cell.nodes:
        def newest(at=node):
            _, _, body = cell.operate("aarhus", "GET", "/v1/configurations/balance?local=true", node=at)
            return body["version"] == 2 and body["parameters"]["tasks"] == 6
        wait_for(newest, 20)
    wait_for(lambda: cell.call("aarhus", "balance", "w", node=isolated)[0] == "completed", 20)


with_cell(a_silent_partition_reverts_no_change, with_relays=True)
