"""Queries the customers in force, and what becomes of their requests at the nodes."""

import math
import sys
import time
from collections.abc import Iterable
from typing import TypedDict

from catkintiller import errors
from catkintiller_relay import data
from catkintiller_relay.customers import credentials

from . import config_queries, exit_codes, node_client, render, request_trace

CUSTOMERS_PATH = "/customers"
ANSWERED = "answered"
OVER_QUOTA = "quota_exceeded"
CUSTOMER_COLUMNS = ["customer", "priority", "rate/s", "burst", "keys"]
USE_COLUMNS = ["answered/s", "over quota/s", "refused else/s"]
REFUSAL_COLUMNS = ["customer", "reason", "per s", "nodes", "cause"]
SHARE_COLUMNS = ["service", "rank", "admitted share", "nodes"]
NO_VALUE = "-"

Counts = dict[str, dict[str, int]]


class NodeDocument(TypedDict):
    """What a node tells about its customers.

    :ivar version: version of the config in force; None without one.
    :ivar coordinator: whether it grants the tokens of the quotas; None without quotas.
    :ivar followers: number of nodes that follow it.
    :ivar shares: admitted shares by service and rank, where they are limited.
    :ivar customers: number of results by customer and result.
    """

    version: int | None
    coordinator: bool | None
    followers: int
    shares: dict[str, dict[str, float]]
    customers: Counts


class Refusals(TypedDict):
    """Refused requests of one customer for one reason.

    :ivar per_s: refusals per second at all nodes.
    :ivar nodes: number of nodes that refused any.
    """

    per_s: float
    nodes: int


def find_argument_problem(addresses: list[str], interval_s: float) -> str:
    """Describes why counts cannot be measured; empty if they can."""
    if not addresses:
        return "no node is given"
    if not 0 < interval_s < math.inf:
        return f"--interval is {interval_s:g}, must be above 0"
    return ""


def show_customers(
    store: str, addresses: list[str], interval_s: float, as_json: bool
) -> int:
    """Prints the customers of the newest config, with their use if nodes are given.

    Keys are printed as the first digits of their digests.

    :param store: ``IP:PORT`` of the store.
    :param addresses: ``IP:PORT`` of the metrics of the nodes whose counts are summed.
    :param interval_s: time over which the use is measured, in seconds.
    """
    problem = find_argument_problem(addresses, interval_s)
    if addresses and problem:
        print(problem, file=sys.stderr)
        return exit_codes.INVALID_INPUT
    config = config_queries.read_config(store)
    customers = () if config is None else config.customers
    rows = [build_row(customer) for customer in customers]
    columns = list(CUSTOMER_COLUMNS)
    if addresses:
        columns += USE_COLUMNS
        increases = measure_increases(addresses, interval_s)
        for customer, row in zip(customers, rows, strict=True):
            row += build_use(customer.name, increases, interval_s)
    render.print_rows(columns, rows, as_json)
    return exit_codes.OK if rows else exit_codes.FAULT_FOUND


def show_refusals(
    addresses: list[str], name: str, interval_s: float, as_json: bool
) -> int:
    """Prints whose requests the nodes refuse, why, and which ranks they limit.

    :param addresses: ``IP:PORT`` of the metrics of the nodes.
    :param name: the only customer to be printed; empty for all.
    :param interval_s: time over which refusals are counted, in seconds.
    """
    problem = find_argument_problem(addresses, interval_s)
    if problem:
        print(problem, file=sys.stderr)
        return exit_codes.INVALID_INPUT
    increases = measure_increases(addresses, interval_s)
    rows = []
    for (customer, reason), refusals in sum_refusals(increases, interval_s).items():
        if name in ("", customer):
            cause = request_trace.CAUSE_BY_REASON.get(reason, reason)
            rate = round(refusals["per_s"], 2)
            rows.append([customer, reason, rate, refusals["nodes"], cause])
    share_rows = build_share_rows(fetch_documents(addresses).values())
    if as_json:
        render.print_json(
            {
                "refusals": _build_objects(REFUSAL_COLUMNS, rows),
                "shares": _build_objects(SHARE_COLUMNS, share_rows),
            }
        )
    else:
        render.print_table(REFUSAL_COLUMNS, rows)
        if share_rows:
            print()
            render.print_table(SHARE_COLUMNS, share_rows)
    return exit_codes.FAULT_FOUND if rows else exit_codes.OK


def fetch_documents(addresses: list[str]) -> dict[str, NodeDocument]:
    """Fetches what nodes tell about their customers, by address.

    :raises errors.NodeUnreachable: if none of the nodes responds.
    """
    documents = node_client.get_json_from_all(addresses, CUSTOMERS_PATH)
    found = {
        address: document
        for address, document in zip(addresses, documents, strict=True)
        if document is not None
    }
    if not found:
        raise errors.NodeUnreachable(", ".join(addresses))
    return found


def measure_increases(addresses: list[str], interval_s: float) -> dict[str, Counts]:
    """Measures by how much the counts of each node increase within a time.

    Nodes that do not respond both times are left out and named on standard error.

    :raises errors.NodeUnreachable: if no node responds both times.
    """
    before = fetch_documents(addresses)
    time.sleep(interval_s)
    after = fetch_documents(addresses)
    left_out = [each for each in addresses if not (each in before and each in after)]
    if len(left_out) == len(addresses):
        raise errors.NodeUnreachable(", ".join(left_out))
    for address in left_out:
        print(f"{address}: left out, since it does not respond", file=sys.stderr)
    return {
        address: compute_increase(before[address]["customers"], document["customers"])
        for address, document in after.items()
        if address in before
    }


def compute_increase(before: Counts, after: Counts) -> Counts:
    """Computes the increase of counts; those of a new process count from 0."""
    return {
        customer: {
            result: count - _get_former(before, customer, result, count)
            for result, count in results.items()
        }
        for customer, results in after.items()
    }


def _get_former(before: Counts, customer: str, result: str, count: int) -> int:
    former = before.get(customer, {}).get(result, 0)
    return former if former <= count else 0


def sum_refusals(
    increases: dict[str, Counts], interval_s: float
) -> dict[tuple[str, str], Refusals]:
    """Sums up refusals over all nodes by customer and reason, most frequent first."""
    sums: dict[tuple[str, str], Refusals] = {}
    for counts in increases.values():
        for customer, results in counts.items():
            for reason, count in results.items():
                if count and reason != ANSWERED:
                    refusals = sums.setdefault(
                        (customer, reason), Refusals(per_s=0.0, nodes=0)
                    )
                    refusals["per_s"] += count / interval_s
                    refusals["nodes"] += 1
    return dict(sorted(sums.items(), key=lambda item: (-item[1]["per_s"], item[0])))


def build_row(customer: data.Customer) -> list[object]:
    """Builds the table row of a customer."""
    keys = sorted(credentials.format_digest(each) for each in customer.key_digests)
    return [
        customer.name,
        NO_VALUE if customer.rank is None else customer.rank,
        customer.rate_per_s or NO_VALUE,
        customer.burst if customer.rate_per_s else NO_VALUE,
        " ".join(keys) or NO_VALUE,
    ]


def build_use(
    name: str, increases: dict[str, Counts], interval_s: float
) -> list[object]:
    """Builds the cells that tell the use of a customer, in requests per second."""
    answered = over_quota = others = 0
    for counts in increases.values():
        for result, count in counts.get(name, {}).items():
            answered += count if result == ANSWERED else 0
            over_quota += count if result == OVER_QUOTA else 0
            others += count if result not in (ANSWERED, OVER_QUOTA) else 0
    return [round(count / interval_s, 2) for count in (answered, over_quota, others)]


def build_share_rows(documents: Iterable[NodeDocument]) -> list[list[object]]:
    """Builds rows with the lowest admitted share of each limited service and rank."""
    found: dict[tuple[str, str], list[float]] = {}
    for document in documents:
        for service, shares in document["shares"].items():
            for rank, share in shares.items():
                found.setdefault((service, rank), []).append(share)
    return [
        [service, rank, min(shares), len(shares)]
        for (service, rank), shares in sorted(found.items())
    ]


def _build_objects(
    columns: list[str], rows: list[list[object]]
) -> list[dict[str, object]]:
    return [dict(zip(columns, row, strict=True)) for row in rows]
