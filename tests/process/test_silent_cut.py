"""A control host is partitioned silently: connections stay open, but no data passes. It stops admitting requests; the others
continue."""

import time

from common import accepted, served_everywhere, templates, uuid7, wait_for, with_cell


def set_cut(cell, node, cut):
    for other in cell.nodes:
        if other is not node:
            other.relays[node.number].cut = cut
            node.relays[other.number].cut = cut


def a_silent_cut_reverts_nothing(cell):
    cell.add_workers(3)
    templates(cell)
    accepted(cell.submit("aarhus", "balance", "balance-lookup", tasks=4))
    served_everywhere(cell, "aarhus", "balance")
    lonely = cell.leader(0)
    rest = [n for n in cell.nodes if n is not lonely]
    set_cut(cell, lonely, True)

    def changed():
        status, _, body = cell.submit("aarhus", "balance", "balance-lookup", expected=1, tasks=6, request_id="change",
                                      node=rest[0])
        return status == 200 and body["version"] == 2
    wait_for(changed, 20)
    # The partitioned node stops admitting within config_staleness_ms and answers not_run with status 503 and a
    # time after which to retry.
    wait_for(lambda: cell.call("aarhus", "balance", "y", node=lonely)[0] == "not_run", 20)
    outcome, status, _ = cell.call("aarhus", "balance", "y", node=lonely)
    assert (outcome, status) == ("not_run", 503)
    wait_for(lambda: not cell.ready(lonely), 20)
    wait_for(lambda: cell.call("aarhus", "balance", "z", node=rest[1])[0] == "completed", 20)
    set_cut(cell, lonely, False)
    cell.wait_ready()
    for node in cell.nodes:
        def newest(at=node):
            _, _, body = cell.operate("aarhus", "GET", "/v1/configurations/balance?local=true", node=at)
            return body["version"] == 2 and body["parameters"]["tasks"] == 6
        wait_for(newest, 20)
    wait_for(lambda: cell.call("aarhus", "balance", "w", node=lonely)[0] == "completed", 20)


with_cell(a_silent_cut_reverts_nothing, with_relays=True)
