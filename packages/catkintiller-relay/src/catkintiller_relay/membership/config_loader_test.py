"""Tests of the order in which configs come into force."""

import asyncio
import os
from collections.abc import Callable, Coroutine, Generator

from .. import data
from ..telemetry import events
from . import config_loader

SLICE_COUNT = 5
TIMEOUT_S = 10.0


class Scenario:
    """A loader whose configs are ``VERSION SLICES [fault]``.

    :ivar applied: versions that came into force.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.parse_count = 0
        self.applied: list[int] = []
        self.loader = config_loader.ConfigLoader(
            asyncio.get_running_loop(),
            self,
            log,
            lambda config, source: self.applied.append(config.version),
            lambda task: task.result(),
        )

    def parse_config_in_slices(
        self, raw: bytes, previous: data.Config | None
    ) -> Generator[int, None, data.Config]:
        """Yields the version as often as the config says."""
        self.parse_count += 1
        version, slice_count, *faults = raw.split()
        for _ in range(int(slice_count)):
            yield int(version)
        if faults:
            raise data.DecodeError("invalid customer")
        return data.Config(int(version), (), (), None, raw)

    def load(self, version: int, slice_count: int, fault: str = "") -> None:
        """Loads a config."""
        self.loader.load(f"{version} {slice_count} {fault}".encode(), "peer")


def run(test: Callable[[Scenario], Coroutine[None, None, None]]) -> Scenario:
    """Runs a test after a small first config, until nothing is being prepared."""

    async def run_all() -> Scenario:
        scenario = Scenario(events.EventLog("node-1", stream.fileno()))
        scenario.load(1, 0)
        assert scenario.applied == [1]
        await test(scenario)
        waiting = scenario.loader.load_and_wait(b"1 0", "peer")
        await asyncio.wait_for(waiting, TIMEOUT_S)
        return scenario

    with open(os.devnull, "wb") as stream:
        return asyncio.run(run_all())


class TestPreparation:
    """Requests never see a config that is not yet complete."""

    def test_former_config_is_in_force_during_the_preparation(self) -> None:
        """Guards against a config that takes effect before its last slice."""

        async def test(scenario: Scenario) -> None:
            scenario.load(2, SLICE_COUNT)
            for _ in range(SLICE_COUNT - 1):
                assert scenario.loader.version == 1
                assert scenario.loader.newest_version == 2
                await asyncio.sleep(0)

        assert run(test).applied == [1, 2]

    def test_reader_waits_until_the_config_is_in_force(self) -> None:
        """Guards against keys that count as current while newer ones are prepared."""

        async def test(scenario: Scenario) -> None:
            scenario.load(2, SLICE_COUNT)
            for raw in (b"2 5 ", b"3 5"):
                await scenario.loader.load_and_wait(raw, "store")
                assert scenario.loader.config.raw == raw
            assert scenario.parse_count == 3

        run(test)


class TestOrder:
    """A newer config arrives while an older one is prepared."""

    def test_small_one_supersedes_the_large_one(self) -> None:
        """Guards against an older config that replaces a newer one when it is ready."""

        async def test(scenario: Scenario) -> None:
            scenario.load(2, SLICE_COUNT)
            scenario.load(3, 0)

        assert run(test).applied == [1, 3]

    def test_newest_of_those_that_wait_is_next(self) -> None:
        """Guards against a backlog, and against configs that postpone each other."""

        async def test(scenario: Scenario) -> None:
            scenario.load(2, SLICE_COUNT)
            await asyncio.sleep(0)
            for version in (3, 5, 4):
                scenario.load(version, SLICE_COUNT)

        assert run(test).applied == [1, 2, 5]

    def test_invalid_one_does_not_supersede(self) -> None:
        """Guards against the loss of a valid config because a newer one is invalid."""

        async def test(scenario: Scenario) -> None:
            scenario.load(2, SLICE_COUNT)
            scenario.load(3, SLICE_COUNT, "fault")

        scenario = run(test)
        assert scenario.applied == [1, 2]
        assert scenario.loader.newest_version == 2
