"""Port allocation for cells that run in parallel."""

import fcntl
import os
import socket
import tempfile

# Below the ephemeral port range, so that no outgoing connection takes the port of a stopped process before it restarts. Each
# test process locks a block of its own until it exits.
FIRST_PORT, BLOCK, BLOCKS = 10000, 100, 220
held_lock = None
own_block = 0
next_port = 0


def lock_block(start):
    """Locks the first free block from `start` on; returns the block and its lock file."""
    for number in range(start, start + BLOCKS):
        block = number % BLOCKS
        lock = open(os.path.join(tempfile.gettempdir(), "walkthread-ports-%d.lock" % block), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return block, lock
        except OSError:
            lock.close()
    raise RuntimeError("All blocks of ports are in use.")


def free_port():
    """A port that is currently free on every address of this machine. Raises RuntimeError if none of the block is free."""
    global held_lock, own_block, next_port
    if held_lock is None:
        own_block, held_lock = lock_block(os.getpid())
    for _ in range(BLOCK):
        port = FIRST_PORT + own_block * BLOCK + next_port % BLOCK
        next_port += 1
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("", port))
                return port
            except OSError:
                continue
    raise RuntimeError("All %d ports of this process's block are in use." % BLOCK)
