"""Client of the platform's log service.

The service stores named streams of records. ``POST /streams/NAME`` appends the body
and returns its offset; offsets start at 1. ``GET /streams/NAME?from=N&wait=MS``
returns the records from offset ``N`` on and waits up to ``MS`` milliseconds for the
first of them. If the record at ``N`` is no longer retained, the status is 410 and the
response contains the first retained offset.
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
READ_TIMEOUT_MARGIN_S = 2.0
MAX_BACKOFF_S = 2.0
# A read of a silent log ends after this time and the margin; with the longest backoff
# that stays below the 11 s within which settings have to be in force.
POLL_WAIT_MS = 4_000


class AppendResponse(TypedDict):
    """Response of the log service to an append."""

    offset: int


class ReadResponse(TypedDict):
    """Response of the log service to a read. Bodies are encoded in Base64."""

    first: int
    next: int
    records: list[tuple[int, str]]


class ReadResult(NamedTuple):
    """Records from the requested offset on, and the offset to read next.

    ``first`` is the oldest offset that the log retains.
    """

    first: int
    records: list[data.LogRecord]
    next_offset: int


class LogClient(abc.ABC):
    """Interface of a log service."""

    @abc.abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Appends a record.

        :returns: the offset of the record.
        :raises errors.LogUnavailable: if the record was certainly not appended.
        :raises errors.LogOutcomeUnknown: if it may have been appended.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, start_offset: int, wait_ms: int = 0
    ) -> ReadResult:
        """Reads records from offset ``start_offset`` on.

        :param wait_ms: longest time to wait for the first record, in ms.
        :raises errors.LogUnavailable: if the service did not respond.
        :raises errors.LogTruncated: if ``start_offset`` is no longer retained.
        """


class HttpLogClient(LogClient):
    """Log client that uses HTTP.

    :param http: session of the requests; the caller closes it.
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
            raise errors.LogUnavailable(
                "the log service refused the append with status 503"
            )
        if response.status != 200:
            raise errors.LogOutcomeUnknown(
                f"the log service answered an append with status {response.status}"
            )
        return msgspec.json.decode(payload, type=AppendResponse)["offset"]

    async def read(
        self, stream: str, start_offset: int, wait_ms: int = 0
    ) -> ReadResult:
        """Reads records; see :meth:`LogClient.read`."""
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + READ_TIMEOUT_MARGIN_S)
        url = f"{self._url}/streams/{stream}"
        params = {"from": str(start_offset), "wait": str(wait_ms)}
        try:
            async with self._http.get(url, params=params, timeout=timeout) as response:
                payload = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.LogUnavailable(str(error)) from error
        if response.status not in (200, 410):
            raise errors.LogUnavailable(
                f"the log service answered a read with status {response.status}"
            )
        document = msgspec.json.decode(payload, type=ReadResponse)
        if response.status == 410:
            raise errors.LogTruncated(start_offset, document["first"])
        records = [
            data.LogRecord(offset, base64.b64decode(body))
            for offset, body in document["records"]
        ]
        return ReadResult(document["first"], records, document["next"])


async def read_to_end(
    log: LogClient, stream: str, start_offset: int
) -> list[data.LogRecord]:
    """Reads all records from ``start_offset`` to the current end of a stream.

    :raises errors.LogUnavailable: if the service did not respond.
    :raises errors.LogTruncated: if ``start_offset`` is no longer retained.
    """
    records: list[data.LogRecord] = []
    while True:
        result = await log.read(stream, start_offset)
        if not result.records:
            return records
        records.extend(result.records)
        start_offset = result.next_offset


def get_poll_wait_ms(failure_count: int) -> int:
    """Returns how long the next read may wait for a record, in ms.

    After a failure it does not wait, so that it shows soon whether the log responds.

    :param failure_count: number of reads that have failed since the last success.
    """
    return 0 if failure_count else POLL_WAIT_MS


async def sleep_backoff(attempt: int, rng: random.Random) -> None:
    """Sleeps before a retry: exponential backoff with full jitter.

    :param attempt: number of previous attempts; the longest delay doubles with each.
    """
    max_delay_s = min(MAX_BACKOFF_S, 0.05 * 2 ** min(attempt, 8))
    await asyncio.sleep(rng.uniform(0, max_delay_s))
