"""Socket options that show a connection that has gone silent."""

import asyncio
import socket

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel end the connection if its other side does not answer."""
    own = transport.get_extra_info("socket")
    if own is None:
        return
    own.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    own.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    own.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    own.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
