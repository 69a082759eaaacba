"""Tests of even load: what many nodes reach together, in simulated loads."""

import pytest

from . import figures, simulation

DURATION_S = 20.0
MAX_UNEVEN_RATIO = 0.05
MAX_P99_RATIO = 1.3  # to a single queue for all endpoints


def run(load: str, selection: str) -> simulation.Figures:
    """Runs a load with a selection."""
    return simulation.Simulation(
        figures.LOADS[load], figures.SELECTIONS[selection]
    ).run(DURATION_S)


class TestEvenLoad:
    """Four endpoints, one in each zone, that differ threefold in speed."""

    @pytest.mark.parametrize("load", ["recent", "old", "older", "slow", "crash"])
    def test_no_request_waits_beside_free_slots(self, load: str) -> None:
        """Nodes that know loads late overload one endpoint while others are idle."""
        handed_over = run(load, "handover")
        queue = run(load, "queue")
        assert handed_over.uneven < MAX_UNEVEN_RATIO
        assert handed_over.p99_s <= MAX_P99_RATIO * queue.p99_s
        assert handed_over.crossing < 0.4

    def test_lost_reports_are_no_worse_than_random_selection(self) -> None:
        """Loads that are no longer reported are not taken for the present ones."""
        handed_over, at_random = run("lost", "handover"), run("lost", "random")
        assert handed_over.in_time >= at_random.in_time
        assert handed_over.uneven <= at_random.uneven

    def test_requests_are_not_handed_on_in_overload(self) -> None:
        """Full endpoints would hand all requests to each other."""
        assert run("wave", "handover").messages < 2.5

    def test_endpoint_that_rejects_half_gets_few_requests(self) -> None:
        """Rejections are charged to a retry budget, also in the own zone."""
        rejected = run("reject", "handover").rejected
        assert rejected < 0.5 * run("reject", "random").rejected
