"""A proxy for the connections between nodes, which can let some of them fall silent.

A node is reached by the others at the address of its proxy. Nodes learn each other's
addresses from the records in the store and from the first message on a connection, so
both show the proxy's address. It has the same length as the real one.
"""

import asyncio

MAX_FIRST_BYTES = 512
CHUNK_BYTES = 65536


class Connection:
    """A proxied connection.

    :ivar is_silent: whether it is silent: bytes of both sides are dropped, and neither
        side sees an end.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.is_silent = False
        self.is_open = True
        self.byte_count = 0


class Proxy:
    """Forwards the connections of other nodes to one node.

    :param target: real address of the node.
    :param names: real and shown address of each node, without the port.
    :ivar connections: all connections so far, in the order of opening.
    """

    def __init__(self, target: tuple[str, int], names: dict[str, str]) -> None:
        self._target = target
        self._names = {
            key.encode() + b":": to.encode() + b":" for key, to in names.items()
        }
        self.connections: list[Connection] = []
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(len(self.connections) + 1)
        self.connections.append(connection)
        tasks = [
            asyncio.ensure_future(self._forward(connection, reader, server_writer)),
            asyncio.ensure_future(self._forward(connection, server_reader, writer)),
        ]
        self._tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        connection.is_open = False
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        for each in (writer, server_writer):
            each.transport.abort()

    async def _forward(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_first = True
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if connection.is_silent:
                    # Neither the bytes nor the end of one side reach the other one.
                    if not chunk:
                        await asyncio.Event().wait()
                    continue
                if not chunk:
                    return
                if is_first:
                    for name, shown in self._names.items():
                        chunk = (
                            chunk[:MAX_FIRST_BYTES].replace(name, shown)
                            + (chunk[MAX_FIRST_BYTES:])
                        )
                    is_first = False
                connection.byte_count += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            return
