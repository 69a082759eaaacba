"""Seeded discrete-event simulation with a simulated clock and without sockets."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from catkintiller_relay.routing import endpoint_selection
from catkintiller_relay.serving import endpoint_queue, service_times

from . import deployments, policies

HOP_LATENCY_S = 0.002
UPDATE_INTERVAL_S = 0.05
NODE_COUNT = 6
# Range of a client's delay before a retry, relative to the target latency.
MIN_RETRY_DELAY_RATIO, MAX_RETRY_DELAY_RATIO = 0.2, 0.5
WORK_SPREAD_RATIO = 0.5


class RootOutcome(NamedTuple):
    """Outcome of a root request.

    :param sent_at_s: time at which the client sent it first.
    :param latency_s: time until its last result, the second attempt included.
    :param served: whether an attempt succeeded before its deadline.
    :param in_target: whether it was served within the target latency of its kind.
    """

    kind: str
    sent_at_s: float
    latency_s: float
    served: bool
    in_target: bool
    attempts: int


class RunResult(NamedTuple):
    """Result of one run.

    :param work_s: seconds of work at endpoints, by whether the client was served.
    """

    outcomes: list[RootOutcome]
    work_s: dict[bool, float]


class _Endpoint:
    def __init__(
        self, name: str, service: deployments.Service, time_factor: float
    ) -> None:
        self.name = name
        self.time_factor = time_factor
        self.service = service.name
        self.queue = policies.build_queue(service.slots)
        self.service_times = service_times.ServiceTimes()


class _RootRequest:
    """A root request and the work that endpoints did for it."""

    def __init__(self, kind: deployments.RequestKind, now_s: float) -> None:
        self.kind = kind
        self.sent_at_s = now_s
        self.attempts = 0
        self.work_s = 0.0


class _Attempt:
    """One attempt of a root request or nested call at an endpoint."""

    def __init__(
        self,
        kind: deployments.RequestKind,
        root: _RootRequest,
        deadline: float,
        on_done: Callable[[bool], None],
    ) -> None:
        self.kind = kind
        self.root = root
        self.deadline = deadline
        self.on_done = on_done
        self.started_at_s = 0.0
        self.work_s = 0.0


class Simulation:
    """Simulation of a load on a deployment under one policy."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        policy: policies.Policy,
        load_profile: deployments.LoadProfile,
        seed: int,
    ) -> None:
        self._policy = policy
        self._load_profile = load_profile
        self._rng = random.Random(seed)
        self._kinds = {kind.name: kind for kind in deployment.kinds}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._now_s = 0.0
        self._outcomes: list[RootOutcome] = []
        self._work_s = {True: 0.0, False: 0.0}
        self._endpoints: dict[str, list[_Endpoint]] = {}
        for service in deployment.services:
            self._endpoints[service.name] = [
                _Endpoint(f"{service.name}-{index}", service, time_factor)
                for index, time_factor in enumerate(service.time_factors)
            ]
        time_factors = {
            service.name: compute_harmonic_mean(service.time_factors)
            for service in deployment.services
        }
        self._required_slots = {
            kind.name: compute_required_slots(self._kinds, time_factors, kind)
            for kind in deployment.kinds
        }

    def run(self, duration_s: float) -> RunResult:
        """Runs the simulation until all requests have ended.

        :param duration_s: length of the load; events after twice that time are dropped.
        """
        for kind in self._kinds.values():
            if kind.rate_per_s:
                self._schedule_arrival(kind)
        self._schedule(UPDATE_INTERVAL_S, lambda: self._update(duration_s))
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            if self._now_s > 2 * duration_s:
                break
            action()
        return RunResult(self._outcomes, self._work_s)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self._now_s + delay_s, self._event_count, action))

    def _schedule_arrival(self, kind: deployments.RequestKind) -> None:
        factor = self._load_profile.get_factor(self._now_s)
        if factor <= 0.0:
            return

        def arrive() -> None:
            self._send_root(_RootRequest(kind, self._now_s))
            self._schedule_arrival(kind)

        self._schedule(self._rng.expovariate(kind.rate_per_s * factor), arrive)

    def _send_root(self, root: _RootRequest) -> None:
        kind = root.kind
        root.attempts += 1
        remaining_s = kind.timeout_s
        if not self._policy.admit_root(
            self._rng.randrange(NODE_COUNT), kind, self._required_slots[kind.name]
        ):
            self._complete_root(root, False)
            return
        self._send_attempt(
            kind,
            root,
            self._now_s + remaining_s,
            False,
            lambda served: self._complete_root(root, served),
        )

    def _complete_root(self, root: _RootRequest, served: bool) -> None:
        kind = root.kind
        if not served and root.attempts == 1:
            delay_s = kind.target_latency_s * self._rng.uniform(
                MIN_RETRY_DELAY_RATIO, MAX_RETRY_DELAY_RATIO
            )
            self._schedule(
                min(delay_s, kind.timeout_s / 3), lambda: self._send_root(root)
            )
            return
        latency_s = self._now_s - root.sent_at_s
        in_target = served and latency_s <= kind.target_latency_s
        self._work_s[served] += root.work_s
        self._outcomes.append(
            RootOutcome(
                kind.name, root.sent_at_s, latency_s, served, in_target, root.attempts
            )
        )

    def _send_attempt(
        self,
        kind: deployments.RequestKind,
        root: _RootRequest,
        deadline: float,
        is_nested_call: bool,
        on_done: Callable[[bool], None],
    ) -> None:
        candidates = [
            endpoint_selection.Candidate(
                str(index),
                endpoint.queue.load,
                endpoint.queue.concurrency_limit,
                endpoint.service_times.get_own_s(self._now_s, kind.name),
                False,
                True,
                0.0,
                0.0,
            )
            for index, endpoint in enumerate(self._endpoints[kind.service])
        ]
        chosen = self._policy.choose_endpoint(candidates, self._rng)
        endpoint = self._endpoints[kind.service][int(chosen.node)]
        attempt = _Attempt(
            kind, root, min(deadline, self._now_s + kind.timeout_s), on_done
        )
        self._schedule(
            HOP_LATENCY_S, lambda: self._enqueue(endpoint, attempt, is_nested_call)
        )

    def _enqueue(
        self, endpoint: _Endpoint, attempt: _Attempt, is_nested_call: bool
    ) -> None:
        remaining_s, target_latency_s = self._policy.get_time_limits(
            attempt.deadline - self._now_s, attempt.kind.target_latency_s
        )
        rank, is_nested_call = self._policy.get_queue_order(
            attempt.root.kind.rank, is_nested_call
        )
        runs_now, queue_number = endpoint.queue.offer(
            self._now_s,
            is_nested_call=is_nested_call,
            rank=rank,
            remaining_s=remaining_s,
            target_latency_s=target_latency_s,
            item=attempt,
            work_s=endpoint.service_times.get_occupancy_s(attempt.kind.name),
        )
        if runs_now:
            self._start_attempt(endpoint, attempt)
        elif queue_number is None:
            self._schedule(HOP_LATENCY_S, lambda: attempt.on_done(False))

    def _start_attempt(self, endpoint: _Endpoint, attempt: _Attempt) -> None:
        attempt.started_at_s = self._now_s
        if self._now_s >= attempt.deadline:
            self._finish_attempt(endpoint, attempt, False)
            return
        remaining_calls = [
            call for call in attempt.kind.nested_calls for _ in range(call.call_count)
        ]
        self._send_nested_calls(endpoint, attempt, remaining_calls)

    def _send_nested_calls(
        self,
        endpoint: _Endpoint,
        attempt: _Attempt,
        remaining_calls: list[deployments.NestedCall],
    ) -> None:
        if not remaining_calls:
            self._run_work(endpoint, attempt)
            return
        group = (
            remaining_calls if remaining_calls[0].concurrent else remaining_calls[:1]
        )
        rest = remaining_calls[len(group) :]
        results: list[bool] = []

        def handle_result(served: bool) -> None:
            results.append(served)
            if not served and results.count(False) == 1:
                self._finish_attempt(endpoint, attempt, False)
            elif len(results) == len(group) and all(results):
                self._send_nested_calls(endpoint, attempt, rest)

        for call in group:
            kind = self._kinds[call.kind]
            self._send_attempt(
                kind, attempt.root, attempt.deadline, True, handle_result
            )

    def _run_work(self, endpoint: _Endpoint, attempt: _Attempt) -> None:
        mean_s = attempt.kind.mean_work_s * endpoint.time_factor
        work_s = mean_s * self._rng.uniform(
            1 - WORK_SPREAD_RATIO, 1 + WORK_SPREAD_RATIO
        )
        attempt.root.work_s += work_s
        attempt.work_s = work_s
        self._schedule(
            work_s,
            lambda: self._finish_attempt(
                endpoint, attempt, self._now_s <= attempt.deadline
            ),
        )

    def _finish_attempt(
        self, endpoint: _Endpoint, attempt: _Attempt, served: bool
    ) -> None:
        total_s = self._now_s - attempt.started_at_s
        endpoint.queue.release_slot(total_s if served else None)
        if served:
            endpoint.service_times.record(
                self._now_s, attempt.kind.name, total_s, attempt.work_s
            )
        self._schedule(HOP_LATENCY_S, lambda: attempt.on_done(served))
        self._start_waiting(endpoint)

    def _start_waiting(self, endpoint: _Endpoint) -> None:
        ready, expired = endpoint.queue.pop_runnable(self._now_s)
        for expired_attempt in expired:
            self._schedule(
                HOP_LATENCY_S,
                lambda expired_attempt=expired_attempt: expired_attempt.on_done(False),
            )
        for next_attempt in ready:
            self._start_attempt(endpoint, next_attempt)

    def _update(self, duration_s: float) -> None:
        slots, utilizations = {}, {}
        for name, endpoints in self._endpoints.items():
            for endpoint in endpoints:
                for expired_attempt in endpoint.queue.pop_expired(self._now_s):
                    expired_attempt.on_done(False)
                endpoint.queue.update_utilization(UPDATE_INTERVAL_S)
            queues: list[endpoint_queue.EndpointQueue] = [
                endpoint.queue for endpoint in endpoints
            ]
            slots[name] = sum(queue.concurrency_limit for queue in queues)
            busy_slots = sum(
                queue.concurrency_limit * queue.utilization for queue in queues
            )
            utilizations[name] = busy_slots / slots[name]
        self._policy.update_load(UPDATE_INTERVAL_S, slots, utilizations)
        if self._now_s < 1.5 * duration_s:
            self._schedule(UPDATE_INTERVAL_S, lambda: self._update(duration_s))


def compute_harmonic_mean(values: tuple[float, ...]) -> float:
    """Computes the harmonic mean of positive values."""
    return len(values) / sum(1.0 / value for value in values)


def compute_occupancy_s(
    kinds: dict[str, deployments.RequestKind],
    time_factors: dict[str, float],
    kind: deployments.RequestKind,
) -> float:
    """Computes for how many seconds a request holds a slot, nested calls included."""
    occupancy_s = kind.mean_work_s * time_factors[kind.service]
    for call in kind.nested_calls:
        sequential_count = 1 if call.concurrent else call.call_count
        nested_s = compute_occupancy_s(kinds, time_factors, kinds[call.kind])
        occupancy_s += sequential_count * nested_s
    return occupancy_s


def compute_required_slots(
    kinds: dict[str, deployments.RequestKind],
    time_factors: dict[str, float],
    kind: deployments.RequestKind,
) -> policies.RequiredSlots:
    """Computes the slot-seconds at each service that one request needs, with itself.

    :param time_factors: mean factor on the work of a service's endpoints.
    """
    required = {kind.service: compute_occupancy_s(kinds, time_factors, kind)}
    for call in kind.nested_calls:
        nested = compute_required_slots(kinds, time_factors, kinds[call.kind])
        for service, slot_s in nested.items():
            required[service] = required.get(service, 0.0) + call.call_count * slot_s
    return required
