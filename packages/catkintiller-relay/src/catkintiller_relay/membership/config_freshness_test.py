"""Tests that a config is in force within its bound after the store was silent."""

import asyncio

import pytest

from . import virtual_cluster_test, virtual_time_test

CONFIG_BOUND_S = 2.0
SETTLING_S = 8.0
SEEDS = range(12)


async def run_silence(
    node_count: int, seed: int, silence_s: float
) -> virtual_cluster_test.VirtualCluster:
    """Lets the store fall silent soon after a change, and writes when it is back."""
    cluster = virtual_cluster_test.VirtualCluster(node_count, seed)
    await cluster.start()
    await asyncio.sleep(SETTLING_S)
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
