"""Ports for cells that run side by side."""

import os
import socket

# Below the range from which the system takes those of outgoing connections, so that a process that was stopped finds its
# port free when it starts again; each test process has a block of its own.
FIRST_PORT, BLOCK, BLOCKS = 10000, 100, 220
next_port = 0


def free_port():
    """A port that nobody uses now at any address of this machine."""
    global next_port
    while True:
        port = FIRST_PORT + os.getpid() % BLOCKS * BLOCK + next_port % BLOCK
        next_port += 1
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("", port))
                return port
            except OSError:
                continue
