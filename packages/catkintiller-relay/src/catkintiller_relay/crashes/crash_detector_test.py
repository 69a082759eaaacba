"""Tests that a crash is told from requests that lose single connections."""

import asyncio

from .. import data
from ..serving import endpoint_exchange
from . import crash_detector


class FakeProbe:
    """Connections to an endpoint.

    :param refused: whether new ones are refused.
    :param open_checks: number of checks for which one of them is open.
    """

    def __init__(self, refused: bool, open_checks: int = 0) -> None:
        self.refused = refused
        self.open_checks = open_checks
        self.probe_count = 0

    @property
    def has_open_connection(self) -> bool:
        """Whether any connection is open."""
        self.open_checks -= 1
        return self.open_checks >= 0

    async def is_refused(self) -> bool:
        """Returns whether the endpoint refuses a new connection."""
        self.probe_count += 1
        await asyncio.sleep(0)
        return self.refused


def lose_requests(
    probe: FakeProbe, count: int = 1, error: Exception | None = None
) -> list[str]:
    """Loses requests and returns what happened, in order.

    :param error: raised while the crash is handled.
    """
    events: list[str] = []

    def handle_crash() -> None:
        events.append("crash")
        if error is not None:
            raise error

    async def run() -> None:
        detector = crash_detector.CrashDetector(asyncio.get_running_loop(), probe)
        detector.on_crash = handle_crash
        for number in range(count):
            exchange = endpoint_exchange.Exchange(
                b"%d" % number,
                b"",
                lambda outcome, reason, *_: events.append(
                    f"{outcome.name} {reason.name}"
                ),
            )
            detector.handle_lost(exchange)
        async with asyncio.timeout(5.0):
            while events.count(LOST) < count:
                await asyncio.sleep(0.001)

    asyncio.run(run())
    return events


LOST = f"{data.Outcome.UNKNOWN.name} {data.RefusalReason.CONNECTION_LOST.name}"


class TestCrash:
    """All connections end and new ones are refused."""

    def test_crash_is_reported_before_the_results(self) -> None:
        assert lose_requests(FakeProbe(refused=True), 3) == ["crash", *[LOST] * 3]

    def test_requests_lost_together_cause_one_probe(self) -> None:
        probe = FakeProbe(refused=True)
        lose_requests(probe, 40)
        assert probe.probe_count == 1

    def test_error_in_the_handling_loses_no_result(self) -> None:
        probe = FakeProbe(refused=True)
        assert lose_requests(probe, 2, ValueError()) == ["crash", LOST, LOST]

    def test_connections_that_end_a_moment_later(self) -> None:
        probe = FakeProbe(refused=True, open_checks=3)
        assert lose_requests(probe) == ["crash", LOST]


class TestOtherLosses:
    """The endpoint goes on running."""

    def test_dropped_response(self) -> None:
        assert lose_requests(FakeProbe(refused=False)) == [LOST]

    def test_endpoint_at_its_limit_of_connections(self) -> None:
        probe = FakeProbe(refused=True, open_checks=1_000_000)
        assert lose_requests(probe) == [LOST]
