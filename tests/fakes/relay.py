"""A TCP relay between two processes that can be blocked silently: connections stay open, but no data passes."""

import socket
import threading
import time


class Relay:
    def __init__(self, to_port):
        self.to_port, self.blocked = to_port, False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.to_port), timeout=2)
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            for a, b in ((client, server), (server, client)):
                threading.Thread(target=self.pump, args=(a, b), daemon=True).start()

    def pump(self, a, b):
        try:
            while True:
                data = a.recv(65536)
                while self.blocked:
                    time.sleep(0.02)
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
