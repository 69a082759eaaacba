"""HTTP client of the store: sends each request on a connection of its own."""

import asyncio

from . import data, store_connection


class StoreClient:
    """Sends requests to the store; idle connections are used again.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._idle_connections: list[store_connection.StoreConnection] = []

    async def send_request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> store_connection.Response:
        """Sends a request and waits for the response.

        :param timeout_s: time without any byte of the response, in seconds.
        :param wait_s: time that the store may wait before it responds, in seconds.
        :raises data.StoreError: if there is no response in time.
        """
        first_byte_by = self._loop.time() + wait_s + timeout_s
        connection = await self._connect(timeout_s)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            pending = connection.send(head, body)
            response = await connection.receive(pending, first_byte_by, timeout_s)
        except TimeoutError:
            connection.close()
            self._close_idle_connections()
            raise data.StoreError("no answer in time") from None
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.is_usable:
            self._idle_connections.append(connection)
        return response

    def _close_idle_connections(self) -> None:
        """Closes the connections that may have fallen silent like another one."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _connect(self, timeout_s: float) -> store_connection.StoreConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
        return await store_connection.open_connection(
            self._address, self._loop, timeout_s
        )
