"""Tests of handing over requests that would wait at a full endpoint."""

import types

from .. import data
from . import endpoint_selection, handover


def build_candidate(node: str, load: float) -> endpoint_selection.Candidate:
    """Builds a candidate with 10 slots."""
    return endpoint_selection.Candidate(node, load, 10.0, 0.03, False, True, 0.0, 0.0)


def build_pending(
    *full_nodes: str, body: bytes = b"", **values: object
) -> types.SimpleNamespace:
    """Builds a pending request that some nodes have handed over."""
    pending = types.SimpleNamespace(
        service="stock",
        route=types.SimpleNamespace(name="find", kind=data.RequestKind.NON_IDEMPOTENT),
        request=types.SimpleNamespace(body=body),
        tried_nodes=set(full_nodes),
        full_nodes=set(full_nodes),
        rejecting_nodes=set(),
        has_reached_all_endpoints=False,
    )
    vars(pending).update(values)
    return pending


class FakeDirectory:
    """Directory of endpoints that are full or free."""

    def __init__(self, **loads: float) -> None:
        self._loads = loads

    def get_candidates(
        self,
        service: str,
        route: str,
        tried_nodes: set[str],
        now: float,
        rng: None = None,
    ) -> list[endpoint_selection.Candidate]:
        """Returns the endpoints that have not been tried."""
        return [
            build_candidate(node, load)
            for node, load in self._loads.items()
            if node not in tried_nodes
        ]


class TestMayHandOver:
    """Which attempts may be handed over."""

    def test_only_while_another_endpoint_has_room(self) -> None:
        """In overload a request is not sent from one full endpoint to the next."""
        selected = build_candidate("a", 10.0)
        free, full = build_candidate("b", 3.0), build_candidate("b", 10.0)
        assert handover.may_hand_over(build_pending(), [selected, free], selected)
        assert not handover.may_hand_over(build_pending(), [selected, full], selected)
        assert not handover.may_hand_over(build_pending(), [selected], selected)

    def test_at_most_twice(self) -> None:
        """A request is not sent from one endpoint to the next for ever."""
        selected, free = build_candidate("c", 10.0), build_candidate("d", 3.0)
        for full_nodes, expected in ((("a",), True), (("a", "b"), False)):
            pending = build_pending(*full_nodes)
            pool = [selected, free]
            assert handover.may_hand_over(pending, pool, selected) is expected

    def test_large_body_is_not_sent_again(self) -> None:
        selected, free = build_candidate("a", 10.0), build_candidate("b", 3.0)
        pending = build_pending(body=b"x" * (handover.MAX_BODY_BYTES + 1))
        assert not handover.may_hand_over(pending, [selected, free], selected)


class TestCandidates:
    """Endpoints for the next attempt."""

    def test_full_endpoint_is_left_out(self) -> None:
        candidates = handover.get_candidates(
            FakeDirectory(a=10.0, b=3.0), build_pending("a"), 0.0, None
        )
        assert [each.node for each in candidates] == ["b"]

    def test_request_waits_at_a_full_endpoint_if_there_is_no_other(self) -> None:
        """The free endpoint left before the request reached it."""
        pending = build_pending("a")
        candidates = handover.get_candidates(FakeDirectory(a=10.0), pending, 0.0, None)
        assert [each.node for each in candidates] == ["a"]
        assert not handover.may_hand_over(pending, candidates, candidates[0])

    def test_endpoint_that_failed_is_not_tried_again(self) -> None:
        pending = build_pending("a", tried_nodes={"a", "b"})
        candidates = handover.get_candidates(
            FakeDirectory(a=10.0, b=0.0), pending, 0.0, None
        )
        assert [each.node for each in candidates] == ["a"]

    def test_request_that_was_rejected_is_sent_to_the_same_endpoints(self) -> None:
        pending = build_pending(
            tried_nodes={"a"}, rejecting_nodes={"a"}, has_reached_all_endpoints=True
        )
        candidates = handover.get_candidates(
            FakeDirectory(a=1.0, b=0.0), pending, 0.0, None
        )
        assert [each.node for each in candidates] == ["a"]
