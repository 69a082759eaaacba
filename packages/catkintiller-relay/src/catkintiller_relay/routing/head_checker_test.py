"""Tests of what is decided by the head of a request, without a network."""

import asyncio
from collections.abc import Callable

from .. import data
from ..ingress import body_budget, http1, incoming_body
from . import authentication_test, head_checker, pending_request
from .authentication_test import CUSTOMER, NAMES, ROOT_ROUTE

HOST = (b"host", b"a")
KEY = (NAMES.credentials, b"Token k1")
MEAN_S = 0.5
LIMITED = CUSTOMER._replace(rate_per_s=1.0)


class FakeAdmission:
    """Admits all or nothing.

    :ivar admitted_count: places that are taken.
    """

    has_customers = False
    has_reservations = False

    def __init__(self) -> None:
        self.admits = True
        self.admitted_count = 0

    def admit_request(self, *request: object) -> bool:
        """Takes a place."""
        self.admitted_count += self.admits
        return self.admits

    def refuse_by_share(self, *request: object) -> None:
        """Returns that the customer has no share of its own."""

    def get_known_occupancy_s(self, service: str, route: str) -> float | None:
        """Returns the mean time of all routes, in seconds."""
        return MEAN_S

    def withdraw_request(self, *request: object) -> None:
        """Returns a place."""
        self.admitted_count -= 1


class FakeTicket:
    """A ticket of a customer's quota."""

    refusal = None
    customer_name = CUSTOMER.name


class FakeQuotas:
    """Grants a token when the test says so.

    :ivar token_count: tokens that are taken.
    """

    def __init__(self) -> None:
        self.token_count = 0
        self.waiting = []

    def acquire(
        self,
        customer: data.Customer,
        on_decision: Callable[[FakeTicket], None],
        max_wait_s: float,
    ) -> FakeTicket:
        """Lets a request wait."""
        ticket = FakeTicket()
        self.waiting.append(lambda: on_decision(ticket))
        return ticket

    def grant(self) -> None:
        """Grants a token to the first request that waits."""
        self.token_count += 1
        self.waiting.pop(0)()

    def cancel(self, ticket: FakeTicket) -> None:
        """Ends a wait."""

    def refund(self, ticket: FakeTicket) -> None:
        """Takes a token back."""
        self.token_count -= 1


class FakeConnection:
    """A connection with or without room for a body."""

    def __init__(self) -> None:
        self.has_room = True
        self.reserve_count = 0

    def reserve_body(self) -> bool:
        """Reserves room."""
        self.reserve_count += 1
        return self.has_room


class Checker(head_checker.HeadDecisionHandler):
    """A head checker whose decisions are recorded.

    :ivar decisions: what was decided, in order.
    """

    def __init__(self, *customers: data.Customer) -> None:
        loop = asyncio.new_event_loop()
        setup = authentication_test.Setup(*customers)
        self.admission = FakeAdmission()
        self.quotas = FakeQuotas()
        self.connection = FakeConnection()
        self.blocked = False
        self.decisions: list = []
        self._stopping = False
        self._ends_at: float | None = None
        self.checker = head_checker.HeadChecker(
            loop,
            NAMES,
            setup.authenticator,
            setup.authenticator._graph,
            self.quotas,
            self.admission,
            self,
        )
        limits = data.ClientLimits(1000, 1000, 1.0, 1.0)
        self.config = data.Config(1, (ROOT_ROUTE,), ("pay",), limits, b"", customers)
        self.now = loop.time()
        loop.close()

    @property
    def pending_count(self) -> int:
        """One request."""
        return 1

    @property
    def stopping(self) -> bool:
        """Whether the node stops."""
        return self._stopping

    @property
    def ends_at(self) -> float | None:
        """When the node ends."""
        return self._ends_at

    def accept(self, pending: pending_request.PendingRequest) -> None:
        """Records an accepted request."""
        self.decisions.append("accept")

    def refuse(
        self, pending: pending_request.PendingRequest, reason: data.RefusalReason
    ) -> None:
        """Records a refusal."""
        self.decisions.append(reason)

    def reject(
        self, pending: pending_request.PendingRequest, status: int, headers: bytes = b""
    ) -> None:
        """Records a status code."""
        self.decisions.append(status)

    def is_blocked(self, pending: pending_request.PendingRequest, now: float) -> bool:
        """Returns what the test has set."""
        return self.blocked

    def check(
        self,
        *headers: tuple[bytes, bytes],
        target: bytes = b"/root/x",
        has_body: bool = True,
    ) -> pending_request.PendingRequest:
        """Checks the head of a request."""
        request = http1.Request(b"POST", target, [HOST, *headers])
        request.head_received_at = self.now
        if has_body:
            request.incoming_body = incoming_body.IncomingBody(
                body_budget.BodyBudget(9), 5, 9, expects_continue=False
            )
        pending = pending_request.PendingRequest(None, self.connection, request)
        self.checker.check(pending)
        return pending


def build_checker(*customers: data.Customer) -> Checker:
    """Builds a checker whose config is in force."""
    checker = Checker(*customers)
    checker.checker.set_config(checker.config)
    return checker


class TestDecision:
    """A request that is refused takes nothing that others need."""

    def test_without_a_config(self) -> None:
        checker = Checker()
        checker.check()
        assert checker.decisions == [data.RefusalReason.NO_CONFIG]

    def test_unknown_route_and_key_reserve_no_room(self) -> None:
        checker = build_checker(LIMITED)
        checker.check(KEY, target=b"/none/x")
        checker.check()
        checker.check((NAMES.credentials, b"Token k2"))
        assert checker.decisions == [404, 401, 401]
        assert checker.connection.reserve_count == 0
        assert not checker.quotas.waiting

    def test_no_room_takes_no_token(self) -> None:
        checker = build_checker(LIMITED)
        checker.connection.has_room = False
        checker.check(KEY)
        assert checker.decisions == [data.RefusalReason.NO_MEMORY]
        assert not checker.quotas.waiting

    def test_request_without_a_body_needs_no_room(self) -> None:
        checker = build_checker()
        checker.connection.has_room = False
        checker.check(has_body=False)
        assert checker.decisions == ["accept"]
        assert checker.connection.reserve_count == 0

    def test_overload(self) -> None:
        checker = build_checker()
        checker.admission.admits = False
        checker.check()
        assert checker.decisions == [data.RefusalReason.CHAIN_OVERLOADED]

    def test_expired(self) -> None:
        checker = build_checker()
        checker.check((NAMES.deadline, b"0"))
        assert checker.decisions == [data.RefusalReason.TIMEOUT]

    def test_block_is_checked_when_the_body_is_known(self) -> None:
        checker = build_checker()
        checker.blocked = True
        checker.check(has_body=False)
        checker.check(has_body=True)
        assert checker.decisions == [data.RefusalReason.BLOCKED, "accept"]


class TestStop:
    """A node that stops accepts only what it can still answer."""

    def test_request_that_will_not_end_in_time_is_refused(self) -> None:
        checker = build_checker()
        checker._ends_at = checker.now + MEAN_S
        pending = checker.check()
        assert pending.expires_at > checker._ends_at
        assert checker.decisions == [data.RefusalReason.STOPPING]
        assert checker.connection.reserve_count == 0

    def test_request_with_a_short_deadline_is_accepted(self) -> None:
        checker = build_checker()
        checker._ends_at = checker.now + 2 * MEAN_S
        checker.check((NAMES.deadline, b"%d" % (MEAN_S * 1000)))
        assert checker.decisions == ["accept"]

    def test_request_is_accepted_while_there_is_time(self) -> None:
        checker = build_checker()
        checker._ends_at = checker.now + 10 * MEAN_S
        checker.check()
        assert checker.decisions == ["accept"]


class TestWithdrawal:
    """What was taken on the head is given back if the body never completes."""

    def test_token_and_place(self) -> None:
        checker = build_checker(LIMITED)
        pending = checker.check(KEY)
        assert checker.decisions == []
        checker.quotas.grant()
        assert checker.decisions == ["accept"]
        assert (checker.quotas.token_count, checker.admission.admitted_count) == (1, 1)
        checker.checker.withdraw(pending)
        checker.checker.withdraw(pending)
        assert (checker.quotas.token_count, checker.admission.admitted_count) == (0, 0)
