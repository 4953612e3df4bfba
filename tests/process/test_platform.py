"""End-to-end test on a fake of the users' platform: submissions of each kind, a killed leader, a lost disk, a planned stop,
and invalid input."""

import os
import shutil
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import HOST, PREFIX, PlatformCell, call, loopback, wait_for  # noqa: E402

SMALL = {"cpu": 1000, "mem-mb": 100, "estimate-ms": 300}
KINDS = [[dict(SMALL, count=2)],
         [dict(SMALL, count=3), dict(SMALL, count=2, **{"after-rev": [0]})],
         [dict(SMALL, count=4, cpu=4500, gang=True)],
         [dict(SMALL, count=5, checkpointing=True, **{"anti-affinity": 2})]]


def submission(number):
    return "%016x" % (0xABC0000000000000 + number)


def bad_input(cell):
    edge = "%s:%d" % (loopback(cell.edges[0]), cell.front)
    headers = {"Host": HOST}
    assert call(edge, "POST", PREFIX + submission(900), {"steps": []}, headers)[0] == 400
    assert call(edge, "POST", PREFIX + submission(901), {"steps": [{"count": 1, "after-rev": [0]}]}, headers)[0] == 400
    assert call(edge, "POST", PREFIX + "no-id", {"steps": [{"count": 1}]}, headers)[0] == 400
    assert call(edge, "POST", "/nowhere/" + submission(902), {"steps": [{"count": 1}]}, headers)[0] == 404
    assert call(edge, "POST", PREFIX + submission(903), {"spec": "x" * 2_000_000, "steps": []}, headers)[0] in (413, None)
    assert cell.ask("GET", submission(900))[0] == 410
    status, _ = call(cell.operator_addresses()[0], "PUT", "/walkthread/config", {"version": 99, "routes": [{}], "services": []})
    assert status == 400, status


def evacuations(cell):
    """Evacuating a zone and taking it back: repeated, of an unknown zone, of the only zone; the call of another method."""
    operator = cell.operator_addresses()[0]
    path = "/walkthread/evacuations/"
    assert call(operator, "POST", path + "nowhere")[0] == 404
    status, error = call(operator, "POST", path + "a")
    assert (status, error["error"]["code"]) == (409, 431), (status, error)  # the fake has one zone
    assert [call(operator, "DELETE", path + "a")[0] for _ in range(2)] == [200, 200]
    assert call(operator, "PUT", path + "a")[0] == 405
    assert call(operator, "GET", "/walkthread/evacuations") == (200, {"evacuations": {}})


def prefix_without_slash(cell):
    """Guards against a queue that is acknowledged and refuses all its submissions, as its path prefix does not end with a slash."""
    assert cell.configure(version=2, prefix="/plain")
    edge = "%s:%d" % (loopback(cell.edges[0]), cell.front)
    headers, body = {"Host": HOST}, {"steps": [dict(SMALL, count=1)]}
    wait_for(lambda: call(edge, "POST", "/plain" + submission(60), body, headers)[0] == 200, 20)
    wait_for(lambda: call(edge, "GET", "/plain" + submission(60), None, headers)[1] == {"state": "completed"}, 30)
    assert call(edge, "POST", "/plain/" + submission(61), body, headers)[0] == 404
    assert call(edge, "DELETE", "/plain" + submission(62), None, headers)[0] == 410


def run(cell):
    wait_for(lambda: cell.configure(), 30)
    wait_for(lambda: cell.ask("GET")[0] == 200, 30)
    ids = [submission(n) for n in range(24)]
    for n, name in enumerate(ids):
        cell.submit(name, KINDS[n % len(KINDS)])
        if n == 8:
            leader = wait_for(cell.leader, 20)
            cell.kill(leader)
        if n == 16:
            cell.start(leader)
    for name in ids:
        wait_for(lambda name=name: cell.state(name) == "completed", 60)
    assert not cell.overlaps(), cell.overlaps()
    tasks = {s[0] for s in cell.starts}
    expected = sum(step["count"] for n in range(24) for step in KINDS[n % len(KINDS)])
    assert len(tasks) == expected, (len(tasks), expected)
    bad_input(cell)
    evacuations(cell)

    # Planned stop of the leader: another process becomes leader, and accepted work is kept.
    leader = wait_for(cell.leader, 30)
    assert cell.kill(leader, signal.SIGTERM) == 0
    wait_for(lambda: cell.leader() not in (None, leader), 20)
    assert cell.state(ids[0]) == "completed"

    # Its disk is lost: it rejoins as a new member; after that another process may fail.
    shutil.rmtree(os.path.join(cell.folder, "disk-%d" % leader))
    cell.start(leader)
    replaced = ("walkthread_votes 1\n", "walkthread_voters 3\n", "walkthread_learners 0\n")
    wait_for(lambda: all(metric in cell.metrics(leader) for metric in replaced), 30)
    other = next(n for n in cell.cores if n != leader)
    cell.kill(other)
    cell.submit(submission(50), KINDS[0])
    wait_for(lambda: cell.state(submission(50)) == "completed", 60)
    assert cell.state(ids[1]) == "completed"
    prefix_without_slash(cell)
    assert not cell.overlaps(), cell.overlaps()


def main():
    cell = PlatformCell(sys.argv[1])
    failed = True
    try:
        run(cell)
        failed = False
    finally:
        cell.stop()
        if failed:
            for number, path in cell.logs.items():
                with open(path) as log:
                    print("-- process %d\n%s" % (number, log.read()[-3000:]))
        shutil.rmtree(cell.folder, ignore_errors=True)
    print("test_platform passed.")


if __name__ == "__main__":
    main()
