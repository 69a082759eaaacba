"""Tests of the admission of a pending request by the share of its customer."""

from .. import data
from ..ingress import http1
from ..shares import played_load_test
from . import pending_request, request_log, retry_after, share_gate

CUSTOMER = data.Customer("a", (b"digest",))


def build_pending(customer: data.Customer | None) -> pending_request.PendingRequest:
    """Builds a root request of rank 1."""
    request = http1.Request(b"GET", b"/thing", [])
    pending = pending_request.PendingRequest(lambda each: None, None, request)
    pending.route = played_load_test.ROUTE
    pending.service = played_load_test.SERVICE
    pending.rank = 1
    pending.customer = customer
    return pending


def build_overload() -> played_load_test.World:
    """Builds two nodes whose customer demands ten times the capacity."""
    world = played_load_test.World(2, 4.0, {"a": 400.0, "b": 5.0})
    world.run(3.0)
    return world


class TestReason:
    """Refusals that do not tell which customer, share and data were behind them."""

    def refuse(self, customer: data.Customer | None):
        """Sends requests until one is refused."""
        world = build_overload()
        for _ in range(100):
            pending = build_pending(customer)
            reason = share_gate.admit(world.nodes[0], pending, world.now)
            if reason is not None:
                return pending, reason
        raise AssertionError("no request was refused")

    def test_refusal_of_a_customer_has_its_figures(self) -> None:
        pending, reason = self.refuse(CUSTOMER)
        assert reason is data.RefusalReason.SHARE_EXCEEDED
        fields = request_log.build_customer_fields(pending)
        assert fields["customer"] == "a"
        assert fields["limited_by"] == played_load_test.SERVICE
        assert 0.0 < fields["share"] < 0.5
        assert 0 <= fields["sums_age_ms"] < 500
        delay_s = retry_after.compute_retry_after_s(pending, reason, 0.0, None, None)
        assert delay_s == pending.share_refusal.retry_after_s

    def test_nested_call_is_admitted(self) -> None:
        world = build_overload()
        for _ in range(100):
            pending = build_pending(CUSTOMER)
            pending.is_nested_call = True
            assert share_gate.admit(world.nodes[0], pending, world.now) is None

    def test_request_without_customer_has_no_share(self) -> None:
        world = build_overload()
        world.nodes[0].has_customers = False
        pending = build_pending(None)
        reason = share_gate.admit(world.nodes[0], pending, world.now)
        assert reason in (None, data.RefusalReason.CHAIN_OVERLOADED)
        assert pending.share_refusal is None

    def test_return_at_its_time_is_admitted(self) -> None:
        world = build_overload()
        pending = build_pending(CUSTOMER)
        while share_gate.admit(world.nodes[0], pending, world.now) is None:
            pending = build_pending(CUSTOMER)
        at = world.now + pending.share_refusal.retry_after_s
        assert share_gate.admit(world.nodes[0], build_pending(CUSTOMER), at) is None
