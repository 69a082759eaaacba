"""Client of the platform's log service.

The service keeps named streams. ``POST /streams/NAME`` appends the body and
answers with its offset, counted from 1; ``GET /streams/NAME?from=N&wait=MS``
answers the records from ``N`` on, waiting up to ``MS`` for the first one, or
410 with the first kept offset if ``N`` is past the retention.
"""

import abc
import asyncio
import base64
import random
from typing import NamedTuple, TypedDict

import aiohttp
import msgspec

from . import data, errors

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
MAX_BACKOFF_S = 2.0


class AppendReply(TypedDict):
    """The log service's answer to an append."""

    offset: int


class ReadReply(TypedDict):
    """The log service's answer to a read; bodies are base64."""

    first: int
    next: int
    records: list[tuple[int, str]]


class ReadResult(NamedTuple):
    """Records from the asked offset on, and the offset to read next.

    ``first`` is the oldest offset that the log still keeps.
    """

    first: int
    records: list[data.LogRecord]
    next_offset: int


class LogClient(abc.ABC):
    """What catkintiller needs of a log service."""

    @abc.abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Appends a record.

        :returns: the offset of the record.
        :raises errors.LogUnavailable: if the record was certainly not taken.
        :raises errors.LogOutcomeUnknown: if it may have been taken.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, wait_ms: int = 0) -> ReadResult:
        """Reads records from offset ``start`` on.

        :raises errors.LogUnavailable: if the service did not answer.
        :raises errors.LogTruncated: if ``start`` is past the retention.
        """


class HttpLogClient(LogClient):
    """Log client over HTTP.

    :param http: session to use; the caller closes it.
    :param url: base URL of the log service.
    """

    def __init__(self, http: aiohttp.ClientSession, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")

    async def append(self, stream: str, body: bytes) -> int:
        """Appends a record; see :meth:`LogClient.append`."""
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        url = f"{self._url}/streams/{stream}"
        try:
            async with self._http.post(url, data=body, timeout=timeout) as response:
                payload = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise errors.LogUnavailable(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.LogOutcomeUnknown(str(error)) from error
        if response.status == 503:
            raise errors.LogUnavailable("the log service refused the append")
        if response.status != 200:
            raise errors.LogOutcomeUnknown(f"status {response.status}")
        return msgspec.json.decode(payload, type=AppendReply)["offset"]

    async def read(self, stream: str, start: int, wait_ms: int = 0) -> ReadResult:
        """Reads records; see :meth:`LogClient.read`."""
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + READ_MARGIN_S)
        url = f"{self._url}/streams/{stream}"
        params = {"from": str(start), "wait": str(wait_ms)}
        try:
            async with self._http.get(url, params=params, timeout=timeout) as response:
                payload = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.LogUnavailable(str(error)) from error
        if response.status not in (200, 410):
            raise errors.LogUnavailable(f"status {response.status}")
        reply = msgspec.json.decode(payload, type=ReadReply)
        if response.status == 410:
            raise errors.LogTruncated(start, reply["first"])
        records = [
            data.LogRecord(offset, base64.b64decode(body))
            for offset, body in reply["records"]
        ]
        return ReadResult(reply["first"], records, reply["next"])


async def read_to_end(log: LogClient, stream: str, start: int) -> list[data.LogRecord]:
    """Reads every record from ``start`` to the present end of a stream.

    :raises errors.LogUnavailable: if the service did not answer.
    :raises errors.LogTruncated: if ``start`` is past the retention.
    """
    records: list[data.LogRecord] = []
    while True:
        result = await log.read(stream, start)
        if not result.records:
            return records
        records.extend(result.records)
        start = result.next_offset


async def sleep_backoff(attempt: int, rng: random.Random) -> None:
    """Sleeps before a repeat: full jitter under a doubling bound."""
    bound = min(MAX_BACKOFF_S, 0.05 * 2 ** min(attempt, 8))
    await asyncio.sleep(rng.uniform(0, bound))
