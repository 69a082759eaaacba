"""Tests of who a request is handled for."""

from .. import data
from ..customers import credentials
from ..ingress import http1
from . import authentication, call_graph

NAMES = data.HeaderNames(*(name.encode() for name in data.HeaderNames._fields))
TIMEOUT_S = 2.0
DEADLINE = 5.0
ROOT_ROUTE = data.Route(
    "root",
    "a",
    "/root/",
    data.RequestKind.IDEMPOTENT,
    (data.Destination("pay", 1.0),),
    TIMEOUT_S,
    0.5,
    2,
    1,
)
CALLEE_ROUTE = ROOT_ROUTE._replace(name="callee", prefix="/callee/")
PUBLIC_ROUTE = ROOT_ROUTE._replace(name="open", prefix="/open/", public=True)
CUSTOMER = data.Customer("shop", (credentials.compute_digest(b"k1"),))


class Setup:
    """Authenticator with one customer, started at time 0."""

    def __init__(self, *customers: data.Customer, is_current: bool = True) -> None:
        self.running = call_graph.RunningRequestIndex()
        graph = call_graph.CallGraph()
        graph.merge_edges([call_graph.Edge("root", "callee", "pay", 2.0)])
        self.authenticator = authentication.Authenticator(
            NAMES, self.running, graph, 0.0, lambda: is_current
        )
        routes = (ROOT_ROUTE, CALLEE_ROUTE, PUBLIC_ROUTE)
        limits = data.ClientLimits(1000, 1000, 1.0, 1.0)
        self.authenticator.set_config(
            data.Config(1, routes, ("pay",), limits, b"", customers)
        )

    def identify(
        self,
        route: data.Route,
        request_id: bytes,
        *credentials_values: bytes,
        now: float = 100.0,
    ) -> authentication.Identity:
        headers = [(NAMES.request_id, request_id)]
        headers += [(NAMES.credentials, value) for value in credentials_values]
        request = http1.Request(b"GET", b"/", headers)
        return self.authenticator.identify(request, route, DEADLINE, now)


class TestRootRequests:
    """Root requests need a key that is in force."""

    def test_key_identifies_the_customer(self) -> None:
        identity = Setup(CUSTOMER).identify(ROOT_ROUTE, b"r1", b"Token k1")
        assert identity.decision is authentication.Decision.ACCEPT
        assert identity.customer is CUSTOMER

    def test_unknown_missing_or_ambiguous_keys_are_unauthorized(self) -> None:
        setup = Setup(CUSTOMER)
        for values in ((b"Token k2",), (), (b"Token k1", b"Token k1")):
            identity = setup.identify(ROOT_ROUTE, b"r1", *values)
            assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_withdrawn_key_is_unauthorized(self) -> None:
        setup = Setup(CUSTOMER._replace(key_digests=()))
        identity = setup.identify(ROOT_ROUTE, b"r1", b"Token k1")
        assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_public_route_needs_no_key(self) -> None:
        setup = Setup(CUSTOMER)
        assert setup.identify(PUBLIC_ROUTE, b"r1").customer is None
        assert setup.identify(PUBLIC_ROUTE, b"r1", b"Token k1").customer is CUSTOMER
        unknown = setup.identify(PUBLIC_ROUTE, b"r1", b"Token k2")
        assert unknown.decision is authentication.Decision.ACCEPT

    def test_without_customers_no_key_is_needed(self) -> None:
        identity = Setup().identify(ROOT_ROUTE, b"r1")
        assert identity.decision is authentication.Decision.ACCEPT


class TestNestedCalls:
    """Nested calls carry no key; a client cannot pass for one."""

    def test_call_belongs_to_the_customer_of_its_parent(self) -> None:
        setup = Setup(CUSTOMER)
        parent = setup.running.add("root", 1, b"r1", DEADLINE, "shop")
        identity = setup.identify(CALLEE_ROUTE, b"r1.c1")
        assert (identity.customer, identity.parent) == (CUSTOMER, parent)

    def test_request_with_the_deadline_of_a_running_one_is_no_call(self) -> None:
        setup = Setup(CUSTOMER)
        setup.running.add("root", 1, b"r1", DEADLINE, "shop")
        identity = setup.identify(ROOT_ROUTE, b"r2")
        assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_request_with_a_key_is_a_root_request(self) -> None:
        setup = Setup(CUSTOMER)
        setup.running.add("root", 1, b"r1", DEADLINE, "other")
        identity = setup.identify(ROOT_ROUTE, b"r1.c1", b"Token k1")
        assert (identity.customer, identity.parent) == (CUSTOMER, None)

    def test_call_is_accepted_after_a_restart_of_the_node(self) -> None:
        identity = Setup(CUSTOMER).identify(CALLEE_ROUTE, b"r1.c1", now=TIMEOUT_S - 0.1)
        assert identity.decision is authentication.Decision.ACCEPT
        assert identity.is_nested_call

    def test_later_calls_without_a_parent_are_not_run(self) -> None:
        identity = Setup(CUSTOMER).identify(CALLEE_ROUTE, b"r1.c1", now=TIMEOUT_S + 0.1)
        assert identity.decision is authentication.Decision.PARENT_ENDED
        root = Setup(CUSTOMER).identify(ROOT_ROUTE, b"r1.c1", now=TIMEOUT_S - 0.1)
        assert root.decision is authentication.Decision.UNAUTHORIZED


class TestOutdatedKeys:
    """A node that cannot know which keys were withdrawn honours none of them."""

    def test_no_key_is_honoured_or_called_unknown(self) -> None:
        setup = Setup(CUSTOMER, is_current=False)
        for key in (b"Token k1", b"Token k2"):
            identity = setup.identify(ROOT_ROUTE, b"r1", key)
            assert identity.decision is authentication.Decision.KEYS_OUTDATED
            assert identity.decision.reason is data.RefusalReason.KEYS_OUTDATED

    def test_public_routes_are_served_without_a_customer(self) -> None:
        setup = Setup(CUSTOMER, is_current=False)
        identity = setup.identify(PUBLIC_ROUTE, b"r1", b"Token k1")
        assert identity.decision is authentication.Decision.ACCEPT
        assert identity.customer is None

    def test_missing_key_is_still_unauthorized(self) -> None:
        setup = Setup(CUSTOMER, is_current=False)
        identity = setup.identify(ROOT_ROUTE, b"r1")
        assert identity.decision is authentication.Decision.UNAUTHORIZED


class TestImpersonation:
    """A client without a key cannot pass for a nested call of another client."""

    def test_same_deadline_on_a_route_with_nested_calls(self) -> None:
        setup = Setup(CUSTOMER)
        setup.running.add("root", 1, b"r1", DEADLINE, "shop")
        identity = setup.identify(CALLEE_ROUTE, b"r2")
        assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_id_that_shares_only_its_beginning(self) -> None:
        setup = Setup(CUSTOMER)
        setup.running.add("root", 1, b"r1.north.1", DEADLINE, "shop")
        for request_id in (b"r1.south.1", b"r1.north.12", b"r1.north.1", b"r1"):
            identity = setup.identify(ROOT_ROUTE, request_id)
            assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_id_that_extends_no_id(self) -> None:
        """A dot alone passed for the ID of a call of any request without an ID."""
        setup = Setup(CUSTOMER)
        setup.running.add("root", 1, b"", DEADLINE, "shop")
        for now in (TIMEOUT_S - 0.1, 100.0):
            identity = setup.identify(CALLEE_ROUTE, b".1", now=now)
            assert identity.decision is authentication.Decision.UNAUTHORIZED

    def test_deeper_of_two_running_requests_is_the_parent(self) -> None:
        setup = Setup(CUSTOMER)
        parent = setup.running.add("callee", 1, b"r1.2", DEADLINE, "shop")
        setup.running.add("root", 1, b"r1", DEADLINE, "shop")
        identity = setup.identify(CALLEE_ROUTE, b"r1.2.3")
        assert identity.parent is parent
