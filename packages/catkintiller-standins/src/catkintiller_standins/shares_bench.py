"""Measures what fair shares cost a node and the coordinator, without a network."""

import random
import time
import tracemalloc

from catkintiller_relay.membership import frames
from catkintiller_relay.shares import demand_sums, demand_table, played_load_test

DECISION_COUNT = 50_000
ROUND_COUNT = 7
LIMITED_RANKS = (("deep", 0), ("deep", 1), ("deep", 2), ("mid", 1))


def measure_decision_us(world: played_load_test.World, customer: str) -> float:
    """Measures the time of one decision at a node: the best of some rounds."""
    node = world.nodes[0]
    best_s = float("inf")
    for _ in range(ROUND_COUNT):
        begun_at = time.perf_counter()
        for _ in range(DECISION_COUNT):
            node.admit_request(
                played_load_test.ROUTE, played_load_test.SERVICE, 1, customer
            )
        best_s = min(best_s, time.perf_counter() - begun_at)
    return best_s / DECISION_COUNT * 1e6


def print_decisions() -> None:
    """Prints the time of decisions, and the size of the messages."""
    rates = played_load_test.build_rates(1104.0)
    limited = played_load_test.World(69, 138.0, rates)
    rates["c00"] *= 7.0
    limited.run(4.0)
    totals = limited.sums.get_totals(limited.now)
    table = limited.nodes[0].customer_demand
    table.update(demand_table.REPORT_INTERVAL_S)
    report = table.get_report(demand_table.REPORTED_COUNT)
    request = frames.QuotaRequest(69, 1, [], report, 5)
    reply = frames.QuotaReply(1, 69, [], totals, 5)
    print(f"request: {len(report)} entries, {len(frames.encode(request))} bytes")
    print(f"reply: {len(totals)} entries, {len(frames.encode(reply))} bytes")
    idle = played_load_test.World(2, 1e9, {"a": 1.0})
    without = played_load_test.World(2, 1e9, {"a": 1.0}, by_customer=False)
    print(f"decision without customers: {measure_decision_us(without, ''):.2f} us")
    print(f"decision, not limited: {measure_decision_us(idle, 'a'):.2f} us")
    print(f"decision, limited: {measure_decision_us(limited, 'c00'):.2f} us")


def print_coordinator(node_count: int, customer_count: int) -> None:
    """Prints the time of a report and of a reply at the coordinator."""
    rng = random.Random(1)
    sums = demand_sums.DemandSums()
    weights = [(number + 1) ** -1.2 for number in range(customer_count)]
    reports = []
    for _ in range(node_count):
        drawn = dict.fromkeys(rng.choices(range(customer_count), weights, k=40))
        named = [("deep", 1, f"c{k:05}", rng.randint(1, 999)) for k in list(drawn)[:16]]
        reports.append([*named, ("deep", 1, "", 500)])
    for number, report in enumerate(reports):
        sums.record(str(number), report, 0.0)
    begun_at = time.perf_counter()
    for number, report in enumerate(reports):
        sums.record(str(number), report, 0.5)
    recorded_at = time.perf_counter()
    sums.get_totals(0.5)
    replied_at = time.perf_counter()
    record_us = (recorded_at - begun_at) / node_count * 1e6
    reply_us = (replied_at - recorded_at) * 1e6
    print(
        f"coordinator, {node_count} nodes, {customer_count} customers:",
        f"report {record_us:.1f} us, reply {reply_us:.0f} us",
    )


def print_memory() -> None:
    """Prints the memory of the demand of 100 customers in several ranks."""
    tracemalloc.start()
    table = demand_table.DemandTable()
    table.set_limited(LIMITED_RANKS, 0.1)
    for service, rank in LIMITED_RANKS:
        for number in range(100):
            table.record(service, rank, f"c{number}", 1.0)
    table.update(0.1)
    print(f"memory of a table: {tracemalloc.get_traced_memory()[0]} bytes")


if __name__ == "__main__":
    print_decisions()
    for counts in ((69, 76), (300, 76), (300, 10_000), (2000, 10_000)):
        print_coordinator(*counts)
    print_memory()
