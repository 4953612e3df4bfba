"""A process restarts after missing hundreds of configuration changes and catches up; then the whole cell restarts."""

from common import expect_accepted, create_templates, wait_for, with_cell


def a_late_process_catches_up(cell):
    create_templates(cell)
    late = next(n for n in cell.nodes if n is not cell.leader(0))
    late.kill()
    rest = [n for n in cell.nodes if n is not late]
    for i in range(500):
        expect_accepted(cell.submit("aarhus", "changed", "balance-lookup", expected=i, tasks=1 + i % 4, node=rest[i % 2]))
    late.start()

    def caught_up():
        status, _, body = cell.operate("aarhus", "GET", "/v1/configurations/changed?local=true", node=late)
        return status == 200 and body["version"] == 500
    wait_for(caught_up, 30)
    for node in cell.nodes:
        node.kill()
    for node in cell.nodes:
        node.start()
    cell.wait_ready()
    for node in cell.nodes:
        assert cell.operate("aarhus", "GET", "/v1/configurations/changed", node=node)[2]["version"] == 500
    status, headers, _ = cell.submit("aarhus", "changed", "balance-lookup", expected=499)
    assert status == 409 and headers["X-Walkthread-Version"] == "500"


with_cell(a_late_process_catches_up)
