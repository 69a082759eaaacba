"""Tests of the detection of nested calls and of the downstream calls of routes."""

import pytest

from . import call_graph


class TestRunningRequests:
    """Nested calls of running requests."""

    def test_call_extends_the_id_of_its_parent(self) -> None:
        running = call_graph.RunningRequestIndex()
        parent = running.add("lookup", 2, b"aa11", 10.0)
        assert running.find_parent(b"aa11.bb22", 3.0) is parent
        assert running.find_parent(b"aa11", 3.0) is None
        assert running.find_parent(b"cc33.bb22", 3.0) is None

    def test_call_is_not_charged_to_a_sibling_of_its_parent(self) -> None:
        # The edges of the call graph would lead in circles.
        running = call_graph.RunningRequestIndex()
        parent = running.add("read", 2, b"aa11.bb22", 10.0)
        running.add("note", 2, b"aa11.cc33", 10.0)
        running.add("list", 2, b"aa11.bb2", 10.0)
        assert running.find_parent(b"aa11.bb22.dd44", 10.0) is parent

    def test_call_has_the_deadline_of_its_parent(self) -> None:
        running = call_graph.RunningRequestIndex()
        running.add("lookup", 2, b"aa11", 10.0)
        parent = running.add("charge", 0, b"bb22", 10.02)
        assert running.find_parent(b"zz", 10.021) is parent
        assert running.find_parent(b"zz", 10.1) is None

    def test_ended_request_is_no_parent(self) -> None:
        running = call_graph.RunningRequestIndex()
        parent = running.add("lookup", 2, b"aa11", 10.0)
        running.remove(parent)
        running.remove(parent)
        assert running.find_parent(b"aa11.bb22", 10.0) is None


class TestCallGraph:
    """Nested calls by route."""

    def build_graph(self) -> call_graph.CallGraph:
        """Builds a graph: lookup makes two calls to read, read four calls to note."""
        graph = call_graph.CallGraph()
        running = call_graph.RunningRequestIndex()
        for run in range(call_graph.MIN_RUN_COUNT):
            request_id = b"%d" % run
            for route, callee, service, calls in (
                ("lookup", "read", "stock", 2),
                ("read", "note", "notes", 4),
            ):
                parent = running.add(route, 2, request_id, 10.0)
                for _ in range(calls):
                    graph.record_arrival(callee, service, parent)
                graph.record_run(parent)
                running.remove(parent)
        graph.merge_edges(graph.get_local_edges())
        return graph

    def test_downstream_calls_multiply(self) -> None:
        downstream_calls = self.build_graph().get_downstream_calls("lookup")
        assert downstream_calls == pytest.approx({"stock": 2.0, "notes": 8.0})

    def test_callees_are_no_root_requests(self) -> None:
        graph = self.build_graph()
        assert graph.is_callee("read")
        assert not graph.is_callee("lookup")

    def test_cycle_terminates(self) -> None:
        graph = call_graph.CallGraph()
        graph.merge_edges(
            [call_graph.Edge("a", "b", "s", 0.5), call_graph.Edge("b", "a", "t", 0.5)]
        )
        assert graph.get_downstream_calls("a")["s"] < 1.0

    def test_routes_that_call_each_other(self) -> None:
        """Guards against a time that grows exponentially with the depth of calls.

        With a visit of each path, this test would not end.
        """
        routes = [f"r{number}" for number in range(12)]
        graph = call_graph.CallGraph()
        graph.merge_edges(
            [
                call_graph.Edge(route, callee, "s", 0.05)
                for route in routes
                for callee in routes
            ]
        )
        expected = sum(0.6**depth for depth in range(1, call_graph.MAX_CALL_DEPTH + 2))
        assert graph.get_downstream_calls("r0")["s"] == pytest.approx(expected)

    def test_unknown_route_has_no_downstream_calls(self) -> None:
        assert call_graph.CallGraph().get_downstream_calls("none") == {}
