"""Queue that limits the concurrency and the rate of requests of the local endpoint.

It protects the endpoint from more requests than its slots can process and from more
requests per second than the rate limit that it names. A request is
queued only if it is expected to get a slot while its response is still of use, and is
refused otherwise. Queued requests run in the order of their rank (0 first), then nested
calls before root requests, then in the order of arrival.
"""

import heapq
from typing import Any, NamedTuple

from . import rate_limiter

USABLE_SLOTS_RATIO = 0.95
SERVICE_TIME_EWMA_WEIGHT = 0.02
INITIAL_SERVICE_TIME_S = 0.03
MAX_WAIT_TO_TARGET_RATIO = 0.5
MIN_WAIT_BUDGET_S = 0.02
# Time that the node needs to detect an expired request, and that the refusal needs to
# reach the sender before the deadline.
RESPONSE_MARGIN_S = 0.06
UTILIZATION_TIME_CONSTANT_S = 0.3
MAX_UTILIZATION_RATIO = 4.0
# Expected wait in the queue that adds 1.0 to the utilization, like a full set of slots.
FULL_UTILIZATION_WAIT_S = 0.05
# Requests that run until the endpoint's first response, which tells its rate limit.
FIRST_CONCURRENCY = 4
HIGHEST_RANK = 0


class QueuedRequest(NamedTuple):
    """A request that waits for a slot.

    Requests run in the order in which these tuples compare.

    :param rank: importance of its root request; 0 is highest.
    :param call_priority: 0 for nested calls, 1 for root requests.
    :param number: position in the order of arrival.
    :param expires_at: time after which the request is refused, in seconds.
    :param item: request as the caller passed it.
    """

    rank: int
    call_priority: int
    number: int
    expires_at: float
    item: Any


class EndpointQueue:
    """Slots of the local endpoint and the requests that wait for a slot."""

    def __init__(self) -> None:
        self._concurrency_limit = 0
        self._rate_limiter = rate_limiter.RateLimiter()
        self._awaits_first_response = False
        self._running_count = 0
        self._heap: list[QueuedRequest] = []
        self._removed_numbers: set[int] = set()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._last_number = 0
        self._utilization = 0.0
        self._refused_count = 0
        self._arrived_work_s = 0.0
        self._highest_rank_utilization = 0.0
        self._highest_rank_work_s = 0.0

    @property
    def concurrency_limit(self) -> int:
        """Number of requests that may run concurrently."""
        return self._concurrency_limit

    @property
    def rate_limit(self) -> float | None:
        """Number of requests per second that may start; None if not limited."""
        return self._rate_limiter.rate

    @property
    def usable_slots(self) -> float:
        """Number of slots that requests can hold on average, see the rate limit."""
        return rate_limiter.compute_usable_slots(
            self._concurrency_limit, self.rate_limit, self._service_time_s
        )

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return self._running_count

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._heap) - len(self._removed_numbers)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is queued."""
        return not self._heap

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return self._running_count + self.queued_count

    @property
    def service_time_s(self) -> float:
        """Moving average of the time that a request takes at the endpoint."""
        return self._service_time_s

    @property
    def utilization(self) -> float:
        """Recent ratio of arriving work to the work that can be done.

        Queued requests count by their expected wait, not by their number: a fast
        endpoint processes a queue as long as its number of slots in a few milliseconds.
        """
        return self._utilization

    @property
    def highest_rank_utilization(self) -> float:
        """Part of the utilization that requests of the highest rank cause.

        They run first, so they lack capacity only if this part exceeds 1.
        """
        return self._highest_rank_utilization

    def set_slots(self, slots: int) -> None:
        """Sets the concurrency limit from the announced number of slots."""
        self._concurrency_limit = max(1, int(slots * USABLE_SLOTS_RATIO))

    def await_first_response(self) -> None:
        """Limits the requests until a response tells the rate limit.

        Other nodes may already have sent requests to the endpoint through a former
        process of this node, which knew the limit.
        """
        self._awaits_first_response = True

    def set_rate_limit(self, now: float, limit: float | None) -> None:
        """Sets the rate limit that a response has told, or none for a new start.

        :param now: time of the event loop in seconds.
        :param limit: requests per second; None for no limit.
        """
        self._awaits_first_response = False
        self._rate_limiter.set_rate(now, limit)

    def get_rate_delay_s(self, now: float) -> float:
        """Returns how long the next queued request waits for the rate limit only.

        :param now: time of the event loop in seconds.
        :returns: the time in seconds; 0 if it waits for a slot or nothing is queued.
        """
        if not self.queued_count or not self._has_free_slot():
            return 0.0
        return self._rate_limiter.get_delay_s(now)

    def is_full(self, now: float) -> bool:
        """Returns whether one more request would wait for a slot or the rate limit.

        :param now: time of the event loop in seconds.
        """
        if self.queued_count or not self._has_free_slot():
            return True
        return not self._rate_limiter.allows(now)

    def estimate_wait_s(self, now: float, rank: int, is_nested_call: bool) -> float:
        """Estimates how long an additional request would wait, in seconds."""
        free_slots = self._concurrency_limit - self._running_count
        ahead_count = self._count_ahead(rank, 0 if is_nested_call else 1)
        rate_delay_s = self._rate_limiter.get_delay_s(now, ahead_count)
        if free_slots > ahead_count:
            return rate_delay_s
        slot_delay_s = (
            (ahead_count - free_slots + 1)
            * self._service_time_s
            / max(1, self._concurrency_limit)
        )
        return max(rate_delay_s, slot_delay_s)

    def offer(
        self,
        now: float,
        *,
        is_nested_call: bool,
        rank: int,
        remaining_s: float,
        target_latency_s: float,
        item: Any,
        work_s: float | None = None,
    ) -> tuple[bool, int | None]:
        """Occupies a slot for a request, queues it or refuses it.

        :param now: time of the event loop in seconds.
        :param is_nested_call: whether an endpoint sends it while it runs a request.
        :param rank: importance of its root request; 0 is highest.
        :param remaining_s: time until the deadline, in seconds.
        :param target_latency_s: target for the response time, in seconds.
        :param item: request that the queue returns when it runs or expires.
        :param work_s: time in seconds for which it will hold a slot; None for the
            average of all requests.
        :returns: (True, None) if it gets a slot, (False, number) if it is queued,
            (False, None) if it is refused.
        """
        work_s = self._service_time_s if work_s is None else work_s
        self._arrived_work_s += work_s
        if rank == HIGHEST_RANK:
            self._highest_rank_work_s += work_s
        if not self.queued_count and self._has_free_slot():
            if self._rate_limiter.allows(now):
                self._occupy_slot(now)
                return True, None
        wait_budget_s = compute_wait_budget_s(
            remaining_s, target_latency_s, self._service_time_s, is_nested_call
        )
        if self.estimate_wait_s(now, rank, is_nested_call) > wait_budget_s:
            self._refused_count += 1
            return False, None
        self._last_number += 1
        queued = QueuedRequest(
            rank,
            0 if is_nested_call else 1,
            self._last_number,
            now + wait_budget_s,
            item,
        )
        heapq.heappush(self._heap, queued)
        return False, self._last_number

    def remove(self, number: int) -> None:
        """Removes a queued request by its number."""
        self._removed_numbers.add(number)

    def release_slot(self, service_time_s: float | None) -> None:
        """Releases a slot and updates the average service time.

        :param service_time_s: time at the endpoint in seconds; None leaves the average
            unchanged.
        """
        self._running_count -= 1
        if service_time_s is not None:
            self._service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
                service_time_s - self._service_time_s
            )

    def pop_runnable(self, now: float) -> tuple[list[Any], list[Any]]:
        """Removes requests from the queue while slots and rate limit allow it.

        :returns: requests that get a slot, requests that expired.
        """
        runnable: list[Any] = []
        expired: list[Any] = []
        while self._heap and self._has_free_slot() and self._rate_limiter.allows(now):
            queued = heapq.heappop(self._heap)
            if queued.number in self._removed_numbers:
                self._removed_numbers.discard(queued.number)
            elif queued.expires_at < now:
                self._refused_count += 1
                expired.append(queued.item)
            else:
                self._occupy_slot(now)
                runnable.append(queued.item)
        return runnable, expired

    def pop_expired(self, now: float) -> list[Any]:
        """Removes and returns the expired requests."""
        expired = [entry for entry in self._heap if entry.expires_at < now]
        if not expired:
            return []
        refused = [
            entry.item for entry in expired if entry.number not in self._removed_numbers
        ]
        self._refused_count += len(refused)
        for queued in expired:
            self._removed_numbers.discard(queued.number)
        self._heap = [entry for entry in self._heap if entry.expires_at >= now]
        heapq.heapify(self._heap)
        return refused

    def pop_all(self) -> list[Any]:
        """Removes and returns all queued requests."""
        items = [
            entry.item
            for entry in self._heap
            if entry.number not in self._removed_numbers
        ]
        self._heap.clear()
        self._removed_numbers.clear()
        return items

    def update_utilization(self, elapsed_s: float) -> None:
        """Updates the utilization with the load since the last call.

        :param elapsed_s: time since the last call, in seconds.
        """
        if elapsed_s <= 0:
            return
        usable_slots = max(1.0, self.usable_slots)
        arrival_utilization = self._arrived_work_s / elapsed_s / usable_slots
        full_utilization_wait_s = max(FULL_UTILIZATION_WAIT_S, self._service_time_s)
        queue_wait_s = self.queued_count * self._service_time_s / usable_slots
        occupancy = (
            self._running_count / usable_slots + queue_wait_s / full_utilization_wait_s
        )
        self._arrived_work_s = 0.0
        sample = min(MAX_UTILIZATION_RATIO, max(arrival_utilization, occupancy))
        weight = min(1.0, elapsed_s / UTILIZATION_TIME_CONSTANT_S)
        self._utilization += weight * (sample - self._utilization)
        waiting_count = sum(entry.rank == HIGHEST_RANK for entry in self._heap)
        wait_s = waiting_count * self._service_time_s / usable_slots
        sample = self._highest_rank_work_s / elapsed_s / usable_slots
        sample = min(MAX_UTILIZATION_RATIO, sample + wait_s / full_utilization_wait_s)
        self._highest_rank_work_s = 0.0
        self._highest_rank_utilization += weight * (
            sample - self._highest_rank_utilization
        )

    def pop_refused_count(self) -> int:
        """Returns the number of refusals since the last call and resets it."""
        refused_count, self._refused_count = self._refused_count, 0
        return refused_count

    def _has_free_slot(self) -> bool:
        limit = self._concurrency_limit
        if self._awaits_first_response:
            limit = min(limit, FIRST_CONCURRENCY)
        return self._running_count < limit

    def _occupy_slot(self, now: float) -> None:
        self._rate_limiter.take(now)
        self._running_count += 1

    def _count_ahead(self, rank: int, call_priority: int) -> int:
        key = (rank, call_priority)
        return sum((entry.rank, entry.call_priority) <= key for entry in self._heap)


def compute_wait_budget_s(
    remaining_s: float,
    target_latency_s: float,
    service_time_s: float,
    is_nested_call: bool,
) -> float:
    """Computes how long a request may wait for a slot, in seconds.

    The wait leaves time for the request to run and for its response to be sent. Root
    requests wait at most for a fixed share of the target latency.

    :param remaining_s: time until the deadline, in seconds.
    :param target_latency_s: target for the response time, in seconds.
    :param service_time_s: average time at the endpoint, in seconds.
    :param is_nested_call: whether an endpoint sends it while it runs a request.
    """
    useful_wait_s = remaining_s - max(1.5 * service_time_s, RESPONSE_MARGIN_S)
    if not is_nested_call:
        useful_wait_s = min(useful_wait_s, MAX_WAIT_TO_TARGET_RATIO * target_latency_s)
    return max(MIN_WAIT_BUDGET_S, useful_wait_s) if useful_wait_s > 0 else 0.0
