"""Simulates nodes that choose between the endpoints of one service, without a network.

Handles the loads of the design note on even load: endpoints that differ threefold in
speed, one in each availability zone, with 62 nodes that know the load of an endpoint as
it was some time ago; endpoints that slow down for a moment; waves with a burst; joins
and crashes; reports that are lost; an endpoint that rejects half of its requests.
:mod:`.figures` names the loads and prints the figures.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from catkintiller_relay.routing import endpoint_selection, failure_tracker

NODE_COUNT = 62
ZONE_COUNT = 4
SLOTS = 36
SPEEDS = (0.5, 1.0, 1.0, 1.5)
WORK_S = 0.1
LONG_RATIO = 0.03  # of the requests
LONG_FACTOR = 7.0
MEAN_WORK_S = WORK_S * (1.0 + LONG_RATIO * (LONG_FACTOR - 1.0))
SAME_ZONE_S = 0.0002  # one way
OTHER_ZONE_S = 0.0009  # one way
MAX_WAIT_S = 0.5
IN_TIME_S = 1.0
SLOW_RATIO = 0.15  # of the endpoints at any moment
SLOW_FACTOR = 2.5
SLOW_PERIOD_S = 0.6
WAVE_PERIOD_S = 15.0
WAVE_RATIO = 0.55
BURST_FACTOR = 1.8
BURST_S = (8.0, 9.5)  # within each period of 20 s
BURST_PERIOD_S = 20.0
CRASH_PERIOD_S = 12.0
DOWN_S = 4.0
WARM_UP_S = 3.0
REJECTED_RATIO = 0.55
OWN_TIME_WEIGHT = 0.03
DURATION_S = 60.0


class Load(NamedTuple):
    """A load to simulate.

    :param utilization: mean demand over the capacity of all endpoints together.
    :param report_interval_s: time between two reports of an endpoint to a node.
    :param replies_carry_load: whether replies report the load as well.
    :param reports_are_lost: whether no report and no load in a reply ever arrives.
    :param slows_down: whether endpoints are slow for a moment.
    :param waves: whether demand oscillates and has bursts.
    :param crashes: whether endpoints crash and return, slow at first.
    :param rejecting: whether the first endpoint of speed 1 rejects requests.
    """

    utilization: float
    report_interval_s: float = 0.4
    replies_carry_load: bool = True
    reports_are_lost: bool = False
    slows_down: bool = False
    waves: bool = False
    crashes: bool = False
    rejecting: bool = False


class Endpoint:
    """A simulated endpoint.

    :ivar waiting: requests that wait for a slot, in the order of arrival.
    """

    def __init__(self, zone: int, speed: float) -> None:
        self.zone = zone
        self.speed = speed
        self.running = 0
        self.waiting: collections.deque[Request] = collections.deque()
        self.is_slow = False
        self.is_down = False
        self.started_at = -WARM_UP_S
        self.rejected_ratio = 0.0
        self.start_number = 0
        self.own_time_s: float | None = None

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self.waiting)

    def is_warm(self, now: float) -> bool:
        """Returns whether it has warmed up."""
        return now >= self.started_at + WARM_UP_S

    def record_duration(self, duration_s: float) -> None:
        """Updates the moving average of the time that a request runs."""
        known_s = duration_s if self.own_time_s is None else self.own_time_s
        self.own_time_s = known_s + OWN_TIME_WEIGHT * (duration_s - known_s)

    def compute_duration_s(self, now: float, work_s: float) -> float:
        """Computes how long a request runs that starts now."""
        factor = SLOW_FACTOR if self.is_slow or not self.is_warm(now) else 1.0
        return work_s * factor / self.speed


class Request:
    """A simulated request."""

    def __init__(self, node: int, now: float, work_s: float) -> None:
        self.node = node
        self.arrived_at = now
        self.work_s = work_s
        self.sent_to: set[int] = set()
        self.queued_at = 0.0
        self.may_hand_over = False


class View:
    """What one node knows of one endpoint."""

    def __init__(self, slots: int) -> None:
        self.load = 0.0
        self.known_at = 0.0
        self.sent = 0
        self.outstanding = 0
        self.service_time_s: float | None = None
        self.slots = slots
        self.failures = failure_tracker.FailureTracker()


class Figures(NamedTuple):
    """Result of a simulation.

    :param in_time: share of the requests served in time.
    :param p50_s: median latency of those served.
    :param p99_s: 99th percentile of their latency.
    :param uneven: share of the time in which a request waits while another endpoint
        has free slots.
    :param crossing: share of the requests sent to another zone, each time counted.
    :param messages: messages to and from endpoints for each request.
    :param rejected: share of the requests that an endpoint rejected.
    """

    in_time: float
    p50_s: float
    p99_s: float
    uneven: float
    crossing: float
    messages: float
    rejected: float


class Simulation:
    """Nodes, endpoints and the events between them.

    :param select: returns the index of an endpoint and whether it may hand the request
        back; called with the simulation, the request and the time. Without it, there
        is a single queue for all endpoints.
    """

    def __init__(
        self,
        load: Load,
        select: "Callable[[Simulation, Request, float], tuple[int, bool]] | None",
        seed: int = 1,
    ) -> None:
        self.load = load
        self._select = select
        self._arrival_rng = random.Random(seed + 2)
        self._speed_rng = random.Random(seed + 3)
        self._rng = random.Random(seed)
        self.choice_rng = random.Random(seed + 1)
        self.endpoints = [Endpoint(i, speed) for i, speed in enumerate(SPEEDS)]
        if load.rejecting:
            self.endpoints[1].rejected_ratio = REJECTED_RATIO
        self.views = [[View(SLOTS) for _ in SPEEDS] for _ in range(NODE_COUNT)]
        self._shared: collections.deque[Request] = collections.deque()
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self._latencies_s: list[float] = []
        self._request_count = self._crossing_count = self._message_count = 0
        self._sent_count = self._in_time_count = self._rejected_count = 0
        self._uneven_s = self._last_event_at = 0.0

    def run(self, duration_s: float = DURATION_S) -> Figures:
        """Runs the load for a time and returns the figures."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._change_speeds)
        if self.load.crashes:
            self._schedule(CRASH_PERIOD_S / 2, self._crash)
        for node, index in itertools.product(range(NODE_COUNT), range(len(SPEEDS))):
            self._schedule(
                self._rng.random() * self.load.report_interval_s,
                self._report,
                node,
                index,
            )
        while self._events[0][0] < duration_s:
            now, _, action, arguments = heapq.heappop(self._events)
            if self._is_uneven():
                self._uneven_s += now - self._last_event_at
            self._last_event_at = now
            action(now, *arguments)
        latencies_s = sorted(self._latencies_s)
        count = self._request_count
        return Figures(
            self._in_time_count / count,
            latencies_s[len(latencies_s) // 2],
            latencies_s[int(0.99 * len(latencies_s))],
            self._uneven_s / duration_s,
            self._crossing_count / self._sent_count,
            self._message_count / count,
            self._rejected_count / count,
        )

    def get_up(self, request: Request) -> list[int]:
        """Returns the endpoints that accept requests and have not had this one."""
        up = [i for i, each in enumerate(self.endpoints) if not each.is_down]
        return [i for i in up if i not in request.sent_to] or up

    def get_candidates(
        self, request: Request, now: float
    ) -> list[endpoint_selection.Candidate]:
        """Returns the endpoints as the node of a request knows them."""
        zone = request.node % ZONE_COUNT
        candidates = []
        for index in self.get_up(request):
            view = self.views[request.node][index]
            same_zone = self.endpoints[index].zone == zone
            candidates.append(self.build_candidate(index, view, same_zone, now))
        return candidates

    def build_candidate(
        self, index: int, view: View, same_zone: bool, now: float
    ) -> endpoint_selection.Candidate:
        """Builds a candidate from what a node knows."""
        return endpoint_selection.Candidate(
            str(index),
            view.load + view.sent,
            view.slots,
            view.service_time_s,
            False,
            same_zone,
            2 * (SAME_ZONE_S if same_zone else OTHER_ZONE_S),
            view.failures.get_ratio(now),
            now - view.known_at,
        )

    def _schedule(self, at: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _is_uneven(self) -> bool:
        if self._select is None:
            return False
        waits = [each for each in self.endpoints if each.waiting]
        return bool(waits) and any(
            each.running < SLOTS and not each.is_down for each in self.endpoints
        )

    def _compute_rate_per_s(self, now: float) -> float:
        rate = self.load.utilization * SLOTS * sum(SPEEDS) / MEAN_WORK_S
        if self.load.waves:
            rate *= 1.0 + WAVE_RATIO * math.sin(2 * math.pi * now / WAVE_PERIOD_S)
            if BURST_S[0] <= now % BURST_PERIOD_S < BURST_S[1]:
                rate *= BURST_FACTOR
        return rate

    def _arrive(self, now: float) -> None:
        rng = self._arrival_rng
        next_at = now + rng.expovariate(self._compute_rate_per_s(now))
        self._schedule(next_at, self._arrive)
        work_s = WORK_S * rng.uniform(0.5, 1.5)
        if rng.random() < LONG_RATIO:
            work_s *= LONG_FACTOR
        request = Request(rng.randrange(NODE_COUNT), now, work_s)
        self._request_count += 1
        if self._select is None:
            self._shared.append(request)
            self._start_shared(now)
        else:
            self._send(now, request)

    def _start_shared(self, now: float) -> None:
        """Starts requests of the single queue, in their own zone if it has room."""
        while self._shared:
            zone = self._shared[0].node % ZONE_COUNT
            free = [
                (each.zone == zone, each.speed, index)
                for index, each in enumerate(self.endpoints)
                if each.running < SLOTS and not each.is_down
            ]
            if not free:
                return
            is_same_zone, _, index = max(free)
            self._sent_count += 1
            self._crossing_count += not is_same_zone
            self._message_count += 2
            self._start(now, index, self._shared.popleft())

    def _send(self, now: float, request: Request) -> None:
        index, request.may_hand_over = self._select(self, request, now)
        request.sent_to.add(index)
        self.views[request.node][index].sent += 1
        self.views[request.node][index].outstanding += 1
        crosses = self.endpoints[index].zone != request.node % ZONE_COUNT
        self._crossing_count += crosses
        self._sent_count += 1
        self._message_count += 2
        self._schedule(
            now + self._get_delay_s(request, index), self._join, request, index
        )

    def _get_delay_s(self, request: Request, index: int) -> float:
        same = self.endpoints[index].zone == request.node % ZONE_COUNT
        return SAME_ZONE_S if same else OTHER_ZONE_S

    def _join(self, now: float, request: Request, index: int) -> None:
        endpoint = self.endpoints[index]
        request.queued_at = now
        if endpoint.is_down:
            self._reply(now, request, index, "lost")
        elif endpoint.running < SLOTS:
            self._start(now, index, request)
        elif request.may_hand_over:
            self._reply(now, request, index, "full")
        else:
            endpoint.waiting.append(request)

    def _start(self, now: float, index: int, request: Request) -> None:
        endpoint = self.endpoints[index]
        if self._rng.random() < endpoint.rejected_ratio:
            self._rejected_count += 1
            if self._select is not None:
                self._reply(now, request, index, "rejected")
            return
        endpoint.running += 1
        duration_s = endpoint.compute_duration_s(now, request.work_s)
        self._schedule(
            now + duration_s,
            self._end,
            request,
            index,
            endpoint.start_number,
            duration_s,
        )

    def _end(
        self, now: float, request: Request, index: int, start: int, duration_s: float
    ) -> None:
        endpoint = self.endpoints[index]
        if start != endpoint.start_number:
            return
        endpoint.running -= 1
        endpoint.record_duration(duration_s)
        self._reply(now, request, index, "served")
        if self._select is None:
            self._start_shared(now)
            return
        while endpoint.waiting and endpoint.running < SLOTS:
            waiting = endpoint.waiting.popleft()
            if now - waiting.queued_at <= MAX_WAIT_S:
                self._start(now, index, waiting)

    def _reply(self, now: float, request: Request, index: int, outcome: str) -> None:
        endpoint = self.endpoints[index]
        arguments = (request, index, outcome, endpoint.own_time_s, endpoint.load)
        delay_s = self._get_delay_s(request, index)
        self._schedule(now + delay_s, self._handle_reply, *arguments)

    def _handle_reply(
        self,
        now: float,
        request: Request,
        index: int,
        outcome: str,
        own_time_s: float | None,
        load: int,
    ) -> None:
        view = self.views[request.node][index]
        view.outstanding -= 1
        if self.load.replies_carry_load or outcome == "full":
            self._update_view(now, view, load)
        if outcome == "served":
            view.failures.record(now, 0.0)
            view.service_time_s = own_time_s
            latency_s = now - request.arrived_at
            self._latencies_s.append(latency_s)
            self._in_time_count += latency_s <= IN_TIME_S
        elif outcome in ("full", "lost"):
            self._send(now, request)
        else:
            view.failures.record(now, 1.0)

    def _update_view(self, now: float, view: View, load: int) -> None:
        if self.load.reports_are_lost:
            return
        view.load, view.known_at, view.sent = float(load), now, 0

    def _report(self, now: float, node: int, index: int) -> None:
        self._update_view(now, self.views[node][index], self.endpoints[index].load)
        next_at = now + self.load.report_interval_s
        self._schedule(next_at, self._report, node, index)

    def _change_speeds(self, now: float) -> None:
        if self.load.slows_down:
            for endpoint in self.endpoints:
                endpoint.is_slow = self._speed_rng.random() < SLOW_RATIO
        self._schedule(now + SLOW_PERIOD_S, self._change_speeds)

    def _crash(self, now: float) -> None:
        endpoint = self._speed_rng.choice(self.endpoints)
        endpoint.is_down = True
        endpoint.start_number += 1
        endpoint.running = 0
        endpoint.waiting.clear()
        self._schedule(now + DOWN_S, self._restart, endpoint)
        self._schedule(now + CRASH_PERIOD_S, self._crash)

    def _restart(self, now: float, endpoint: Endpoint) -> None:
        endpoint.is_down = False
        endpoint.started_at = now
