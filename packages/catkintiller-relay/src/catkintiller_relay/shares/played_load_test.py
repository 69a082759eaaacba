"""Played loads: the admission of many nodes in virtual time, without a network.

``python -m catkintiller_relay.shares.played_load_test`` prints the figures.
"""

import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from .. import data
from ..routing import admission, call_graph
from . import demand_sums, demand_table

STEP_S = 0.1
REPORT_DELAY_STEPS = 2
MESSAGE_STEPS = 2
SERVICE = "deep"
SLOT_S = 0.1
ROUTE = data.Route("ask", "", "/", data.RequestKind.IDEMPOTENT, (), 5.0, 1.0, 2, 1)
CUSTOMER_COUNT = 76
ZIPF_EXPONENT = 1.2
IMMEDIATE_RETRY_S = 0.05
MAX_RETRY_COUNT = 5


class Arrival(NamedTuple):
    """A request on its way to a node."""

    at: float
    number: int
    customer: str
    rank: int
    node: int
    attempt: int
    told: bool


class FakeEndpoints:
    """What the node knows about one service and about the demand at its peers."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def estimate_peer_demand(self, now: float) -> dict[str, dict[int, float]]:
        """Returns the demand at the other nodes, some steps ago."""
        world = self._world
        ratio = 1.0 - 1.0 / len(world.nodes)
        return {SERVICE: {k: v * ratio for k, v in world.reported[0].items()}}

    def compute_occupancies_s(self, now: float) -> dict[tuple[str, str], float]:
        """Returns the time for which a request holds a slot."""
        return {(SERVICE, ROUTE.name): SLOT_S}

    def get_highest_rank_utilizations(self) -> dict[str, float]:
        """Returns nothing, like a directory of nodes of an older version."""
        return {}

    def get_loads(self) -> dict[str, tuple[float, float]]:
        """Returns slots and utilization."""
        return {SERVICE: (self._world.slots, self._world.utilization)}


class World:
    """Nodes, one service, and customers that send requests.

    :param rates: requests per second by customer; may be changed while it runs.
    :param retry: ``none``, ``immediate`` or ``told``: whether and when refused requests
        return, to the node that refused them.
    """

    def __init__(
        self,
        node_count: int,
        slots: float,
        rates: dict[str, float],
        *,
        by_customer: bool = True,
        retry: str = "none",
        retrying: str | None = None,
        ranks: dict[str, int] | None = None,
    ) -> None:
        self.now = 0.0
        self.slots = slots
        self.rates = rates
        self.rng = random.Random(11)
        self.utilization = 0.0
        self.reported: list[dict[int, float]] = [{} for _ in range(REPORT_DELAY_STEPS)]
        self.sums = demand_sums.DemandSums()
        self.links_up = True
        self.by_customer = by_customer
        self.retry = retry
        self.retrying = retrying
        self.ranks = ranks or {}
        self.nodes: list[admission.AdmissionController] = []
        for number in range(node_count):
            node = admission.AdmissionController(
                FakeEndpoints(self), call_graph.CallGraph(), random.Random(number)
            )
            node.has_customers = by_customer
            self.nodes.append(node)
        self._queue: list[Arrival] = []
        self._numbers = itertools.count()
        self.clear()

    def clear(self) -> None:
        """Begins to count anew."""
        self.offered: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self.returned = [0, 0]
        self.delays: dict[str, list[float]] = {}
        self.work: list[float] = []
        self.entry_count = self.report_count = 0

    def run(self, duration_s: float) -> None:
        """Advances virtual time."""
        for _ in range(round(duration_s / STEP_S)):
            self._add_arrivals()
            admitted_slot_s = 0.0
            while self._queue and self._queue[0].at < self.now + STEP_S:
                admitted_slot_s += SLOT_S * self._offer(heapq.heappop(self._queue))
            self.now += STEP_S
            self.work.append(admitted_slot_s / STEP_S)
            self.utilization += 0.3 * (
                sum(self.work[-4:]) / len(self.work[-4:]) / self.slots
                - self.utilization
            )
            self._update_nodes()

    def get_ratio(self, *customers: str) -> float:
        """Returns the ratio of the requests of some customers that were served."""
        offered = sum(self.offered.get(each, 0) for each in customers)
        return sum(self.served.get(each, 0) for each in customers) / max(1, offered)

    def get_peak(self, first_s: float = 0.0) -> float:
        """Returns the most slots used in half a second."""
        work = self.work[round(first_s / STEP_S) :]
        return max(sum(work[i : i + 5]) / 5 for i in range(len(work) - 4))

    def _add_arrivals(self) -> None:
        for customer, rate in self.rates.items():
            at = self.now + self.rng.expovariate(rate)
            while at < self.now + STEP_S:
                node = self.rng.randrange(len(self.nodes))
                self._push(at, customer, node, 0, False, next(self._numbers))
                at += self.rng.expovariate(rate)

    def _push(self, at, customer, node, attempt, told, number) -> None:
        rank = self.ranks.get(customer, 1)
        arrival = Arrival(at, number, customer, rank, node, attempt, told)
        heapq.heappush(self._queue, arrival)

    def _offer(self, each: Arrival) -> bool:
        node = self.nodes[each.node]
        if not each.attempt:
            self.offered[each.customer] = self.offered.get(each.customer, 0) + 1
        admitted = node.admit_request(
            ROUTE, SERVICE, each.rank, each.customer, each.number, each.at
        )
        if each.told:
            self.returned[0] += 1
            self.returned[1] += admitted
        if admitted:
            self.served[each.customer] = self.served.get(each.customer, 0) + 1
        else:
            self._refuse(node, each)
        return admitted

    def _refuse(self, node: admission.AdmissionController, each: Arrival) -> None:
        delay_s = IMMEDIATE_RETRY_S
        if self.by_customer:
            refusal = node.refuse_by_share(
                ROUTE, SERVICE, each.rank, each.customer, each.number, each.at
            )
            if refusal is not None:
                self.delays.setdefault(each.customer, []).append(refusal.retry_after_s)
                delay_s = refusal.retry_after_s if self.retry == "told" else delay_s
            elif self.retry == "told":
                return
        if self.retry == "none" or each.attempt >= MAX_RETRY_COUNT:
            return
        if self.retrying is None or each.customer == self.retrying:
            told = self.retry == "told"
            at = each.at + delay_s
            number = each.number
            self._push(at, each.customer, each.node, each.attempt + 1, told, number)

    def _update_nodes(self) -> None:
        step = round(self.now / STEP_S)
        total: dict[int, float] = {}
        for index, node in enumerate(self.nodes):
            node.update(self.now, STEP_S)
            for (_, rank), slots in zip(
                node.demand_keys, node.get_demand(), strict=True
            ):
                total[rank] = total.get(rank, 0.0) + slots
            if self.links_up and (step + index) % MESSAGE_STEPS == 0:
                self._exchange(index, node.customer_demand)
        self.reported = [*self.reported[1:], total]

    def _exchange(self, index: int, table: demand_table.DemandTable) -> None:
        report = table.get_report(demand_table.REPORTED_COUNT)
        if report:
            self.report_count += 1
            self.entry_count += len(report)
            self.sums.record(str(index), report, self.now)
            table.apply_totals(self.sums.get_totals(self.now), self.now)


def build_rates(total_per_s: float) -> dict[str, float]:
    """Builds the usual rates of customers whose sizes fall off by a power."""
    sizes = [(k + 1) ** -ZIPF_EXPONENT for k in range(CUSTOMER_COUNT)]
    return {f"c{k:02}": total_per_s * size / sum(sizes) for k, size in enumerate(sizes)}


def compute_jain(values: list[float]) -> float:
    """Computes Jain's index of fairness."""
    return sum(values) ** 2 / (len(values) * sum(each * each for each in values))


def play_surge(node_count: int, hot: str, *, by_customer: bool, **options) -> World:
    """Plays a usual load of 0.8 of the slots, then one customer at 7 times its own.

    The counts are those from 3 s after the surge begins.
    """
    total_per_s = 16.0 * node_count
    rates = build_rates(total_per_s)
    world = World(
        node_count,
        total_per_s * SLOT_S / 0.8,
        rates,
        by_customer=by_customer,
        retrying=hot,
        **options,
    )
    world.run(3.0)
    rates[hot] *= 7.0
    world.run(3.0)
    world.clear()
    world.run(8.0)
    return world


class TestCustomerAtSevenTimes:
    """One customer takes the room of all others if only the rank is divided."""

    @pytest.mark.parametrize("node_count", [69, 300])
    @pytest.mark.parametrize("hot", ["c00", "c04"])
    def test_others_are_served(self, node_count: int, hot: str) -> None:
        world = play_surge(node_count, hot, by_customer=True)
        others = [each for each in world.rates if each != hot]
        assert world.get_ratio(*others[1:]) > 0.95
        assert min(world.get_ratio(each) for each in others[1:]) > 0.9
        assert world.get_peak() < 1.15 * world.slots
        assert sum(world.work) / len(world.work) > 0.85 * world.slots

    def test_rank_alone_refuses_others(self) -> None:
        world = play_surge(69, "c00", by_customer=False)
        assert world.get_ratio("c10", "c20", "c40") < 0.6

    def test_immediate_retries_harm_their_sender_only(self) -> None:
        world = play_surge(69, "c04", by_customer=True, retry="immediate")
        others = [each for each in world.rates if each != "c04"]
        assert world.get_ratio(*others[1:]) > 0.95

    def test_without_coordinator_nodes_use_their_own_arrivals(self) -> None:
        rates = build_rates(1104.0)
        world = World(69, 138.0, rates)
        world.links_up = False
        rates["c00"] *= 7.0
        world.run(4.0)
        world.clear()
        world.run(4.0)
        assert world.get_ratio(*list(rates)[5:]) > 0.9


class TestReturns:
    """Clients that return when they were told to are served then."""

    def test_returns_are_served(self) -> None:
        world = play_surge(69, "c00", by_customer=True, retry="told")
        returned, served = world.returned
        assert returned > 100
        assert served > 0.95 * returned
        assert world.get_peak() < 1.15 * world.slots

    def test_far_above_its_share_is_told_later(self) -> None:
        rates = {f"c{k}": 20.0 for k in range(8)} | {"far": 400.0, "near": 60.0}
        world = World(10, 24.0, rates)
        world.run(6.0)
        delays = {name: sum(each) / len(each) for name, each in world.delays.items()}
        assert delays["far"] > 2 * delays["near"]


class TestRanks:
    """The highest rank is served first, whoever sends the most."""

    def test_rank_of_customer_decides(self) -> None:
        rates = {"high": 600.0, "low": 3000.0, "low2": 300.0}
        ranks = {"high": 0, "low": 2, "low2": 2}
        world = World(20, 100.0, rates, ranks=ranks)
        world.run(3.0)
        world.clear()
        world.run(5.0)
        assert world.get_ratio("high") == 1.0
        assert world.get_ratio("low2") > 2 * world.get_ratio("low")


def print_settling() -> None:
    """Prints the work and the ratios in the first seconds of a surge."""
    for node_count, hot, by_customer in itertools.product(
        (69, 300), (("c00",), ("c01", "c03", "c05")), (False, True)
    ):
        rates = build_rates(16.0 * node_count)
        slots = sum(rates.values()) * SLOT_S / 0.8
        world = World(node_count, slots, rates, by_customer=by_customer)
        world.run(3.0)
        for name in hot:
            rates[name] *= 7.0
        others = [each for each in rates if each not in hot]
        steps = []
        for _ in range(6):
            world.clear()
            world.run(0.5)
            use = sum(world.work) / len(world.work) / world.slots
            steps.append(f"{use:.2f}/{world.get_ratio(*others):.2f}")
        print(node_count, *hot, by_customer, "use/others by half second:", *steps)


def print_shortage() -> None:
    """Prints the ratios when all customers together exceed the capacity."""
    for load, by_customer in itertools.product((1.2, 2.0, 5.0), (False, True)):
        rates = build_rates(1104.0)
        world = World(69, 110.4 / load, rates, by_customer=by_customer)
        world.run(5.0)
        world.clear()
        world.run(20.0)
        ratios = [world.get_ratio(each) for each in rates]
        mean = sum(world.served.values()) / sum(world.offered.values())
        print(
            f"load {load} by_customer {by_customer} mean {mean:.2f}",
            f"c00 {ratios[0]:.2f} c01 {ratios[1]:.2f} c10 {ratios[10]:.2f}",
            f"c40-c75 {world.get_ratio(*list(rates)[40:]):.2f} low {min(ratios):.2f}",
            f"jain {compute_jain([world.served.get(e, 0) for e in rates]):.3f}",
        )


def print_figures() -> None:
    """Prints the figures of docs/design/FAIR-SHARES.md."""
    print_settling()
    print_shortage()
    for node_count, hot, retry in itertools.product(
        (69, 300), ("c00", "c04", "c20"), ("none", "immediate", "told")
    ):
        for by_customer in (False, True):
            if retry == "told" and not by_customer:
                continue
            world = play_surge(node_count, hot, by_customer=by_customer, retry=retry)
            ratios = {each: world.get_ratio(each) for each in world.rates}
            others = [each for each in world.rates if each != hot]
            limited = [each for each in others if ratios[each] < 0.95]
            print(
                node_count,
                hot,
                retry,
                "by customer" if by_customer else "by rank",
                f"hot {ratios[hot]:.2f} others {world.get_ratio(*others):.3f}",
                f"lowest {min(ratios[each] for each in others):.2f}",
                f"below 0.95: {len(limited)}",
                f"jain {compute_jain([ratios[each] for each in others]):.3f}",
                f"use {sum(world.work) / len(world.work) / world.slots:.2f}",
                f"peak {world.get_peak() / world.slots:.2f}",
                f"returns {world.returned}",
                f"entries/report {world.entry_count / max(1, world.report_count):.1f}",
                f"reports/node/s {world.report_count / node_count / 8.0:.1f}",
            )


if __name__ == "__main__":
    print_figures()
