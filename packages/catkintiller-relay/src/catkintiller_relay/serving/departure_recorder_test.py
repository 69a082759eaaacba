"""Tests of the recording of departures, in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from .. import data
from ..membership import (
    frames,
    node_record,
    node_record_test,
    store_calls,
    store_watcher,
    virtual_cluster_test,
    virtual_time_test,
)
from . import departure_recorder

OWN_ADDRESS = "10.0.0.9:8300"
INSTANCE = "i-1"
START_MS = 1000
ZONES = {"10.0.0.1:1": "zone-1", "10.0.0.2:1": "zone-2", "10.0.0.3:1": "zone-1"}


class SwitchedStore(node_record_test.ListStore):
    """A store whose writes get no response, or an error, until they are allowed.

    :ivar is_silent: whether writes get no response.
    :ivar is_failing: whether writes get an error.
    """

    def __init__(self, values: list[bytes]) -> None:
        super().__init__(values)
        self.is_silent = False
        self.is_failing = False

    async def write_node_record(self, key: str, value: bytes) -> None:
        """Keeps what is written, unless the store does not respond."""
        if self.is_silent:
            await asyncio.sleep(60.0)
        if self.is_failing:
            raise data.StoreError("refused")
        await super().write_node_record(key, value)


class Scene:
    """A recorder with its watcher, store and the messages that it sends.

    :ivar sent: departures that were sent to peers.
    :ivar holders: nodes that are connected, with their zones.
    """

    def __init__(self) -> None:
        self.store = SwitchedStore([])
        self.sent: list[frames.Departure] = []
        self.holders = dict(ZONES)
        log = virtual_cluster_test.SilentLog()
        self.watcher = store_watcher.StoreWatcher(
            self.store,
            virtual_cluster_test.build_settings(OWN_ADDRESS),
            "boot",
            log,
            random.Random(1),
            store_calls.StoreCalls(self.store, log),
            lambda key, record: None,
            lambda: False,
            lambda: False,
        )
        self.recorder = departure_recorder.DepartureRecorder(
            "zone-1", self.watcher, self.sent.append, lambda: self.holders, log
        )

    def copy(self, *addresses: str, start_ms: int = START_MS) -> None:
        """Lets nodes say that they hold a copy."""
        for address in addresses:
            self.hold_copy(address, start_ms)

    def hold_copy(self, address: str, start_ms: int = START_MS) -> bool:
        """Lets a node say that it holds a copy; returns whether it is news."""
        copy = frames.DepartureCopy(INSTANCE, start_ms)
        return self.recorder.handle_copy(address, copy)

    async def record(self, start_ms: int = START_MS) -> bool:
        """Records the departure."""
        return await self.recorder.record(INSTANCE, start_ms)

    def get_written_tombstones(self) -> list[tuple[tuple[str, int], ...]]:
        """Returns the tombstones in the records that the store has got."""
        return [node_record.parse_record(raw).tombstones for raw in self.store.written]


def play(test: Callable[[Scene], Awaitable[None]]) -> None:
    """Plays a test beside a watcher that has read the records."""

    async def run() -> None:
        scene = Scene()
        watching = asyncio.create_task(scene.watcher.watch_node_records())
        await asyncio.sleep(0.01)
        await test(scene)
        watching.cancel()

    virtual_time_test.run(run())


class TestAcknowledgement:
    """A departure counts as recorded only if it outlasts this process."""

    def test_store_responds(self) -> None:
        async def test(scene: Scene) -> None:
            assert await scene.record()
            assert scene.get_written_tombstones()[-1] == ((INSTANCE, START_MS),)

        play(test)

    def test_silent_store_and_nobody_else(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            assert not await scene.record()

        play(test)

    def test_silent_store_and_copies_in_two_zones(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            recording = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            assert scene.sent == [frames.Departure(INSTANCE, START_MS)]
            scene.copy("10.0.0.1:1", "10.0.0.2:1")
            began_at = asyncio.get_running_loop().time()
            assert await recording
            assert asyncio.get_running_loop().time() - began_at < 1.0

        play(test)

    def test_copies_in_one_zone_are_not_enough_if_there_are_others(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            recording = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            scene.copy("10.0.0.1:1", "10.0.0.3:1")
            assert not await recording

        play(test)

    def test_copy_of_an_earlier_start_does_not_count(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            recording = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            scene.copy(*ZONES, start_ms=START_MS - 1)
            assert not await recording

        play(test)

    def test_repeated_announcement_waits_for_the_same_result(self) -> None:
        """The second announcement was once acknowledged while the first one waited."""

        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            first = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            assert not await scene.record()
            assert not await first

        play(test)

    def test_only_peer_that_is_left_is_enough(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_silent = True
            first = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            scene.copy("10.0.0.1:1")
            assert not await first
            scene.holders = {"10.0.0.1:1": "zone-1"}
            assert await scene.record()

        play(test)


class TestLaterWrite:
    """What could not be written is written when the store responds."""

    def test_departure_of_a_silence_is_written_after_it(self) -> None:
        async def test(scene: Scene) -> None:
            scene.store.is_failing = True
            scene.copy("10.0.0.1:1")
            assert scene.recorder.get_unstored()
            scene.store.is_failing = False
            await asyncio.sleep(10.0)
            assert scene.get_written_tombstones()[-1] == ((INSTANCE, START_MS),)
            assert not scene.recorder.get_unstored()

        play(test)

    def test_former_record_is_read_before_it_is_replaced(self) -> None:
        """A departure just after a start would drop the tombstones in the record."""

        async def run() -> None:
            scene = Scene()
            recording = asyncio.create_task(scene.record())
            await asyncio.sleep(0.1)
            assert scene.store.written == []
            watching = asyncio.create_task(scene.watcher.watch_node_records())
            assert await recording
            watching.cancel()

        virtual_time_test.run(run())


class TestCopy:
    """A copy from before a restart of this node is a departure."""

    def test_unknown_departure_is_new(self) -> None:
        async def test(scene: Scene) -> None:
            assert scene.hold_copy("10.0.0.1:1")
            assert not scene.hold_copy("10.0.0.2:1")
            assert scene.watcher.tombstones == {INSTANCE: START_MS}
            assert scene.sent == [frames.Departure(INSTANCE, START_MS)]

        play(test)

    def test_copy_that_is_faster_than_the_store(self) -> None:
        async def test(scene: Scene) -> None:
            assert scene.hold_copy("10.0.0.1:1")
            assert scene.recorder.get_unstored()
            scene.recorder.restore(INSTANCE, START_MS)
            assert not scene.recorder.get_unstored()

        play(test)

    def test_departure_in_the_store_is_known(self) -> None:
        async def test(scene: Scene) -> None:
            assert scene.recorder.restore(INSTANCE, START_MS)
            assert not scene.recorder.restore(INSTANCE, START_MS)
            assert not scene.hold_copy("10.0.0.1:1")
            assert scene.hold_copy("10.0.0.1:1", START_MS + 1)

        play(test)
