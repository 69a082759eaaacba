"""Tests of the decision on a retry."""

from .. import data, node_test
from . import call_graph, pending_request, retry_policy

ROUTE = data.Route(
    "read",
    "shop.example",
    "/read/",
    data.RequestKind.IDEMPOTENT,
    (data.Destination("stock", 1.0),),
    2.0,
    0.5,
    2,
    1,
)
FIRST_ATTEMPTS = 1000  # the retry budget is a fraction of these


class FakeArrival:
    """A request as the pending request keeps it."""

    head_received_at = 0.0
    body = b""


def build_policy() -> retry_policy.RetryPolicy:
    """Builds a policy with a large budget."""
    settings = node_test.build_settings()._replace(retry_ratio=0.2, retry_window_s=10.0)
    policy = retry_policy.RetryPolicy(settings, call_graph.CallGraph())
    for _ in range(FIRST_ATTEMPTS):
        policy.record_first_attempt(build_pending(set(), set(), 0), 0.0)
    return policy


def build_pending(
    reached: set[str], rejecting: set[str], sends: int
) -> pending_request.PendingRequest:
    """Builds a request without outstanding attempts.

    :param reached: nodes beside endpoints that it may have reached.
    :param rejecting: those whose endpoints did not run it.
    :param sends: number of attempts.
    """
    pending = pending_request.PendingRequest(lambda _: None, None, FakeArrival())
    pending.route = ROUTE
    pending.service = "stock"
    pending.max_attempts = ROUTE.max_attempts
    pending.expires_at = 2.0
    pending.reached_nodes = reached
    pending.rejecting_nodes = rejecting
    pending.endpoint_attempt_count = sends
    return pending


class TestAttempts:
    """The route limits the endpoints, the budget the sends."""

    def decide(
        self, reached: set[str], rejecting: set[str], sends: int
    ) -> retry_policy.RetryDecision:
        """Decides on one more attempt."""
        return build_policy().decide_and_charge(
            build_pending(reached, rejecting, sends), 0.0
        )

    def test_further_endpoint(self) -> None:
        decision = self.decide({"a"}, set(), 1)
        assert decision is retry_policy.RetryDecision.ALLOWED

    def test_no_further_endpoint_than_the_route_allows(self) -> None:
        decision = self.decide({"a", "b"}, set(), 2)
        assert decision is retry_policy.RetryDecision.NO_ATTEMPTS

    def test_rejecting_endpoint_may_get_it_again(self) -> None:
        decision = self.decide({"a", "b"}, {"a"}, 2)
        assert decision is retry_policy.RetryDecision.ALLOWED

    def test_sends_are_limited(self) -> None:
        sends = retry_policy.MAX_SEND_COUNT
        decision = self.decide({"a", "b"}, {"a", "b"}, sends)
        assert decision is retry_policy.RetryDecision.NO_ATTEMPTS

    def test_each_send_is_charged(self) -> None:
        policy = build_policy()
        before = policy.get_remaining_retries(0.0)["stock"]
        policy.decide_and_charge(build_pending({"a", "b"}, {"a"}, 2), 0.0)
        assert policy.get_remaining_retries(0.0)["stock"] == before - 1.0
