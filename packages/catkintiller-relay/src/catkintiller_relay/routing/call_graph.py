"""Call graph of the routes: which nested calls the requests of each route cause.

The node beside an endpoint keeps an index of the requests that run there. A request
from that VM is a nested call of one of them if its ID extends the ID of that request,
or if both have the same deadline. Otherwise it counts as a root request. With customers
in the config, the deadline does not count, see :mod:`.authentication`.
"""

import bisect
from typing import NamedTuple

DEADLINE_TOLERANCE_S = 0.004
MAX_CANDIDATE_COUNT = 8
MIN_RUN_COUNT = 3
EDGE_MIN_CALLS_PER_RUN = 0.05
MAX_CALL_DEPTH = 16


class Edge(NamedTuple):
    """Nested calls that the requests of a route make on another route.

    :param route: name of the route of the requests.
    :param callee: name of the route of the nested calls.
    :param service: service that the nested calls are sent to.
    :param calls: mean number of nested calls for each request.
    """

    route: str
    callee: str
    service: str
    calls: float


class RunningRequest:
    """A request that runs at the local endpoint.

    :ivar number: position in the order of starts on this node.
    :ivar rank: rank of the root request that caused it, 0 is highest.
    :ivar request_id: its ID, which the IDs of its nested calls extend after a dot.
    :ivar root_id: part of the request ID that its nested calls share.
    :ivar deadline: time of the event loop by which it must end, in seconds.
    :ivar calls: number of nested calls that it has made, by route and service.
    :ivar customer: name of the customer that it belongs to; empty without one.
    :ivar has_retries: whether one of its nested calls has been retried.
    :ivar has_failed_call: whether one of its nested calls failed and was not retried.
    """

    __slots__ = (
        "_nested_s",
        "_open_call_count",
        "_open_since",
        "calls",
        "customer",
        "deadline",
        "has_failed_call",
        "has_retries",
        "number",
        "rank",
        "request_id",
        "root_id",
        "route",
    )

    def __init__(
        self,
        number: int,
        route: str,
        rank: int,
        request_id: bytes,
        deadline: float,
        customer: str,
    ) -> None:
        self.number = number
        self.customer = customer
        self.route = route
        self.rank = rank
        self.request_id = request_id
        self.root_id = get_root_id(request_id)
        self.deadline = deadline
        self.calls: dict[tuple[str, str], int] = {}
        self.has_retries = False
        self.has_failed_call = False
        self._open_call_count = 0
        self._open_since = 0.0
        self._nested_s = 0.0

    def begin_call(self, now: float) -> None:
        """Records that it starts to wait for a nested call."""
        if not self._open_call_count:
            self._open_since = now
        self._open_call_count += 1

    def end_call(self, now: float) -> None:
        """Records that a nested call has ended."""
        self._open_call_count -= 1
        if not self._open_call_count:
            self._nested_s += now - self._open_since

    def estimate_remaining_calls(self, service: str, expected_calls: float) -> float:
        """Estimates how many nested calls to a service have not succeeded yet.

        :param expected_calls: mean number of them for each request of its route.
        :returns: an estimate: open calls to other services count as calls to this one.
        """
        made_count = sum(
            count for (_, name), count in self.calls.items() if name == service
        )
        ended_count = max(0, made_count - self._open_call_count)
        return max(self._open_call_count, expected_calls - ended_count)

    def get_nested_s(self, now: float) -> float:
        """Returns for how many seconds it has waited for nested calls."""
        open_s = now - self._open_since if self._open_call_count else 0.0
        return self._nested_s + open_s


class RunningRequestIndex:
    """Index of the requests that run at the local endpoint, by root ID and deadline."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, int]] = []
        self._requests: dict[int, RunningRequest] = {}
        self._requests_by_root: dict[bytes, dict[int, RunningRequest]] = {}
        self._last_number = 0

    def add(
        self,
        route: str,
        rank: int,
        request_id: bytes,
        deadline: float,
        customer: str = "",
    ) -> RunningRequest:
        """Adds a request that starts to run."""
        self._last_number += 1
        request = RunningRequest(
            self._last_number, route, rank, request_id, deadline, customer
        )
        bisect.insort(self._deadlines, (deadline, request.number))
        self._requests[request.number] = request
        self._requests_by_root.setdefault(request.root_id, {})[request.number] = request
        return request

    def remove(self, request: RunningRequest) -> None:
        """Removes a request that has ended; does nothing if it is not in the index."""
        if self._requests.pop(request.number, None) is None:
            return
        index = bisect.bisect_left(self._deadlines, (request.deadline, request.number))
        del self._deadlines[index]
        related = self._requests_by_root[request.root_id]
        del related[request.number]
        if not related:
            del self._requests_by_root[request.root_id]

    def find_parent(self, request_id: bytes, deadline: float) -> RunningRequest | None:
        """Finds the running request that a nested call belongs to.

        :param request_id: ID of the call, which may extend the ID of its parent.
        :param deadline: time of the event loop at which its sender stops waiting, in
            seconds.
        """
        parent = self.find_parent_by_id(request_id)
        if parent is not None:
            return parent
        first_index = bisect.bisect_left(
            self._deadlines, (deadline - DEADLINE_TOLERANCE_S, 0)
        )
        closest = None
        for candidate_deadline, number in self._deadlines[
            first_index : first_index + MAX_CANDIDATE_COUNT
        ]:
            if candidate_deadline > deadline + DEADLINE_TOLERANCE_S:
                break
            difference_s = abs(candidate_deadline - deadline)
            if closest is None or difference_s < closest[0]:
                closest = (difference_s, number)
        return None if closest is None else self._requests[closest[1]]

    def find_extended(self, request_id: bytes) -> RunningRequest | None:
        """Finds the running request whose whole ID an ID extends after a dot.

        Requests of other clients may have the same root ID, so that ID alone does not
        tell for whom a request without a key runs. A request without an ID has none
        that could be extended.
        """
        root_id = get_root_id(request_id)
        if not root_id:
            return None
        longest_bytes = 0
        longest = None
        for request in self._requests_by_root.get(root_id, {}).values():
            extended_id = request.request_id
            if len(extended_id) > longest_bytes and request_id.startswith(
                extended_id + b"."
            ):
                longest_bytes = len(extended_id)
                longest = request
        return longest

    def find_parent_by_id(self, request_id: bytes) -> RunningRequest | None:
        """Finds the running request whose ID a nested call extends.

        If the call extends the ID of none of them whole, the last one with the same
        root is taken.
        """
        root_id = get_root_id(request_id)
        if root_id == request_id:
            return None
        related = self._requests_by_root.get(root_id)
        if not related:
            return None
        return self.find_extended(request_id) or next(reversed(related.values()))


def get_root_id(request_id: bytes) -> bytes:
    """Returns the part of a request ID that a request shares with its nested calls."""
    return request_id.partition(b".")[0]


class CallGraph:
    """Nested calls by route, as counted on this node and as received from peers."""

    def __init__(self) -> None:
        self._run_counts: dict[str, int] = {}
        self._call_counts: dict[tuple[str, str, str], int] = {}
        self._root_arrivals: dict[str, int] = {}
        self._nested_arrivals: dict[str, int] = {}
        self._edges: dict[tuple[str, str], Edge] = {}
        self._downstream_calls: dict[str, dict[str, float]] = {}
        self._downstream_routes: dict[str, dict[tuple[str, str], float]] = {}
        self._callees: set[str] = set()

    def record_run(self, request: RunningRequest) -> None:
        """Counts a successful request of the local endpoint and its nested calls."""
        route = request.route
        self._run_counts[route] = self._run_counts.get(route, 0) + 1
        for (callee, service), count in request.calls.items():
            key = (route, callee, service)
            self._call_counts[key] = self._call_counts.get(key, 0) + count

    def record_arrival(
        self, route: str, service: str, parent: RunningRequest | None
    ) -> None:
        """Counts a request from this VM, as a nested call if it has a parent.

        A parent of the same route does not make it a nested call.
        """
        if parent is None or parent.route == route:
            self._root_arrivals[route] = self._root_arrivals.get(route, 0) + 1
            return
        self._nested_arrivals[route] = self._nested_arrivals.get(route, 0) + 1
        key = (route, service)
        parent.calls[key] = parent.calls.get(key, 0) + 1

    def is_callee(self, route: str) -> bool:
        """Returns whether the requests of a route are nested calls."""
        return route in self._callees

    def get_local_edges(self) -> list[Edge]:
        """Returns the edges that were counted here often enough to be reliable.

        The route needs a minimum number of runs and of calls for each run. The callee
        needs more than three arrivals as a nested call for each one as a root request.
        """
        edges = []
        for (route, callee, service), count in self._call_counts.items():
            runs = self._run_counts.get(route, 0)
            is_nested = self._nested_arrivals.get(
                callee, 0
            ) > 3 * self._root_arrivals.get(callee, 0)
            if (
                runs >= MIN_RUN_COUNT
                and is_nested
                and count >= EDGE_MIN_CALLS_PER_RUN * runs
            ):
                edges.append(Edge(route, callee, service, round(count / runs, 1)))
        return edges

    def merge_edges(self, edges: list[Edge]) -> list[Edge]:
        """Stores the edges that a node has counted and returns the new ones."""
        if all(self._edges.get((edge.route, edge.callee)) == edge for edge in edges):
            return []
        new_edges = [
            edge for edge in edges if (edge.route, edge.callee) not in self._edges
        ]
        for edge in edges:
            self._edges[edge.route, edge.callee] = edge
            self._callees.add(edge.callee)
        self._downstream_calls.clear()
        self._downstream_routes.clear()
        return new_edges

    def get_downstream_calls(self, route: str) -> dict[str, float]:
        """Returns the mean number of downstream calls of a request, by service."""
        downstream_calls = self._downstream_calls.get(route)
        if downstream_calls is None:
            downstream_calls = {}
            for (service, _), calls in self.get_downstream_routes(route).items():
                downstream_calls[service] = downstream_calls.get(service, 0.0) + calls
            self._downstream_calls[route] = downstream_calls
        return downstream_calls

    def get_downstream_routes(self, route: str) -> dict[tuple[str, str], float]:
        """Returns the mean number of downstream calls, by service and callee."""
        downstream_routes = self._downstream_routes.get(route)
        if downstream_routes is None:
            downstream_routes = self._compute_downstream_routes(route)
            self._downstream_routes[route] = downstream_routes
        return downstream_routes

    def _compute_downstream_routes(self, route: str) -> dict[tuple[str, str], float]:
        """Sums the calls of all paths from a route, one level of calls after another.

        The number of paths grows exponentially with their length where routes call each
        other, so the paths that lead to the same callee are added up at each level.
        """
        downstream: dict[tuple[str, str], float] = {}
        calls_by_route = {route: 1.0}
        for _ in range(MAX_CALL_DEPTH + 1):
            next_calls: dict[str, float] = {}
            for edge in self._edges.values():
                calls = edge.calls * calls_by_route.get(edge.route, 0.0)
                if calls:
                    key = (edge.service, edge.callee)
                    downstream[key] = downstream.get(key, 0.0) + calls
                    next_calls[edge.callee] = next_calls.get(edge.callee, 0.0) + calls
            if not next_calls:
                break
            calls_by_route = next_calls
        return downstream
