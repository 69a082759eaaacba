"""Tests of nodes that read a log which has fallen silent."""

import asyncio
import random

from catkintiller import data, errors, logclient, membership

from . import keyed_executor, settings_sync

SETTINGS_BOUND_S = 11.0
TIMEOUT_S = 10.0
FAILURE_COUNT = 2


class SilentLog(logclient.LogClient):
    """A log whose first reads fail.

    :ivar waits_ms: times that the reads were to wait, in ms.
    """

    def __init__(self) -> None:
        self.waits_ms: list[int] = []
        self.recovered = asyncio.Event()

    async def append(self, stream: str, body: bytes) -> int:
        """Returns an offset."""
        return 1

    async def read(
        self, stream: str, start_offset: int, wait_ms: int = 0
    ) -> logclient.ReadResult:
        """Fails at first, then returns no records until it waits for ever."""
        self.waits_ms.append(wait_ms)
        if len(self.waits_ms) <= FAILURE_COUNT:
            raise errors.LogUnavailable("no response")
        if len(self.waits_ms) > FAILURE_COUNT + 1:
            self.recovered.set()
            await asyncio.Event().wait()
        return logclient.ReadResult(1, [], start_offset)


async def record_waits(log: SilentLog, follow: asyncio.Future) -> list[int]:
    """Returns for how long the reads were to wait until the log had recovered."""
    async with asyncio.timeout(TIMEOUT_S):
        await log.recovered.wait()
    follow.cancel()
    return log.waits_ms


class TestSilentLog:
    """After a read without a response, reads do not wait until one succeeds."""

    EXPECTED_MS = [logclient.POLL_WAIT_MS, 0, 0, logclient.POLL_WAIT_MS]

    def test_settings_are_read_at_once_after_a_read_without_a_response(self) -> None:
        async def run() -> list[int]:
            log = SilentLog()
            state = data.MemberState.ALIVE
            own = data.Member("i", "a:1", "a:2", "r", "z", "pay", "a:3", state, 1, True)
            sync = settings_sync.SettingsSync(
                membership.Membership(own, [], random.Random(1)),
                None,
                log,
                lambda state: None,
                3600.0,
                random.Random(1),
            )
            return await record_waits(log, asyncio.ensure_future(sync.follow()))

        assert asyncio.run(run()) == self.EXPECTED_MS

    def test_claims_are_read_at_once_after_a_read_without_a_response(self) -> None:
        async def run() -> list[int]:
            log = SilentLog()
            claims = keyed_executor.ClaimStream(log, "pay")
            claim = asyncio.ensure_future(claims.claim(data.Claim("key", b"", "i")))
            waits_ms = await record_waits(log, asyncio.ensure_future(claims.follow()))
            claim.cancel()
            return waits_ms

        assert asyncio.run(run()) == self.EXPECTED_MS

    def test_silence_is_noticed_within_the_bound_of_settings(self) -> None:
        read_s = logclient.POLL_WAIT_MS / 1000 + logclient.READ_TIMEOUT_MARGIN_S
        assert read_s + logclient.MAX_BACKOFF_S < SETTINGS_BOUND_S
