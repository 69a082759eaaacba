"""Stand-in of the platform's store: keyed topics with one partition each."""

import asyncio
import base64
import json
import struct
import urllib.parse

from . import http

ANSWER_S = 0.004
MAX_PAGE_RECORDS = 500
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")


class Store:
    """The store; it answers each call after 4 ms.

    :ivar names: addresses of nodes, and those at which other nodes are to reach them.
    :ivar is_silent: whether it is down: calls get no answer and have no effect.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.calls: dict[str, int] = {}
        self.names: dict[str, str] = {}
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int, reader_ip: str = "") -> None:
        """Starts to listen.

        :param reader_ip: node that reads here and is shown its own address unchanged.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, writer, reader_ip)

        await asyncio.start_server(serve, host, port)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record, as the operator does."""
        self._records.setdefault(topic, []).append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def get_keys(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        return dict(self._records.get(topic, []))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        reader_ip: str,
    ) -> None:
        try:
            while (request := await http.read_message(reader)) is not None:
                if self.is_silent:
                    # Nothing is done and nothing is answered on this connection.
                    await reader.read()
                    return
                writer.write(await self._answer(request, reader_ip))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http.Message, reader_ip: str) -> bytes:
        await asyncio.sleep(ANSWER_S)
        method, target, _ = request.first_line.split()
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        self.calls[path] = self.calls.get(path, 0) + 1
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/log-append"):
            return self._append(topic, request.body)
        if (method, path) == ("GET", "/log-newest"):
            return self._newest(topic, query.get("after"), reader_ip)
        if (method, path) == ("GET", "/log-read"):
            wait_s = int(query.get("waitMs", "0")) / 1000
            return await self._read(topic, int(query["from"]), wait_s)
        return respond(404, {})

    def _append(self, topic: str, body: bytes) -> bytes:
        first = len(self._records.get(topic, []))
        if topic in ("keyed.op", "keyed.servers"):
            return respond(403, {})
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            record = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + record[0]
            self.put(topic, record[1:key_end].decode(), record[key_end:])
        end = len(self._records.get(topic, []))
        return respond(200, {"offset": first, "endOffset": end})

    def _newest(self, topic: str, after: str | None, reader_ip: str) -> bytes:
        records = self._records.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        keys = sorted(key for key, (_, value) in newest.items() if value)
        if after is not None:
            keys = [key for key in keys if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(
                    self._show(newest[key][1], reader_ip)
                ).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:MAX_PAGE_RECORDS]
        ]
        has_more = len(keys) > MAX_PAGE_RECORDS
        page = {"items": items, "hasMore": has_more, "endOffset": len(records)}
        return respond(200, page)

    def _show(self, value: bytes, reader_ip: str) -> bytes:
        """Returns a value with the addresses at which the reader reaches the nodes."""
        for name, shown in self.names.items():
            if name != reader_ip:
                value = value.replace(f"{name}:".encode(), f"{shown}:".encode())
        return value

    async def _read(self, topic: str, first: int, wait_s: float) -> bytes:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while len(self._records.get(topic, [])) <= first:
            remaining_s = ends_at - loop.time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                break
        records = self._records.get(topic, [])
        body = OFFSETS.pack(len(records), 0)
        for key, value in records[first:]:
            record = bytes((len(key.encode()),)) + key.encode() + value
            body += LENGTH.pack(len(record)) + record
        return http.build_message("HTTP/1.1 200 OK", {}, body)


def respond(status: int, document: dict) -> bytes:
    """Builds a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    body = json.dumps(document).encode()
    return http.build_message(f"HTTP/1.1 {status} Status", headers, body)
