"""Played loads of one saturated service: admission and the queue beside its endpoint.

Requests of rank 0 hold a slot for 160 ms and have to be answered within 500 ms.
Requests of rank 1 make 8 nested calls there, one after the other.

``python -m catkintiller_relay.routing.rank_precedence_test`` prints the figures.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from ..serving import endpoint_queue
from . import load_shedder

SERVICE = "deep"
SLOTS = 100
HIGH_SLOT_S = 0.16
HIGH_TARGET_S = 0.5
CALL_SLOT_S = 0.03
CALL_COUNT = 8
CHAIN_TIMEOUT_S = 3.0
TICK_S = 0.05


class PlayedService:
    """A queue beside an endpoint, admission for it, and two kinds of requests.

    :param high_load: work of rank 0 over the work that the slots can do.
    :param chain_load: the same for rank 1.
    :param known_ratio: part of the work of rank 1 that admission knows about.
    :param reports_rank: whether the endpoint's node reports the work of rank 0.
    :param is_admission_used: whether requests are refused before they reach the queue.
    """

    def __init__(
        self,
        high_load: float,
        chain_load: float,
        known_ratio: float = 1.0,
        *,
        is_admission_used: bool = True,
        reports_rank: bool = True,
    ) -> None:
        self._reports_rank = reports_rank
        self.now = 0.0
        self._rng = random.Random(5)
        self._high_per_s = high_load * SLOTS / HIGH_SLOT_S
        self._chain_per_s = chain_load * SLOTS / (CALL_SLOT_S * CALL_COUNT)
        self._known_ratio = known_ratio
        self._is_admission_used = is_admission_used
        self._queue = endpoint_queue.EndpointQueue()
        self._queue.set_slots(round(SLOTS / endpoint_queue.USABLE_SLOTS_RATIO) + 1)
        self._shedder = load_shedder.LoadShedder()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.offered = {0: 0, 1: 0}
        self.served = {0: 0, 1: 0}
        self.refused_by_admission = {0: 0, 1: 0}
        self._at(0.0, self._arrive_high)
        self._at(0.0, self._arrive_chain)
        self._at(0.0, self._tick)

    def run(self, duration_s: float) -> None:
        """Advances virtual time."""
        end = self.now + duration_s
        while self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def clear(self) -> None:
        """Begins to count anew."""
        for counts in (self.offered, self.served, self.refused_by_admission):
            counts.update({0: 0, 1: 0})

    def get_ratio(self, rank: int) -> float:
        """Returns the ratio of the requests of a rank that were answered in time."""
        return self.served[rank] / self.offered[rank]

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _admit(self, rank: int, slot_s: float) -> bool:
        self.offered[rank] += 1
        if not slot_s:
            return True
        admitted = load_shedder.admit_request(
            {SERVICE: self._shedder}, rank, {SERVICE: slot_s}
        )
        admitted = admitted or not self._is_admission_used
        self.refused_by_admission[rank] += not admitted
        return admitted

    def _arrive_high(self) -> None:
        self._at(self.now + self._rng.expovariate(self._high_per_s), self._arrive_high)
        if self._admit(0, HIGH_SLOT_S):
            begun_at = self.now

            def finish() -> None:
                self.served[0] += self.now - begun_at <= HIGH_TARGET_S

            self._submit(0, HIGH_SLOT_S, HIGH_TARGET_S, finish)

    def _arrive_chain(self) -> None:
        interval_s = self._rng.expovariate(self._chain_per_s)
        self._at(self.now + interval_s, self._arrive_chain)
        if self._admit(1, self._known_ratio * CALL_SLOT_S * CALL_COUNT):
            self._continue_chain(CALL_COUNT, self.now + CHAIN_TIMEOUT_S)

    def _continue_chain(self, remaining_count: int, deadline: float) -> None:
        if not remaining_count:
            self.served[1] += self.now <= deadline
            return
        self._submit(
            1,
            CALL_SLOT_S,
            deadline - self.now,
            lambda: self._continue_chain(remaining_count - 1, deadline),
        )

    def _submit(
        self, rank: int, slot_s: float, remaining_s: float, finish: Callable[[], None]
    ) -> None:
        if remaining_s <= 0.0:
            return
        has_slot, _ = self._queue.offer(
            self.now,
            is_nested_call=rank == 1,
            rank=rank,
            remaining_s=2.0 if rank == 0 else remaining_s,
            target_latency_s=remaining_s,
            item=(slot_s, finish),
            work_s=slot_s,
        )
        if has_slot:
            self._start((slot_s, finish))

    def _start(self, item: tuple[float, Callable[[], None]]) -> None:
        slot_s, finish = item
        held_s = slot_s * self._rng.uniform(0.7, 1.3)

        def end() -> None:
            self._queue.release_slot(held_s)
            finish()
            for each in self._queue.pop_runnable(self.now)[0]:
                self._start(each)

        self._at(self.now + held_s, end)

    def _tick(self) -> None:
        self._at(self.now + TICK_S, self._tick)
        self._queue.pop_expired(self.now)
        self._queue.update_utilization(TICK_S)
        utilization = min(1.5, self._queue.utilization)
        self._shedder.update(
            TICK_S,
            self._queue.usable_slots,
            utilization,
            {},
            min(1.5, self._queue.highest_rank_utilization)
            if self._reports_rank
            else None,
        )


class TestPrecedence:
    """Rank 0 refused because of work of lower ranks that admission does not know."""

    @pytest.mark.parametrize("known_ratio", [1.0, 0.5, 0.0])
    def test_rank_0_is_served_first(self, known_ratio: float) -> None:
        assert play(0.8, 0.4, known_ratio=known_ratio).get_ratio(0) > 0.97

    def test_own_overload_of_rank_0_is_refused_early(self) -> None:
        service = play(1.4, 0.2)
        assert service.refused_by_admission[0] > 0.2 * service.offered[0]
        admitted = service.offered[0] - service.refused_by_admission[0]
        assert service.served[0] > 0.9 * admitted


def play(high_load: float, chain_load: float, **options) -> PlayedService:
    """Plays a load and counts after it has settled."""
    service = PlayedService(high_load, chain_load, **options)
    service.run(6.0)
    service.clear()
    service.run(15.0)
    return service


def print_figures() -> None:
    """Prints the figures of docs/design/FAIR-SHARES.md."""
    for high_load, chain_load in ((0.6, 0.6), (0.8, 0.4), (0.85, 0.3), (1.1, 0.4)):
        for ratio, used, reports in itertools.product(
            (1.0, 0.5, 0.0), (True, False), (True, False)
        ):
            if not used and (not reports or ratio < 1.0):
                continue
            service = play(
                high_load,
                chain_load,
                known_ratio=ratio,
                is_admission_used=used,
                reports_rank=reports,
            )
            print(
                f"load {high_load} + {chain_load} known {ratio}",
                f"admission {used} reports {reports}:",
                f"rank 0 {service.get_ratio(0):.3f} rank 1 {service.get_ratio(1):.3f}",
                f"refused by admission {service.refused_by_admission}",
                f"correction {service._shedder.capacity_correction:.2f}",
            )


if __name__ == "__main__":
    print_figures()
