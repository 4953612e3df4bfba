"""Invalid input: each gets an error with a stable code, loses no data, and reveals nothing of the other organisation."""

import json
import os
import socket
import struct
import subprocess
import sys
import time

from common import SMALL, TOKENS, expect_accepted, wait_until_served, create_templates, uuid7, wait_for, with_cell


def raw(port, data, wait=1.0):
    """Sends bytes and returns what arrives until the peer closes the connection or `wait` seconds pass without data."""
    with socket.create_connection(("127.0.0.1", port), timeout=wait) as s:
        s.sendall(data)
        got = b""
        try:
            while True:
                part = s.recv(65536)
                if not part:
                    break
                got += part
        except (socket.timeout, ConnectionResetError):
            pass
        return got


def code_of(answer):
    return answer[0], answer[2]["error"]["code"]


def operator_errors_are_reported(cell):
    create_templates(cell)
    put = lambda body, who="cruzadas": cell.operate(who, "PUT", "/v1/configurations/c", body)
    assert code_of(put("{no json")) == (400, 804)
    assert code_of(put([1, 2])) == (400, 804)
    good = {"request_id": "a", "template": "clue-check"}
    assert code_of(put({**good, "colour": 1})) == (400, 804)
    assert code_of(put({**good, "parameters": {"tasks": -1}})) == (400, 804)
    assert code_of(put({**good, "parameters": {"tasks": 1e30}})) == (400, 804)
    assert code_of(put({**good, "parameters": {"tasks": "many"}})) == (400, 804)
    assert code_of(put({**good, "parameters": {"halls": ["nowhere"]}})) == (400, 804)
    assert code_of(put({**good, "template": "unheard-of"})) == (404, 402)
    assert code_of(put({**good, "team": "unheard-of", "request_id": "b"})) == (404, 402)
    assert code_of(put({**good, "parameters": {"tasks": 5000}, "request_id": "c"})) == (422, 404)
    assert code_of(put({**good, "expected_version": 7, "request_id": "d"})) == (409, 401)
    assert code_of(put("x" * (2 << 20))) == (413, 807)
    status, _, text = cell.http(cell.nodes[0].operators, "GET", "/v1/jobs", "wrong")
    assert status == 401 and json.loads(text)["error"]["code"] == 805
    assert cell.http(cell.nodes[0].operators, "GET", "/v1/nothing", TOKENS["cruzadas"])[0] == 404
    assert expect_accepted(put({**good, "request_id": "e"}))["version"] == 1


def a_job_too_large_for_every_host_is_rejected(cell):
    cell.add_workers(2)
    create_templates(cell)
    wait_for(lambda: len(cell.operate("admin", "GET", "/v1/hosts")[2]) == 4)

    def refused():
        answer = cell.submit("cruzadas", "giant", "clue-check", cpu_millicores=17000)
        return answer[0] == 422 and code_of(answer) == (422, 405)
    wait_for(refused)


def caller_errors_are_reported(cell):
    cell.add_workers(2)
    create_templates(cell)
    expect_accepted(cell.submit("cruzadas", "solve", "solve-verify"))
    wait_until_served(cell, "cruzadas", "solve", keyed=True)

    def code(*arguments):
        _, status, text = cell.call(*arguments)
        return status, json.loads(text)["error"]["code"]
    assert code("cruzadas", "solve", "x") == (400, 809)
    assert code("cruzadas", "solve", "x", "not-a-uuid") == (400, 809)
    assert code("cruzadas", "solve", "x", uuid7(time.time() - 86400)) == (422, 408)
    assert code("cruzadas", "solve", "x", uuid7(time.time() + 86400)) == (422, 409)
    assert code("cruzadas", "other", "x", uuid7()) == (404, 806)
    assert code("aarhus", "solve", "x", uuid7()) == (404, 806)
    # The other organisation's listener rejects this organisation's token.
    node = cell.nodes[0]
    status, _, _ = cell.http(node.callers["aarhus"], "POST", "/v1/services/solve/requests", TOKENS["cruzadas-caller"], "x")
    assert status == 401
    # A client that sends slowly is disconnected by the read timeout and does not block other requests.
    with socket.create_connection(("127.0.0.1", node.callers["cruzadas"])) as slow:
        slow.sendall(b"POST /v1/services/solve/requests HTTP/1.1\r\nContent-Le")
        assert cell.call("cruzadas", "solve", "y", uuid7(), node=node)[0] == "completed"


def invalid_frames_close_only_their_connection(cell):
    node = cell.nodes[0]
    frame = lambda body, version=1: struct.pack(">IB", len(body), version) + body
    for data in (b"\xff\xff\xff\xff\x01", frame(b"x", 9), frame(b"\xc1"), frame(b"\x92\x00\xa1x"), os.urandom(200)):
        assert raw(node.peer, data, 2) == b""
    expect_accepted(cell.operate("cruzadas", "PUT", "/v1/teams/t", {"request_id": "t"}, node=node))
    assert cell.ready(node)


def worker_errors_are_reported(cell):
    node = cell.nodes[0]
    def renew(body, token=TOKENS["worker"], hall="santiago-1"):
        status, _, text = cell.http(node.workers, "POST", "/v1/halls/%s/renew" % hall, token, body)
        return status, json.loads(text).get("error", {}).get("code")
    assert renew({"worker": 1}, token="wrong") == (401, 805)
    assert renew({"worker": 1}, hall="nowhere") == (400, 804)
    assert renew("{") == (400, 804)
    assert renew({"worker": 0}) == (400, 804)
    assert renew({"worker": 1, "epoch": 1, "runs": [{"run": "1/2", "state": "started"}]}) == (400, 804)
    assert renew({"worker": 1, "epoch": 0, "begun": ["1/2"]}) == (400, 804)
    assert renew({"worker": 1, "epoch": 0, "begun": "1/0/1"}) == (400, 804)
    status, _, text = cell.http(node.workers, "POST", "/v1/halls/santiago-1/renew", TOKENS["worker"],
                                {"worker": 77, "epoch": 5})
    assert status == 200 and json.loads(text)["register"] is True


def all_settings_errors_are_reported(cell):
    path = os.path.join(cell.folder, "bad.toml")
    with open(path, "w") as f:
        f.write('[node]\nid = 0\nroles = ["king"]\n[timing]\nfeed_ms = "fast"\n')
    done = subprocess.run([cell.daemon, "--settings", path, "--check-settings"], capture_output=True, text=True)
    assert done.returncode == 2
    for part in ("node.id is 0", "node.hall is missing", "node.roles is 'king'", "timing.feed_ms", "cell.secret is missing"):
        assert part in done.stderr, (part, done.stderr)
    good = subprocess.run([cell.daemon, "--settings", cell.nodes[0].settings, "--check-settings"])
    assert good.returncode == 0


def command_line_exit_codes_show_the_result(cell):
    create_templates(cell)
    def ctl(*words, token="cruzadas", address=None, text=""):
        command = [cell.ctl_path, "--address", address or "127.0.0.1:%d" % cell.nodes[0].operators, *words]
        return subprocess.run(command, input=text, capture_output=True, text=True,
                              env={**os.environ, "WALKTHREAD_TOKEN": TOKENS[token]})
    assert ctl("template", "list").returncode == 0
    body = json.dumps({"template": "clue-check"})
    assert ctl("config", "submit", "n", "-", text=body).returncode == 0
    refused = ctl("config", "submit", "n", "-", text=body)
    assert refused.returncode == 2 and "Error 401" in refused.stderr
    assert ctl("nonsense").returncode == 1
    assert ctl("template", "list", address="127.0.0.1:1").returncode == 3
    listed = json.loads(ctl("--output", "json", "config", "list").stdout)
    assert [c["name"] for c in listed] == ["n"]
    assert "configuration_accepted" in ctl("timeline").stdout
    assert ctl("groups", token="admin").returncode == 0


for test in (operator_errors_are_reported, a_job_too_large_for_every_host_is_rejected, caller_errors_are_reported,
             invalid_frames_close_only_their_connection, worker_errors_are_reported, all_settings_errors_are_reported,
             command_line_exit_codes_show_the_result):
    with_cell(test)
