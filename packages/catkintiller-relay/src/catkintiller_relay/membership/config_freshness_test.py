"""Tests that a config is in force within its bound after the store was silent."""

import asyncio
import random

import pytest

from . import (
    config_role,
    config_watcher,
    read_schedule,
    virtual_cluster_test,
    virtual_time_test,
)

CONFIG_BOUND_S = 2.0
READ_INTERVAL_S = config_watcher.READ_INTERVAL_RATIO * CONFIG_BOUND_S
SETTLING_S = 8.0
QUIET_S = 60.0
MAX_QUIET_CALLS_PER_S = 3.0
SEEDS = range(12)


async def start_cluster(
    node_count: int, seed: int
) -> virtual_cluster_test.VirtualCluster:
    """Starts nodes and waits until they have chosen those that read configs."""
    cluster = virtual_cluster_test.VirtualCluster(node_count, seed)
    await cluster.start()
    await asyncio.sleep(SETTLING_S)
    return cluster


async def run_silence(
    node_count: int, seed: int, silence_s: float
) -> virtual_cluster_test.VirtualCluster:
    """Lets the store fall silent soon after a change, and writes when it is back."""
    cluster = await start_cluster(node_count, seed)
    await cluster.store.write(2)
    await asyncio.sleep(cluster.rng.uniform(0.1, SETTLING_S))
    cluster.store.fall_silent(silence_s)
    await asyncio.sleep(silence_s)
    await cluster.store.write(3)
    await asyncio.sleep(CONFIG_BOUND_S)
    return cluster


class TestSilentStore:
    """The store gives no response for some time, from any moment on."""

    @pytest.mark.parametrize("silence_s", [0.01, 0.5, 3.0, 8.5, 30.0])
    def test_config_is_in_force_in_time_after_a_silent_store(
        self, silence_s: float
    ) -> None:
        outdated_counts = []
        for seed in SEEDS:
            cluster = virtual_time_test.run(run_silence(13, seed, silence_s))
            outdated_counts.append(cluster.count_outdated(3))
        assert outdated_counts == [0] * len(SEEDS)

    def test_config_is_in_force_in_time_at_many_nodes(self) -> None:
        cluster = virtual_time_test.run(run_silence(300, 1, 8.5))
        assert cluster.count_outdated(3) == 0

    @pytest.mark.parametrize("silence_s", [0.5, 8.5])
    def test_config_is_in_force_in_time_at_nodes_that_start_meanwhile(
        self, silence_s: float
    ) -> None:
        async def run(seed: int) -> int:
            cluster = virtual_cluster_test.VirtualCluster(13, seed)
            cluster.store.fall_silent(silence_s)
            await cluster.start()
            await asyncio.sleep(silence_s + CONFIG_BOUND_S)
            return cluster.count_outdated(1)

        assert [virtual_time_test.run(run(seed)) for seed in SEEDS] == [0] * len(SEEDS)

    def test_readers_that_are_cut_off_do_not_postpone_the_reads_of_others(
        self,
    ) -> None:
        async def run(seed: int) -> int:
            cluster = await start_cluster(13, seed)
            for node in cluster.readers[1:]:
                node.client.is_cut = True
            await asyncio.sleep(cluster.rng.uniform(0.0, SETTLING_S))
            cluster.store.fall_silent(0.01)
            await asyncio.sleep(0.01)
            await cluster.store.write(2)
            await asyncio.sleep(CONFIG_BOUND_S)
            return cluster.count_outdated(2)

        assert [virtual_time_test.run(run(seed)) for seed in SEEDS] == [0] * len(SEEDS)


class TestCalls:
    """Calls to the store, which are priced."""

    def test_readers_read_in_turn_while_the_store_responds(self) -> None:
        async def run() -> float:
            cluster = await start_cluster(13, 1)
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(QUIET_S)
            return cluster.count_calls(now, now + QUIET_S) / QUIET_S

        assert virtual_time_test.run(run()) <= MAX_QUIET_CALLS_PER_S

    def test_calls_are_bounded_while_the_store_is_silent_and_after_it(self) -> None:
        async def run() -> tuple[int, int]:
            cluster = await start_cluster(84, 1)
            begin = asyncio.get_running_loop().time()
            cluster.store.fall_silent(QUIET_S)
            await asyncio.sleep(QUIET_S + READ_INTERVAL_S)
            silent_until = begin + QUIET_S
            during = cluster.count_calls(begin, silent_until)
            after = cluster.count_calls(silent_until, silent_until + READ_INTERVAL_S)
            return during, after

        during, after = virtual_time_test.run(run())
        # Nodes that decide at the same moment may exceed the number of those that try.
        max_trying_count = 2 * config_role.MAX_TRYING_COUNT
        assert during <= max_trying_count * QUIET_S / READ_INTERVAL_S
        assert after <= 2 * max_trying_count


class TestInterval:
    """The interval of the short reads follows from the bound in the settings."""

    def test_it_is_half_of_the_bound(self) -> None:
        assert config_watcher.compute_read_interval_s(CONFIG_BOUND_S) == READ_INTERVAL_S

    @pytest.mark.parametrize("bound_s", [0.0, 0.001, 1e9])
    def test_extreme_bounds_cause_neither_a_storm_nor_a_gap(
        self, bound_s: float
    ) -> None:
        interval_s = config_watcher.compute_read_interval_s(bound_s)
        assert config_watcher.MIN_READ_INTERVAL_S <= interval_s
        assert interval_s <= config_watcher.CONFIG_POLL_TIMEOUT_S


class TestSchedule:
    """The time of the next read, of one node."""

    def build_schedule(self) -> read_schedule.ReadSchedule:
        """Builds a schedule of a node that began a read at 100 s."""
        rng = random.Random(1)
        schedule = read_schedule.ReadSchedule(READ_INTERVAL_S, rng)
        schedule.begin_read(100.0)
        return schedule

    def test_read_is_due_within_the_interval_of_the_last_one(self) -> None:
        due_at = self.build_schedule().due_at
        min_s = read_schedule.MIN_INTERVAL_RATIO * READ_INTERVAL_S
        assert 100.0 + min_s <= due_at <= 100.0 + READ_INTERVAL_S

    def test_successful_read_of_a_peer_postpones_it(self) -> None:
        schedule = self.build_schedule()
        schedule.confirm(100.5)
        assert 100.5 < schedule.due_at <= 100.5 + READ_INTERVAL_S

    def test_older_read_of_a_peer_changes_nothing(self) -> None:
        schedule = self.build_schedule()
        schedule.confirm(100.5)
        due_at = schedule.due_at
        schedule.confirm(99.0)
        assert schedule.due_at == due_at and schedule.confirmed_at == 100.5
