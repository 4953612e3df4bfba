"""A node loses its data folder and rejoins as a new member; right after the repair, a second node loses its data folder."""

import shutil

from common import expect_accepted, check_records, wait_for_outcomes, create_templates, wait_for, with_cell


def lose_and_replace(cell, node):
    node.kill()
    shutil.rmtree(node.data)
    node.start()
    wait_for(lambda: cell.operate("admin", "POST", "/v1/members/%d/replace" % node.number,
                                  node=next(n for n in cell.nodes if n is not node))[0] == 200, 30)

    def replaced():
        groups = cell.operate("admin", "GET", "/v1/groups")[2]
        leads = [g for g in groups if g["role"] == "leader"]
        mine = [v for g in leads for v in g["voters"] if v["node"] == node.number]
        return (len(leads) == 3 and len(mine) == 3 and all(v["incarnation"] != "1" for v in mine) and
                all(len(g["voters"]) == 3 and not g["learners"] for g in leads))
    wait_for(replaced, 60)


def two_disks_are_lost_in_turn(cell):
    cell.add_workers(3)
    create_templates(cell)
    for i in range(500):
        expect_accepted(cell.submit("cruzadas", "changed", "clue-check", expected=i, tasks=1 + i % 3))
    job = expect_accepted(cell.submit("aarhus", "annual", "recalculation"))["jobs"]
    lose_and_replace(cell, cell.nodes[0])
    lose_and_replace(cell, cell.nodes[1])
    assert wait_for_outcomes(cell, "aarhus", job) == ["completed"]
    for node in cell.nodes:
        body = wait_for(lambda: cell.operate("cruzadas", "GET", "/v1/configurations/changed?local=true", node=node)[2])
        assert body["version"] == 500, body
    # The third node may fail too: the two repaired ones are a quorum.
    cell.nodes[2].kill()
    expect_accepted(cell.submit("cruzadas", "changed", "clue-check", expected=500))
    check_records(cell, ["annual"])
    print("configuration changes 501, disks lost 2, reverted 0")


with_cell(two_disks_are_lost_in_turn)
