"""Nodes in virtual time, used by the tests of quotas: no sockets, no processes."""

import heapq
import random
from collections.abc import Callable, Iterable

from .. import data
from ..membership import config_role, frames
from . import coordinator, customer_account, quota_client

STEP_S = 0.01
TICK_S = 0.05
LATENCY_S = 0.001
WINDOW_S = 5.0


class VirtualNode:
    """One node with its client and its coordinator.

    :ivar clock_offset_s: its clock minus virtual time, in seconds.
    """

    def __init__(self, net: "VirtualNodes", address: str, index: int) -> None:
        self._net = net
        self.address = address
        self.clock_offset_s = 1000.0 + 7.0 * index
        self.is_paused = False
        self.inbox: list[tuple[str, object]] = []
        self.tick_at = TICK_S * index / len(net.addresses)
        now = net.now + self.clock_offset_s
        self.coordinator = coordinator.Coordinator(now)
        self.client = quota_client.QuotaClient(address, self._send, net.rng)
        self.set_customers(net.customers)

    @property
    def now(self) -> float:
        """Time of its own clock, in seconds."""
        return self._net.now + self.clock_offset_s

    def set_customers(self, customers: Iterable[data.Customer]) -> None:
        """Applies a config."""
        self.coordinator.set_customers(self.now, customers)
        self.client.set_customers(self.now, customers)

    def tick(self) -> None:
        """Does what a node does periodically."""
        net = self._net
        self.coordinator.expire(self.now)
        self.coordinator.own_member_count = len(net.addresses)
        candidates = [each for each in net.order if net.is_linked(self.address, each)]
        self.client.set_members(self.now, candidates, len(net.addresses), listed=True)
        self.client.tick(self.now)
        interval_s = 0.03 if self.client.is_urgent else TICK_S
        self.tick_at = net.now + interval_s

    def handle(self, sender: str, message: object) -> None:
        """Handles a message."""
        if isinstance(message, frames.QuotaReply):
            self.client.handle_reply(sender, message, self.now)
            return
        reply = self.coordinator.handle_request(sender, message, self.now)
        self._send(sender, reply)

    def _send(self, address: str, message: object) -> None:
        if address == self.address:
            self.handle(address, message)
        else:
            self._net.send(self.address, address, message)


class VirtualNodes:
    """Nodes and the links between them.

    :ivar run_at: times at which requests ran, by customer.
    :ivar refusals: times and reasons of refusals, by customer.
    """

    def __init__(self, count: int, customers: list[data.Customer]) -> None:
        self.now = 0.0
        self.rng = random.Random(7)
        self.customers = customers
        self.addresses = [f"10.0.0.{number}:1" for number in range(count)]
        self.order = sorted(self.addresses, key=config_role.get_position)
        self.groups: dict[str, int] = {}
        self.run_at: dict[str, list[float]] = {each.name: [] for each in customers}
        self.refusals: dict[str, list[tuple[float, str]]] = {
            each.name: [] for each in customers
        }
        self.message_count = 0
        self._messages: list[tuple[float, int, str, str, object]] = []
        self.nodes: dict[str, VirtualNode] = {}
        for index, address in enumerate(self.addresses):
            self.nodes[address] = VirtualNode(self, address, index)

    def is_linked(self, first: str, second: str) -> bool:
        """Returns whether two nodes are connected; a paused node still is."""
        same_group = self.groups.get(first, 0) == self.groups.get(second, 0)
        return second in self.nodes and same_group

    def send(self, sender: str, address: str, message: object) -> None:
        """Sends a message unless the link is broken."""
        self.message_count += 1
        if self.is_linked(sender, address):
            entry = (self.now + LATENCY_S, self.message_count, sender, address, message)
            heapq.heappush(self._messages, entry)

    def restart(self, address: str) -> None:
        """Replaces a node by a new process at the same clock."""
        index = self.addresses.index(address)
        self.nodes[address] = VirtualNode(self, address, index)

    def resume(self, address: str) -> None:
        """Resumes a paused node; it first handles what has been queued for it."""
        node = self.nodes[address]
        node.is_paused = False
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            node.handle(sender, message)

    def request(
        self, customer: data.Customer, address: str, *, runs: bool = True
    ) -> None:
        """Sends a request of a customer to a node.

        :param runs: whether it runs; if not, its token is refunded.
        """
        node = self.nodes.get(address)
        if node is None or node.is_paused:
            return

        def decide(ticket: customer_account.Ticket) -> None:
            if ticket.refusal is not None:
                entry = (self.now, ticket.refusal.reason.value)
                self.refusals[customer.name].append(entry)
            elif runs:
                self.run_at[customer.name].append(self.now)
            else:
                node.client.refund(customer.name, node.now, ticket.expires_at)

        node.client.acquire(customer, node.now, decide)

    def run(
        self, duration_s: float, load: Callable[[float], Iterable[tuple]] | None = None
    ) -> None:
        """Advances virtual time.

        :param load: returns the customers and addresses of the requests of a step that
            begins at a time.
        """
        for _ in range(round(duration_s / STEP_S)):
            step_end = self.now + STEP_S
            for customer, address in load(self.now) if load else ():
                self.request(customer, address)
            self._deliver(step_end)
            self.now = step_end
            for node in list(self.nodes.values()):
                if not node.is_paused and self.now >= node.tick_at:
                    node.tick()

    def _deliver(self, until: float) -> None:
        while self._messages and self._messages[0][0] <= until:
            self.now, _, sender, address, message = heapq.heappop(self._messages)
            node = self.nodes.get(address)
            if node is not None and node.is_paused:
                node.inbox.append((sender, message))
            elif node is not None and self.is_linked(sender, address):
                node.handle(sender, message)


def build_customer(
    name: str = "north", rate_per_s: float = 100.0, burst: float = 100.0
) -> data.Customer:
    """Builds a customer with a quota."""
    return data.Customer(name, (), None, rate_per_s, burst)


def build_load(
    rng: random.Random,
    customer: data.Customer,
    rate_per_s: float,
    pick: Callable[[float], str],
) -> Callable[[float], Iterable[tuple]]:
    """Builds a load with random arrivals.

    :param pick: returns the address of the node for a request at a time.
    """

    def load(now: float) -> Iterable[tuple]:
        expected = rate_per_s * STEP_S
        count = int(expected) + (rng.random() < expected % 1)
        return [(customer, pick(now)) for _ in range(count)]

    return load


def limit_load(
    load: Callable[[float], Iterable[tuple]], customer: data.Customer
) -> Callable[[float], Iterable[tuple]]:
    """Limits a load to requests that a single token bucket with the quota allows."""
    level = customer.burst
    last = 0.0

    def limited_load(now: float) -> Iterable[tuple]:
        nonlocal level, last
        level = min(customer.burst, level + (now - last) * customer.rate_per_s)
        last = now
        requests = []
        for request in load(now):
            if level >= 1.0:
                level -= 1.0
                requests.append(request)
        return requests

    return limited_load


def check_windows(net: VirtualNodes, customer: data.Customer) -> None:
    """Checks that no window has more requests than the quota rule allows."""
    times = net.run_at[customer.name]
    limit = (customer.rate_per_s * WINDOW_S + customer.burst) * 1.1 + 20
    first = 0
    for index, time in enumerate(times):
        while times[first] <= time - WINDOW_S:
            first += 1
        assert index - first + 1 <= limit, f"{index - first + 1} at {time}"
