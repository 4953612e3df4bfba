"""Clients that send without end, hold what they began or do not read: no process ends, memory and descriptors stay within the
process's limits, and an ordinary request is answered afterwards.

Guards against requests that end a process for lack of memory: neither the read buffer of a connection nor all connections
together had a bound that follows from the memory of the process.
"""

import json
import os
import shutil
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from platform_cell import HOST, PREFIX, PlatformCell, call, loopback, wait_for  # noqa: E402

CROWD = 96  # connections
MEMORY_MB = {"edge": 48, "core": 64}
RESERVED_FDS = 200  # of max-fds, by the platform
FDS = 520  # enough for the crowd
FEW_FDS = 112  # the least that a process at the edge accepts; its share for callers is smaller than the crowd
SEND_BYTES = 4 << 20  # of an endless request, per connection
IDLE_S = 4.0  # a socket operation without progress for this long ends a connection
BLOCK = 64 << 10
ANNOUNCED, SENT = 1_040_000, 990_000  # of an unfinished body; below the limit of 1 MiB
SUBMISSION_BYTES = 250_000  # below the operator's usual limit of 256 KiB for a body
HEAD_BYTES = 15_000  # below the limit of 16 KiB
SUBMISSIONS = 5  # of a client
BARRIER_S = 2.0
REQUESTS = 400  # pipelined on one connection
ACCEPTED = "ace0000000000000"  # submitted before the crowd
WAITING = {"cpu": 1000, "mem-mb": 100, "requirements": "nowhere", "count": 1}  # no worker has this label

all_nearly_sent = threading.Barrier(CROWD)


def submission(number):
    return "%016x" % (0x5EED000000000000 + number)


def head(number, *fields, method="POST"):
    return "\r\n".join(["%s %s%s HTTP/1.1" % (method, PREFIX, submission(number)), "Host: " + HOST, *fields, "", ""]).encode()


def send_endless(connection, start, part):
    """Sends `start`, then `part` again and again, up to SEND_BYTES."""
    connection.sendall(start)
    block = part * (BLOCK // len(part))
    for _ in range(SEND_BYTES // len(block)):
        connection.sendall(block)


def read_to_end(connection):
    while connection.recv(BLOCK):
        pass


def send_trailers(connection, number):
    send_endless(connection, head(number, "Transfer-Encoding: chunked") + b"2\r\n{}\r\n0\r\n", b"X-Field: " + b"v" * 500 + b"\r\n")


def send_chunk_extension(connection, number):
    send_endless(connection, head(number, "Transfer-Encoding: chunked") + b"2", b";name=value")


def send_one_byte_chunks(connection, number):
    send_endless(connection, head(number, "Transfer-Encoding: chunked"), b"1\r\n \r\n")


def send_head(connection, number):
    field = b"X-Field: " + b"v" * 500 + b"\r\n"
    connection.sendall(head(number)[:-2] + field * (HEAD_BYTES // len(field)))
    time.sleep(1.0)
    send_endless(connection, b"", field)


def send_unfinished_body(connection, number):
    connection.sendall(head(number, "Content-Length: %d" % ANNOUNCED) + b" " * SENT)
    read_to_end(connection)


def send_submissions(connection, number, body):
    """Sends complete submissions, one at a time. All clients complete theirs at the same time."""
    for submitted in range(SUBMISSIONS):
        connection.sendall(head(number + submitted * CROWD, "Content-Length: %d" % len(body)) + body[:-1])
        try:
            all_nearly_sent.wait(BARRIER_S)
        except threading.BrokenBarrierError:
            pass  # some clients were refused
        connection.sendall(body[-1:])
        if not connection.recv(BLOCK):
            break


def send_long_description(connection, number):
    send_submissions(connection, number, json.dumps({"spec": "x" * SUBMISSION_BYTES, "steps": [WAITING]}).encode())


def send_many_steps(connection, number):
    steps = [WAITING] * (SUBMISSION_BYTES // len(json.dumps(WAITING) + ", "))
    send_submissions(connection, number, json.dumps({"spec": "text", "steps": steps}).encode())


def send_unread(connection, number):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.sendall(head(number, method="GET") * REQUESTS)
    time.sleep(IDLE_S)


def send_pipelined(connection, number):
    connection.sendall(head(number, method="GET") * REQUESTS)
    read_to_end(connection)


# Name of the row: what each client sends, the class of the process that receives it, and the descriptors of the edge process.
ROWS = {
    "trailers": (send_trailers, "edge", FDS),
    "chunk_extension": (send_chunk_extension, "edge", FDS),
    "unfinished_bodies": (send_unfinished_body, "edge", FDS),
    "long_descriptions": (send_long_description, "edge", FDS),
    "many_steps": (send_many_steps, "edge", FDS),
    "trailers_to_core": (send_trailers, "core", FDS),
    "unfinished_bodies_to_core": (send_unfinished_body, "core", FDS),
    "one_byte_chunks": (send_one_byte_chunks, "edge", FDS),
    "endless_heads": (send_head, "edge", FDS),
    "endless_heads_few_descriptors": (send_head, "edge", FEW_FDS),
    "unread_answers": (send_unread, "edge", FDS),
    "pipelined_requests": (send_pipelined, "edge", FDS),
}


class LimitedCell(PlatformCell):
    def __init__(self, build, edge_fds):
        self.edge_fds = edge_fds
        super().__init__(build, cores=3, edges=1, workers=1)

    def memory_mb(self, number):
        return MEMORY_MB["core" if number in self.cores else "edge"]

    def max_descriptors(self, number):
        return FDS if number in self.cores else self.edge_fds

    def settings(self, number, bootstrap):
        path = super().settings(number, bootstrap)
        with open(path, "a") as file:
            file.write("[limits]\nmemory-mb = %d\nmax-fds = %d\n" % (
                self.memory_mb(number), RESERVED_FDS + self.max_descriptors(number)))
        return path

    def peak_mb(self, number):
        with open("/proc/%d/status" % self.processes[number].pid) as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024

    def descriptors(self, number):
        return len(os.listdir("/proc/%d/fd" % self.processes[number].pid))

    def check_alive(self):
        ended = {n: process.returncode for n, process in self.processes.items() if process.poll() is not None}
        assert not ended, "ended: %s" % ended


def run_client(address, send, number):
    try:
        with socket.create_connection(address, timeout=IDLE_S) as connection:
            send(connection, number)
    except OSError:
        pass  # refused, closed or without progress


def run(cell, name):
    send, kind, _ = ROWS[name]
    all_nearly_sent.reset()
    wait_for(lambda: cell.configure(), 30)
    assert cell.submit(ACCEPTED, [WAITING])
    target = cell.edges[0] if kind == "edge" else wait_for(cell.leader, 20)
    address = (loopback(target), cell.front if kind == "edge" else cell.control)

    clients = [threading.Thread(target=run_client, args=(address, send, n), daemon=True) for n in range(CROWD)]
    for client in clients:
        client.start()
    open_files = {n: 0 for n in cell.processes}
    while any(client.is_alive() for client in clients):
        cell.check_alive()
        open_files = {n: max(most, cell.descriptors(n)) for n, most in open_files.items()}
        time.sleep(0.02)

    cell.check_alive()
    peaks = {n: cell.peak_mb(n) for n in cell.processes}
    print("%s: peak %s MB, descriptors %s" % (name, {n: round(peak, 1) for n, peak in peaks.items()}, open_files), flush=True)
    if kind == "edge":
        wait_for(lambda: cell.state(ACCEPTED) == "queued", 30)
    else:
        wait_for(lambda: call("%s:%d" % address, "GET", "/walkthread/config")[0] == 200, 30)
    cell.check_alive()
    for number in cell.processes:
        assert cell.peak_mb(number) <= cell.memory_mb(number), (number, peaks)
        assert open_files[number] <= cell.max_descriptors(number), (number, open_files)


def run_row(build, name):
    cell = LimitedCell(build, edge_fds=ROWS[name][2])
    failed = True
    try:
        run(cell, name)
        failed = False
    finally:
        cell.stop()
        if failed:
            for number, path in cell.logs.items():
                with open(path) as log:
                    print("-- process %d\n%s" % (number, log.read()[-3000:]))
        shutil.rmtree(cell.folder, ignore_errors=True)
    print("%s passed." % name, flush=True)


if __name__ == "__main__":
    if sys.argv[1:] == ["--list"]:
        print("\n".join(ROWS))
        sys.exit()
    for row in sys.argv[2:] or ROWS:
        run_row(sys.argv[1], row)
