"""A seeded discrete-event model: no sockets, no clock but its own."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from catkintiller_relay.routing import placement
from catkintiller_relay.serving import queue

from . import deployments, policies

HOP_S = 0.002
TICK_S = 0.05
NODES = 6
RETRY_LOW, RETRY_HIGH = 0.2, 0.5
WORK_SPREAD = 0.5


class Outcome(NamedTuple):
    """What became of a client's request.

    :param sent: when it was sent first.
    :param took_s: until its answer, its second try included.
    """

    kind: str
    sent: float
    took_s: float
    served: bool
    in_target: bool
    tries: int


class Result(NamedTuple):
    """A whole run.

    :param work_s: time that endpoints worked, by whether the client was served.
    """

    outcomes: list[Outcome]
    work_s: dict[bool, float]


class _Endpoint:
    def __init__(self, name: str, service: deployments.Service, speed: float) -> None:
        self.name = name
        self.speed = speed
        self.service = service.name
        self.queue = policies.make_queue(service.slots)


class _Root:
    """A client's request with the work that was done for it."""

    def __init__(self, kind: deployments.Kind, now: float) -> None:
        self.kind = kind
        self.sent = now
        self.tries = 0
        self.work_s = 0.0


class _Try:
    """One request at one endpoint."""

    def __init__(
        self,
        kind: deployments.Kind,
        root: _Root,
        ends_at: float,
        done: Callable[[bool], None],
    ) -> None:
        self.kind = kind
        self.root = root
        self.ends_at = ends_at
        self.done = done
        self.started = 0.0


class Model:
    """Plays a load on a deployment under one way of control."""

    def __init__(
        self,
        form: deployments.Shape,
        arm: policies.Arm,
        load: deployments.Load,
        seed: int,
    ) -> None:
        self._arm = arm
        self._load = load
        self._rng = random.Random(seed)
        self._kinds = {kind.name: kind for kind in form.kinds}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._now = 0.0
        self._outcomes: list[Outcome] = []
        self._work = {True: 0.0, False: 0.0}
        self._places: dict[str, list[_Endpoint]] = {}
        for service in form.services:
            self._places[service.name] = [
                _Endpoint(f"{service.name}-{index}", service, speed)
                for index, speed in enumerate(service.speeds)
            ]
        self._reach = {k.name: compute_reach(self._kinds, k) for k in form.kinds}

    def run(self, seconds: float) -> Result:
        """Plays until nothing is left of the load."""
        for kind in self._kinds.values():
            if kind.rate:
                self._schedule_arrival(kind)
        self._at(TICK_S, lambda: self._tick(seconds))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > 2 * seconds:
                break
            action()
        return Result(self._outcomes, self._work)

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self._now + delay, self._number, action))

    def _schedule_arrival(self, kind: deployments.Kind) -> None:
        factor = self._load.get_factor(self._now)
        if factor <= 0.0:
            return

        def arrive() -> None:
            self._send_root(_Root(kind, self._now))
            self._schedule_arrival(kind)

        self._at(self._rng.expovariate(kind.rate * factor), arrive)

    def _send_root(self, root: _Root) -> None:
        kind = root.kind
        root.tries += 1
        left_s = kind.limit_s
        if not self._arm.admits(
            self._rng.randrange(NODES), kind, self._reach[kind.name]
        ):
            self._end_root(root, False)
            return
        self._send(
            kind, root, self._now + left_s, False, lambda ok: self._end_root(root, ok)
        )

    def _end_root(self, root: _Root, served: bool) -> None:
        kind = root.kind
        if not served and root.tries == 1:
            pause = kind.target_s * self._rng.uniform(RETRY_LOW, RETRY_HIGH)
            self._at(min(pause, kind.limit_s / 3), lambda: self._send_root(root))
            return
        took = self._now - root.sent
        in_target = served and took <= kind.target_s
        self._work[served] += root.work_s
        self._outcomes.append(
            Outcome(kind.name, root.sent, took, served, in_target, root.tries)
        )

    def _send(
        self,
        kind: deployments.Kind,
        root: _Root,
        ends_at: float,
        call: bool,
        done: Callable[[bool], None],
    ) -> None:
        candidates = [
            placement.Candidate(
                str(index),
                place.queue.load,
                place.queue.limit,
                place.queue.service_s,
                False,
                True,
                0.0,
                0.0,
            )
            for index, place in enumerate(self._places[kind.service])
        ]
        chosen = self._arm.choose(candidates, self._rng)
        place = self._places[kind.service][int(chosen.node)]
        attempt = _Try(kind, root, min(ends_at, self._now + kind.limit_s), done)
        self._at(HOP_S, lambda: self._offer(place, attempt, call))

    def _offer(self, place: _Endpoint, attempt: _Try, call: bool) -> None:
        left_s, target_s = self._arm.get_wait_limits(
            attempt.ends_at - self._now, attempt.kind.target_s
        )
        rank, call = self._arm.get_order(attempt.root.kind.rank, call)
        runs, number = place.queue.offer(
            self._now,
            call=call,
            rank=rank,
            left_s=left_s,
            target_s=target_s,
            entry=attempt,
        )
        if runs:
            self._start(place, attempt)
        elif number is None:
            self._at(HOP_S, lambda: attempt.done(False))

    def _start(self, place: _Endpoint, attempt: _Try) -> None:
        attempt.started = self._now
        if self._now >= attempt.ends_at:
            self._finish(place, attempt, False)
            return
        pending = [call for call in attempt.kind.calls for _ in range(call.times)]
        self._call_next(place, attempt, pending)

    def _call_next(
        self, place: _Endpoint, attempt: _Try, pending: list[deployments.Call]
    ) -> None:
        if not pending:
            self._work_then_finish(place, attempt)
            return
        group = pending if pending[0].together else pending[:1]
        rest = pending[len(group) :]
        answers: list[bool] = []

        def answered(ok: bool) -> None:
            answers.append(ok)
            if not ok and answers.count(False) == 1:
                self._finish(place, attempt, False)
            elif len(answers) == len(group) and all(answers):
                self._call_next(place, attempt, rest)

        for call in group:
            kind = self._kinds[call.kind]
            self._send(kind, attempt.root, attempt.ends_at, True, answered)

    def _work_then_finish(self, place: _Endpoint, attempt: _Try) -> None:
        mean = attempt.kind.work_s * place.speed
        work = mean * self._rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        attempt.root.work_s += work
        self._at(
            work,
            lambda: self._finish(place, attempt, self._now <= attempt.ends_at),
        )

    def _finish(self, place: _Endpoint, attempt: _Try, served: bool) -> None:
        place.queue.finish(self._now - attempt.started if served else None)
        self._at(HOP_S, lambda: attempt.done(served))
        self._take_next(place)

    def _take_next(self, place: _Endpoint) -> None:
        ready, expired = place.queue.take_next(self._now)
        for late in expired:
            self._at(HOP_S, lambda late=late: late.done(False))
        for following in ready:
            self._start(place, following)

    def _tick(self, seconds: float) -> None:
        capacities, uses = {}, {}
        for name, places in self._places.items():
            for place in places:
                for late in place.queue.take_expired(self._now):
                    late.done(False)
                place.queue.makes_calls = name in self._get_callers()
                place.queue.update_use(TICK_S)
            queues: list[queue.EndpointQueue] = [place.queue for place in places]
            capacities[name] = sum(one.capacity for one in queues)
            work = sum(one.capacity * one.use for one in queues)
            uses[name] = work / capacities[name]
        self._arm.tick(TICK_S, capacities, uses)
        if self._now < 1.5 * seconds:
            self._at(TICK_S, lambda: self._tick(seconds))

    def _get_callers(self) -> set[str]:
        return {kind.service for kind in self._kinds.values() if kind.calls}


def compute_reach(
    kinds: dict[str, deployments.Kind], kind: deployments.Kind
) -> dict[str, float]:
    """Computes the requests at each service that one request leads to."""
    reach = {kind.service: 1.0}
    for call in kind.calls:
        for service, work in compute_reach(kinds, kinds[call.kind]).items():
            reach[service] = reach.get(service, 0.0) + call.times * work
    return reach
