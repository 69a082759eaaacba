"""Decides on whose behalf a request is handled.

With customers in the config, a root request is identified by its key. A nested call has
none: it belongs to the running request whose ID it extends. A process that has just
started does not know the requests that run at its endpoint, so for a while it accepts
nested calls of routes that are known to get them.
"""

import enum
from collections.abc import Callable

import msgspec

from .. import data
from ..customers import credentials
from ..ingress import http1
from . import call_graph

IsCurrent = Callable[[], bool]


class Decision(enum.Enum):
    """Whether a request is handled."""

    ACCEPT = "accept"
    UNAUTHORIZED = "unauthorized"
    PARENT_ENDED = "parent_ended"
    KEYS_OUTDATED = "keys_outdated"

    @property
    def reason(self) -> data.RefusalReason:
        """Why the request is refused with status 503."""
        return data.RefusalReason(self.value)


class Identity(msgspec.Struct, frozen=True):
    """Sender of a request.

    :param customer: customer that it is charged to; None if there is none, or for a
        nested call of a request that the node does not know.
    :param parent: running request that it is a nested call of, if known.
    :param is_nested_call: whether an endpoint sent it while it ran another request.
    """

    decision: Decision
    customer: data.Customer | None = None
    parent: call_graph.RunningRequest | None = None
    is_nested_call: bool = False


class Authenticator:
    """Identifies the senders of requests by the config in force.

    :param running_requests: requests that run at the local endpoint.
    :param started_at: time of the event loop when the process started, in seconds.
    :param is_current: returns whether keys that are in force here may be honoured; if
        not, some of them may have been withdrawn, and others added.
    """

    def __init__(
        self,
        header_names: data.HeaderNames,
        running_requests: call_graph.RunningRequestIndex,
        graph: call_graph.CallGraph,
        started_at: float,
        is_current: IsCurrent,
    ) -> None:
        self._header_names = header_names
        self._running_requests = running_requests
        self._graph = graph
        self._started_at = started_at
        self._is_current = is_current
        self._keys: credentials.KeyTable | None = None
        self._customers: dict[str, data.Customer] = {}
        self._longest_timeout_s = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether the config in force has customers."""
        return self._keys is not None

    def set_config(self, config: data.Config) -> None:
        """Applies a config."""
        self._keys = None
        self._customers = {}
        if config.customers:
            self._keys = config.key_table or credentials.KeyTable(config.customers)
            self._customers = self._keys.customers
        self._longest_timeout_s = max(
            (route.timeout_s for route in config.routes), default=0.0
        )

    def get_customer(self, name: str) -> data.Customer | None:
        """Returns the customer of a name; None if the config has none."""
        return self._customers.get(name)

    def identify(
        self, request: http1.Request, route: data.Route, deadline: float, now: float
    ) -> Identity:
        """Identifies the sender of a request.

        :param deadline: time of the event loop at which the sender stops waiting, in
            seconds.
        :param now: time of the event loop, in seconds.
        """
        request_id = request.get_header(self._header_names.request_id) or b""
        if self._keys is None:
            parent = self._running_requests.find_parent(request_id, deadline)
            is_nested_call = parent is not None or self._graph.is_callee(route.name)
            return Identity(Decision.ACCEPT, None, parent, is_nested_call)
        values = request.get_headers(self._header_names.credentials)
        if values:
            if not self._is_current():
                is_public = route.public
                decision = Decision.ACCEPT if is_public else Decision.KEYS_OUTDATED
                return Identity(decision)
            customer = self._keys.find(values[0]) if len(values) == 1 else None
            if customer is not None or route.public:
                return Identity(Decision.ACCEPT, customer)
            return Identity(Decision.UNAUTHORIZED)
        return self._identify_without_key(request_id, route, now)

    def _identify_without_key(
        self, request_id: bytes, route: data.Route, now: float
    ) -> Identity:
        parent = self._running_requests.find_extended(request_id)
        if parent is not None:
            # A key may have been withdrawn since; the tree of calls is completed.
            customer = self._customers.get(parent.customer)
            return Identity(Decision.ACCEPT, customer, parent, True)
        is_callee = self._graph.is_callee(route.name)
        if route.public:
            return Identity(Decision.ACCEPT, None, None, is_callee)
        extends_id = call_graph.get_root_id(request_id) not in (b"", request_id)
        if not is_callee or not extends_id:
            return Identity(Decision.UNAUTHORIZED)
        if now < self._started_at + self._longest_timeout_s:
            return Identity(Decision.ACCEPT, None, None, True)
        return Identity(Decision.PARENT_ENDED)
