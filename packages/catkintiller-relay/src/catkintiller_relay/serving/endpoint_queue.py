"""Decides which requests run at the local endpoint, which wait, which are refused.

Load it answers: more arrivals than the endpoint's slots can work off. A request
waits only if it is expected to get a slot while its answer is still of use. The more
important chain goes first, then calls of requests that already run before fresh ones,
then those that came first.
"""

import heapq
from typing import Any, NamedTuple

USABLE_SLOTS_RATIO = 0.95
SERVICE_TIME_EWMA_WEIGHT = 0.02
INITIAL_SERVICE_TIME_S = 0.03
MAX_WAIT_TO_TARGET_RATIO = 0.5
MIN_WAIT_BUDGET_S = 0.02
RESPONSE_MARGIN_S = 0.06  # for the node to notice, and for "not run" to arrive in time
UTILIZATION_TIME_CONSTANT_S = 0.3
BASELINE_TIME_CONSTANT_S = 20.0
MIN_SERVICE_TIME_S = 0.001
MAX_UTILIZATION_RATIO = 4.0
FULL_UTILIZATION_WAIT_S = 0.05  # a wait that counts like all slots once more


class Waiting(NamedTuple):
    """A request that waits for a slot. The order of the fields is the order of runs.

    :param rank: importance of the chain that it belongs to, 0 is highest.
    :param call_order: 0 for calls of running requests, 1 for fresh ones.
    :param number: order of arrival.
    :param expires_at: when it is refused instead.
    """

    rank: int
    call_order: int
    number: int
    expires_at: float
    item: Any


class EndpointQueue:
    """Slots of the local endpoint and the requests that wait for one."""

    def __init__(self) -> None:
        self._limit = 0
        self._running = 0
        self._heap: list[Waiting] = []
        self._gone: set[int] = set()
        self._service_s = INITIAL_SERVICE_TIME_S
        self._number = 0
        self._base_s: float | None = None
        self._use = 0.0
        self.makes_nested_calls = False
        self._refused = 0
        self._arrived = 0

    @property
    def concurrency_limit(self) -> int:
        """Requests that may run at once."""
        return self._limit

    @property
    def running_count(self) -> int:
        """Requests that run."""
        return self._running

    @property
    def waiting_count(self) -> int:
        """Requests that wait."""
        return len(self._heap) - len(self._gone)

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self._running + self.waiting_count

    @property
    def service_time_s(self) -> float:
        """Usual time that a request takes at the endpoint."""
        return self._service_s

    @property
    def capacity(self) -> float:
        """Requests a second that the endpoint can run.

        Where requests wait for calls of their own, their usual time counts and not
        the present one, which grows with the load further down.
        """
        service_s = self._service_s
        if self.makes_nested_calls and self._base_s is not None:
            service_s = self._base_s
        return self._limit / max(MIN_SERVICE_TIME_S, service_s)

    @property
    def utilization(self) -> float:
        """Arriving work over the work that can be done, in the last moments.

        Waiting requests count by the time that they wait, not by their number: a
        fast endpoint works off a queue as long as its slots in a few milliseconds.
        """
        return self._use

    def set_slots(self, slots: int) -> None:
        """Sets the slots that the endpoint announced."""
        self._limit = max(1, int(slots * USABLE_SLOTS_RATIO))

    def estimate_wait_s(self, rank: int, is_nested_call: bool) -> float:
        """Estimates how long one more request would wait."""
        free = self._limit - self._running
        ahead = self._count_before(rank, 0 if is_nested_call else 1)
        if free > ahead:
            return 0.0
        return (ahead - free + 1) * self._service_s / max(1, self._limit)

    def offer(
        self,
        now: float,
        *,
        is_nested_call: bool,
        rank: int,
        remaining_s: float,
        target_latency_s: float,
        item: Any,
    ) -> tuple[bool, int | None]:
        """Offers a request.

        :param remaining_s: time that its sender still waits.
        :param target_latency_s: time within which its answer is worth most.
        :returns: whether it runs now, else its number in the queue, else refused
            (False, None).
        """
        self._arrived += 1
        if self._running < self._limit and not self.waiting_count:
            self._running += 1
            return True, None
        budget = compute_wait_budget_s(
            remaining_s, target_latency_s, self._service_s, is_nested_call
        )
        if self.estimate_wait_s(rank, is_nested_call) > budget:
            self._refused += 1
            return False, None
        self._number += 1
        waiting = Waiting(
            rank, 0 if is_nested_call else 1, self._number, now + budget, item
        )
        heapq.heappush(self._heap, waiting)
        return False, self._number

    def remove(self, number: int) -> None:
        """Takes a waiting request out."""
        self._gone.add(number)

    def release_slot(self, service_s: float | None) -> None:
        """Frees a slot.

        :param service_s: time at the endpoint; None if it says nothing.
        """
        self._running -= 1
        if service_s is not None:
            self._service_s += SERVICE_TIME_EWMA_WEIGHT * (service_s - self._service_s)

    def pop_runnable(self, now: float) -> tuple[list[Any], list[Any]]:
        """Takes the requests that get a slot, and those that waited too long."""
        ready: list[Any] = []
        expired: list[Any] = []
        while self._heap and self._running < self._limit:
            waiting = heapq.heappop(self._heap)
            if waiting.number in self._gone:
                self._gone.discard(waiting.number)
            elif waiting.expires_at < now:
                self._refused += 1
                expired.append(waiting.item)
            else:
                self._running += 1
                ready.append(waiting.item)
        return ready, expired

    def pop_expired(self, now: float) -> list[Any]:
        """Takes the requests that have waited too long."""
        expired = [w for w in self._heap if w.expires_at < now]
        if not expired:
            return []
        late = [w.item for w in expired if w.number not in self._gone]
        self._refused += len(late)
        for waiting in expired:
            self._gone.discard(waiting.number)
        self._heap = [w for w in self._heap if w.expires_at >= now]
        heapq.heapify(self._heap)
        return late

    def pop_all(self) -> list[Any]:
        """Takes out every waiting request."""
        entries = [w.item for w in self._heap if w.number not in self._gone]
        self._heap.clear()
        self._gone.clear()
        return entries

    def update_utilization(self, passed_s: float) -> None:
        """Folds the arrivals of the last interval into the use."""
        if passed_s <= 0:
            return
        limit = max(1, self._limit)
        arriving = self._arrived / passed_s / max(1.0, self.capacity)
        self._update_base(passed_s)
        full_wait_s = max(FULL_UTILIZATION_WAIT_S, self._service_s)
        wait_s = self.waiting_count * self._service_s / limit
        held = self._running / limit + wait_s / full_wait_s
        self._arrived = 0
        seen = min(MAX_UTILIZATION_RATIO, max(arriving, held))
        weight = min(1.0, passed_s / UTILIZATION_TIME_CONSTANT_S)
        self._use += weight * (seen - self._use)

    def _update_base(self, passed_s: float) -> None:
        if self._base_s is None or self._service_s < self._base_s:
            self._base_s = self._service_s
            return
        share = min(1.0, passed_s / BASELINE_TIME_CONSTANT_S)
        self._base_s += share * (self._service_s - self._base_s)

    def pop_refused_count(self) -> int:
        """Takes the number of refusals since the last call."""
        refused, self._refused = self._refused, 0
        return refused

    def _count_before(self, rank: int, call_order: int) -> int:
        own = (rank, call_order)
        return sum((w.rank, w.call_order) <= own for w in self._heap)


def compute_wait_budget_s(
    remaining_s: float, target_latency_s: float, service_s: float, is_nested_call: bool
) -> float:
    """Computes how long a request may wait for a slot."""
    useful = remaining_s - max(1.5 * service_s, RESPONSE_MARGIN_S)
    if not is_nested_call:
        useful = min(useful, MAX_WAIT_TO_TARGET_RATIO * target_latency_s)
    return max(MIN_WAIT_BUDGET_S, useful) if useful > 0 else 0.0
