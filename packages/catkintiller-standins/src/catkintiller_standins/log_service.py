"""Stand-in for the platform's log service, with faults that can be set.

Run with ``python -m catkintiller_standins.log_service --port P``. ``POST
/control`` accepts JSON with any of the fields of :class:`Faults`.
"""

import asyncio
import base64
import collections
import random
from typing import NamedTuple, TypedDict

import defopt
import msgspec
import uvloop
from aiohttp import web

PAGE_RECORD_COUNT = 500


class Faults(TypedDict, total=False):
    """Faults of the log service.

    ``mode`` is ``up``, ``refusing`` (appends get 503 and no record is stored, reads are
    aborted) or ``down`` (connections are aborted); ``append_delay_ms`` delays appends;
    ``lost_answers`` is the share of appends that take effect while their connection is
    aborted; ``kept_records`` is the retention in records, 0 for no limit.
    """

    mode: str
    append_delay_ms: float
    lost_answers: float
    kept_records: int


class Stream:
    """An append-only stream of records; offsets start at 1."""

    def __init__(self) -> None:
        self._records: collections.deque[bytes] = collections.deque()
        self._first_offset = 1
        self.changed = asyncio.Condition()

    @property
    def first(self) -> int:
        """Offset of the oldest retained record."""
        return self._first_offset

    @property
    def next(self) -> int:
        """Offset of the next record to be appended."""
        return self._first_offset + len(self._records)

    def append(self, body: bytes, max_records: int) -> int:
        """Appends a record, applies the retention and returns the offset.

        :param max_records: retention in records, 0 for no limit.
        """
        self._records.append(body)
        while max_records and len(self._records) > max_records:
            self._records.popleft()
            self._first_offset += 1
        return self.next - 1

    def read(self, start: int) -> list[tuple[int, str]]:
        """Returns a page of offsets and Base64 records from an offset on."""
        end = min(self.next, start + PAGE_RECORD_COUNT)
        return [
            (
                offset,
                base64.b64encode(self._records[offset - self._first_offset]).decode(),
            )
            for offset in range(start, end)
        ]


class Counts(NamedTuple):
    """Number of handled requests since the start."""

    appends: int
    reads: int


class LogService:
    """Request handlers of the log service.

    :param append_delay_ms: delay of each append.
    :param seed: random seed of the faults.
    """

    def __init__(self, append_delay_ms: float, seed: int) -> None:
        self._streams: dict[str, Stream] = {}
        self._faults = Faults(
            mode="up",
            append_delay_ms=append_delay_ms,
            lost_answers=0.0,
            kept_records=0,
        )
        self._rng = random.Random(seed)
        self._appends = 0
        self._reads = 0

    def build_app(self) -> web.Application:
        """Builds the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/streams/{name}", self._append)
        app.router.add_get("/streams/{name}", self._read)
        app.router.add_post("/control", self._set_faults)
        app.router.add_get("/counts", self._get_counts)
        return app

    def _get_stream(self, request: web.Request) -> Stream:
        return self._streams.setdefault(request.match_info["name"], Stream())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._faults["mode"] == "refusing":
            return web.Response(status=503)
        if self._faults["mode"] == "down":
            return _abort_connection(request)
        stream = self._get_stream(request)
        await asyncio.sleep(self._faults["append_delay_ms"] / 1000)
        self._appends += 1
        offset = stream.append(body, self._faults["kept_records"])
        async with stream.changed:
            stream.changed.notify_all()
        if self._rng.random() < self._faults["lost_answers"]:
            return _abort_connection(request)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        self._reads += 1
        if self._faults["mode"] != "up":
            return _abort_connection(request)
        stream = self._get_stream(request)
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait", 0)) / 1000
        if stream.next <= start and wait_s:
            await self._wait_for_record(stream, start, wait_s)
        if self._faults["mode"] != "up":
            return _abort_connection(request)
        is_expired = start < stream.first
        records = [] if is_expired else stream.read(start)
        next_offset = records[-1][0] + 1 if records else start
        response = {"first": stream.first, "next": next_offset, "records": records}
        return web.json_response(response, status=410 if is_expired else 200)

    async def _wait_for_record(self, stream: Stream, start: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), stream.changed:
                await stream.changed.wait_for(
                    lambda: stream.next > start or self._faults["mode"] != "up"
                )
        except TimeoutError:
            return

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = msgspec.json.decode(await request.read(), type=Faults)
        self._faults.update(faults)
        for stream in self._streams.values():
            async with stream.changed:
                stream.changed.notify_all()
        return web.json_response(self._faults)

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(Counts(self._appends, self._reads)._asdict())


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport:
        request.transport.abort()
    return web.Response(status=500)


def serve(*, port: int, append_delay_ms: float = 2.0, seed: int = 1) -> None:
    """Runs the log service.

    :param port: port on loopback.
    :param append_delay_ms: delay of each append in milliseconds.
    :param seed: random seed of the faults.
    """
    uvloop.install()
    app = LogService(append_delay_ms, seed).build_app()
    web.run_app(
        app,
        host="127.0.0.1",
        port=port,
        access_log=None,
        print=None,
        shutdown_timeout=0.5,
    )


if __name__ == "__main__":
    defopt.run(serve)
