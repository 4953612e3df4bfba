"""A proxy in front of one process's port for peers. Links are told apart by the address in the sender's greeting, so that
each can be cut one way, delayed or reset while the others go on."""

import random
import re
import socket
import threading
import time

ADDRESS = re.compile(rb"127\.0\.0\.\d+:\d+")
QUEUED = 4     # connections that fill a queue of length 0, and one that ends the accept under way
POLL_S = 0.02  # how soon a held link notices that it is free again


class Faults:
    """What is wrong with the links now; shared by all proxies of a cell."""

    def __init__(self):
        self.lock = threading.Lock()
        self.silent, self.delay = set(), {}
        self.open, self.muted = {}, set()

    def set_silent(self, links, on):
        with self.lock:
            self.silent = self.silent | set(links) if on else self.silent - set(links)

    def set_delay(self, links, seconds):
        with self.lock:
            for link in links:
                self.delay[link] = seconds

    def mute(self, chosen):
        """The open connections of the links that `chosen` takes swallow what is sent, for ever; new ones work."""
        with self.lock:
            for link, pairs in self.open.items():
                if chosen(link):
                    self.muted.update(side for pair in pairs for side in pair)

    def reset(self, links):
        """Closes the open connections of these links with a reset."""
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
        pass  # it was closed meanwhile


class PeerProxy:
    """Listens where others look for `name` and passes on to where it really listens."""

    def __init__(self, name, listen, target, faults):
        self.name, self.target, self.faults, self.live, self.held = name, target, faults, True, []
        self.listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while self.live:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if not self.live:
                self.held.append(near)
                return
            threading.Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near):
        try:
            first = near.recv(65536)
            found = ADDRESS.search(first)
            sender = found.group().split(b":")[0].decode() if found else "unknown"
            far = socket.create_connection(self.target, timeout=2)
            far.settimeout(None)
        except OSError:
            reset(near)
            return
        link = (sender, self.name)
        with self.faults.lock:
            self.faults.open.setdefault(link, []).append((near, far))
        back = threading.Thread(target=self.pump, args=(far, near, (self.name, sender), b""), daemon=True)
        back.start()
        self.pump(near, far, link, first)
        back.join()
        with self.faults.lock:
            self.faults.open[link].remove((near, far))
            self.faults.muted -= {near, far}
        near.close()
        far.close()

    def pump(self, source, sink, link, data):
        """`link` names who sends and who receives on this way of the connection."""
        try:
            while data or (data := source.recv(65536)):
                if source in self.faults.muted:
                    data = b""
                    continue
                delay = self.faults.delay.get(link, 0)
                if delay:
                    time.sleep(delay * random.uniform(0.5, 1.5))
                while link in self.faults.silent and self.live:
                    time.sleep(POLL_S)
                sink.sendall(data)
                data = b""
        except OSError:
            pass  # one side is gone; so is the connection
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it was closed meanwhile

    def refuse(self):
        """For good: connections to it are reset and refused, as where its process has ended."""
        self.live = False
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the accept under way; closing alone would not
        self.listener.close()
        with self.faults.lock:
            pairs = [pair for link, found in self.faults.open.items() if link[1] == self.name for pair in found]
        for near, far in pairs:
            reset(near)
            far.close()

    def fall_silent(self):
        """For good: open connections swallow what is sent, new ones are not answered, as where a machine lost power."""
        self.live = False
        self.faults.mute(lambda link: link[1] == self.name)
        self.listener.listen(0)
        for _ in range(QUEUED):  # once as many wait as may, the system answers no further connection
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(self.listener.getsockname())
            self.held.append(waiting)

    def close(self):
        self.live = False
        self.listener.close()
        for side in self.held:
            side.close()
