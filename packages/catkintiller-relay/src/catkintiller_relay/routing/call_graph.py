"""Learns which calls the requests of a route make, and so what they lead to.

The node beside an endpoint knows which requests run there. A call whose identity
extends that of a running request, or that ends with its time limit, was made for it.
Where neither tells, the call counts as fresh work.
"""

import bisect
from typing import NamedTuple

MATCH_S = 0.004
MAX_MATCHES = 8
MIN_RUNS = 3
CALLS_PER_RUN = 0.5
MIN_CALLS = 0.05
MAX_DEPTH = 16


class Edge(NamedTuple):
    """Calls that a request of a route makes.

    :param route: name of the route of the request.
    :param callee: name of the route of the calls.
    :param service: service that the calls go to.
    :param calls: calls for each request.
    """

    route: str
    callee: str
    service: str
    calls: float


class RunningRequest:
    """A request that runs at the local endpoint.

    :ivar rank: importance of the request that began its chain.
    :ivar calls: calls that it has made, by route and service.
    """

    __slots__ = ("calls", "ends_at", "family", "number", "rank", "route")

    def __init__(
        self, number: int, route: str, rank: int, request_id: bytes, ends_at: float
    ) -> None:
        self.number = number
        self.route = route
        self.rank = rank
        self.family = get_root_id(request_id)
        self.ends_at = ends_at
        self.calls: dict[tuple[str, str], int] = {}


class RunningRequestIndex:
    """Requests that run at the local endpoint, and whose calls come from this VM."""

    def __init__(self) -> None:
        self._ends: list[tuple[float, int]] = []
        self._parents: dict[int, RunningRequest] = {}
        self._families: dict[bytes, dict[int, RunningRequest]] = {}
        self._number = 0

    def add(
        self, route: str, rank: int, request_id: bytes, ends_at: float
    ) -> RunningRequest:
        """Notes that a request runs until ``ends_at`` at the latest."""
        self._number += 1
        parent = RunningRequest(self._number, route, rank, request_id, ends_at)
        bisect.insort(self._ends, (ends_at, parent.number))
        self._parents[parent.number] = parent
        self._families.setdefault(parent.family, {})[parent.number] = parent
        return parent

    def remove(self, parent: RunningRequest) -> None:
        """Notes that a request is done."""
        if self._parents.pop(parent.number, None) is None:
            return
        index = bisect.bisect_left(self._ends, (parent.ends_at, parent.number))
        del self._ends[index]
        members = self._families[parent.family]
        del members[parent.number]
        if not members:
            del self._families[parent.family]

    def find_parent(self, request_id: bytes, ends_at: float) -> RunningRequest | None:
        """Finds the request that a call is made for.

        :param request_id: of the call; it may begin like its parent's.
        :param ends_at: when the sender of the call stops waiting.
        """
        family = get_root_id(request_id)
        if family != request_id:
            members = self._families.get(family)
            if members:
                return next(reversed(members.values()))
        low = bisect.bisect_left(self._ends, (ends_at - MATCH_S, 0))
        best = None
        for ends, number in self._ends[low : low + MAX_MATCHES]:
            if ends > ends_at + MATCH_S:
                break
            distance = abs(ends - ends_at)
            if best is None or distance < best[0]:
                best = (distance, number)
        return None if best is None else self._parents[best[1]]


def get_root_id(request_id: bytes) -> bytes:
    """Gets the part of an identity that a request shares with its calls."""
    return request_id.partition(b".")[0]


class CallGraph:
    """Calls by route, as counted here and as other nodes say."""

    def __init__(self) -> None:
        self._runs: dict[str, int] = {}
        self._calls: dict[tuple[str, str, str], int] = {}
        self._orphans: dict[str, int] = {}
        self._owned: dict[str, int] = {}
        self._heard: dict[tuple[str, str], Edge] = {}
        self._reach: dict[str, dict[str, float]] = {}
        self._callees: set[str] = set()

    def record_run(self, parent: RunningRequest) -> None:
        """Counts a request that ran at the local endpoint to a good end."""
        route = parent.route
        self._runs[route] = self._runs.get(route, 0) + 1
        for (callee, service), count in parent.calls.items():
            key = (route, callee, service)
            self._calls[key] = self._calls.get(key, 0) + count

    def record_arrival(
        self, route: str, service: str, parent: RunningRequest | None
    ) -> None:
        """Counts a request from this VM, a call if it has a parent."""
        if parent is None or parent.route == route:
            self._orphans[route] = self._orphans.get(route, 0) + 1
            return
        self._owned[route] = self._owned.get(route, 0) + 1
        key = (route, service)
        parent.calls[key] = parent.calls.get(key, 0) + 1

    def makes_nested_calls(self) -> bool:
        """Tells whether the requests that run here mostly make calls."""
        return sum(self._calls.values()) > CALLS_PER_RUN * sum(self._runs.values())

    def is_callee(self, route: str) -> bool:
        """Tells whether requests of a route are made by endpoints."""
        return route in self._callees

    def get_local_edges(self) -> list[Edge]:
        """Gets what was counted here and is certain enough."""
        edges = []
        for (route, callee, service), count in self._calls.items():
            runs = self._runs.get(route, 0)
            owned = self._owned.get(callee, 0) > 3 * self._orphans.get(callee, 0)
            if runs >= MIN_RUNS and owned and count >= MIN_CALLS * runs:
                edges.append(Edge(route, callee, service, round(count / runs, 1)))
        return edges

    def merge_edges(self, edges: list[Edge]) -> list[Edge]:
        """Takes what a node says that counted it; gives the edges that are new."""
        if all(self._heard.get((e.route, e.callee)) == e for e in edges):
            return []
        new = [edge for edge in edges if (edge.route, edge.callee) not in self._heard]
        for edge in edges:
            self._heard[edge.route, edge.callee] = edge
            self._callees.add(edge.callee)
        self._reach.clear()
        return new

    def get_downstream_calls(self, route: str) -> dict[str, float]:
        """Gets the services that a request leads to, with calls for each."""
        found = self._reach.get(route)
        if found is None:
            found = self._compute_downstream_calls(route, 0)
            self._reach[route] = found
        return found

    def _compute_downstream_calls(self, route: str, depth: int) -> dict[str, float]:
        reach: dict[str, float] = {}
        if depth > MAX_DEPTH:
            return reach
        for edge in self._heard.values():
            if edge.route != route:
                continue
            reach[edge.service] = reach.get(edge.service, 0.0) + edge.calls
            for service, calls in self._compute_downstream_calls(
                edge.callee, depth + 1
            ).items():
                reach[service] = reach.get(service, 0.0) + edge.calls * calls
        return reach
