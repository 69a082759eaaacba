"""Ports for the processes of test deployments.

A port that is merely free when it is drawn may be taken before the process that it is
meant for listens on it. Ports are therefore claimed in blocks: a process that starts
deployments listens on the first port of a block for as long as it runs, and every other
one that uses this module leaves that block alone.
"""

import random
import socket
from collections.abc import Iterable

BLOCK_SIZE = 128
# Below the range from which the kernel takes ports of outgoing connections.
MIN_PORT, MAX_PORT = 10_000, 32_000
LOOPBACK = "127.0.0.1"

_claimed_blocks: list[socket.socket] = []
_unused_ports: list[int] = []


class NoFreePortError(Exception):
    """All blocks of ports are claimed by other processes."""


def claim_ports(count: int, addresses: Iterable[str] = (LOOPBACK,)) -> list[int]:
    """Claims ports that are free at all addresses.

    :raises NoFreePortError: if no block of ports is left.
    """
    addresses = tuple(addresses)
    ports: list[int] = []
    while len(ports) < count:
        if not _unused_ports:
            _unused_ports.extend(_claim_block())
        port = _unused_ports.pop()
        if all(is_port_free(address, port) for address in addresses):
            ports.append(port)
    return ports


def is_port_free(address: str, port: int) -> bool:
    """Returns whether a port can be bound at an address."""
    with socket.socket() as probe_socket:
        try:
            probe_socket.bind((address, port))
        except OSError:
            return False
    return True


def _claim_block() -> list[int]:
    """Claims a block until this process ends and returns its other ports."""
    first_ports = list(range(MIN_PORT, MAX_PORT, BLOCK_SIZE))
    random.SystemRandom().shuffle(first_ports)
    for first_port in first_ports:
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first_port))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        _claimed_blocks.append(guard)
        return list(range(first_port + 1, first_port + BLOCK_SIZE))
    raise NoFreePortError("all blocks of ports are claimed")
