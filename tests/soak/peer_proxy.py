"""A proxy in front of one process's peer port. Links are identified by the sender's address in its first message, so that
each can be blocked in one direction, delayed or reset independently of the others."""

import random
import re
import socket
import threading
import time

ADDRESS = re.compile(rb"127\.0\.0\.\d+:\d+")
QUEUED = 4     # enough connections to fill an accept queue of length 0 and to end the pending accept
POLL_S = 0.02  # interval at which a blocked link checks whether it is unblocked


class Faults:
    """The current faults of the links; shared by all proxies of a cell."""

    def __init__(self):
        self.lock = threading.Lock()
        self.blocked, self.delay = set(), {}
        self.open, self.discarding = {}, set()

    def set_blocked(self, links, on):
        with self.lock:
            self.blocked = self.blocked | set(links) if on else self.blocked - set(links)

    def set_delay(self, links, seconds):
        with self.lock:
            for link in links:
                self.delay[link] = seconds

    def discard_open(self, chosen):
        """Open connections of the links selected by `chosen` discard all data from now on; new connections work."""
        with self.lock:
            for link, pairs in self.open.items():
                if chosen(link):
                    self.discarding.update(side for pair in pairs for side in pair)

    def reset(self, links):
        """Closes the open connections of these links with a TCP reset."""
        with self.lock:
            chosen = [pair for link in links for pair in self.open.get(link, [])]
        for pair in chosen:
            for side in pair:
                reset(side)


def reset(side):
    try:
        side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        side.close()
    except OSError:
        pass  # already closed


class PeerProxy:
    """Listens at the published address of `name` and forwards to the address at which it actually listens."""

    def __init__(self, name, listen, target, faults):
        self.name, self.target, self.faults, self.live, self.held = name, target, faults, True, []
        self.listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while self.live:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if not self.live:
                self.held.append(client)
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        try:
            first = client.recv(65536)
            found = ADDRESS.search(first)
            sender = found.group().split(b":")[0].decode() if found else "unknown"
            server = socket.create_connection(self.target, timeout=2)
            server.settimeout(None)
        except OSError:
            reset(client)
            return
        link = (sender, self.name)
        with self.faults.lock:
            self.faults.open.setdefault(link, []).append((client, server))
        back = threading.Thread(target=self.pump, args=(server, client, (self.name, sender), b""), daemon=True)
        back.start()
        self.pump(client, server, link, first)
        back.join()
        with self.faults.lock:
            self.faults.open[link].remove((client, server))
            self.faults.discarding -= {client, server}
        client.close()
        server.close()

    def pump(self, source, sink, link, data):
        """Forwards one direction of a connection; `link` is its (sender, receiver)."""
        try:
            while data or (data := source.recv(65536)):
                if source in self.faults.discarding:
                    data = b""
                    continue
                delay = self.faults.delay.get(link, 0)
                if delay:
                    time.sleep(delay * random.uniform(0.5, 1.5))
                while link in self.faults.blocked and self.live:
                    time.sleep(POLL_S)
                sink.sendall(data)
                data = b""
        except OSError:
            pass  # one side closed the connection
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed

    def simulate_closed_port(self):
        """Permanently refuses connections; open ones go on."""
        if not self.live:
            return
        self.live = False
        self.listener.shutdown(socket.SHUT_RDWR)  # unblocks the pending accept; close() alone would not
        self.listener.close()

    def simulate_process_exit(self):
        """Permanently resets and refuses connections, as if the process behind it had ended."""
        self.simulate_closed_port()
        with self.faults.lock:
            pairs = [pair for link, found in self.faults.open.items() if link[1] == self.name for pair in found]
        for client, server in pairs:
            reset(client)
            server.close()

    def simulate_power_loss(self):
        """Permanently discards data of open connections and answers no new ones, as if the machine had lost power."""
        self.live = False
        self.faults.discard_open(lambda link: link[1] == self.name)
        self.listener.listen(0)
        for _ in range(QUEUED):  # once the accept queue is full, the kernel answers no further connection
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(self.listener.getsockname())
            self.held.append(waiting)

    def close(self):
        self.live = False
        self.listener.close()
        for side in self.held:
            side.close()
