"""Port allocation for cells that run in parallel: a stopped process does not lose its port to another cell or to an outgoing
connection, and a test that runs out of ports fails instead of waiting forever."""

import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from ports import BLOCK, free_port, lock_block  # noqa: E402


def ports_are_below_the_ephemeral_range():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as kernel:
        lowest = int(kernel.read().split()[0])
    assert all(free_port() < lowest for _ in range(20))


def a_port_in_use_at_another_address_is_not_free():
    following = free_port() + 1
    with socket.create_server(("127.0.0.11", following)):
        assert free_port() != following


def two_processes_never_share_a_block():
    first, first_lock = lock_block(7)
    second, second_lock = lock_block(7)
    assert first != second
    first_lock.close()
    second_lock.close()


def a_block_without_a_free_port_is_an_error():
    held = [socket.create_server(("", free_port())) for _ in range(BLOCK)]
    try:
        free_port()
        raise AssertionError("There was no free port to return.")
    except RuntimeError as error:
        assert "in use" in str(error)
    finally:
        for server in held:
            server.close()


ports_are_below_the_ephemeral_range()
two_processes_never_share_a_block()
a_port_in_use_at_another_address_is_not_free()
a_block_without_a_free_port_is_an_error()
print("ports passed.")
