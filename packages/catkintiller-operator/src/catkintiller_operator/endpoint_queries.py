"""Shows the endpoints of a service side by side, from the metrics of their nodes."""

import sys

from catkintiller import errors

from . import exit_codes, metrics, render

ENDPOINT_COLUMNS = [
    "node",
    "service",
    "running",
    "waiting",
    "slots",
    "occupancy",
    "accepting",
]
NO_VALUE = "-"


def show_endpoints(addresses: list[str], service: str, as_json: bool) -> int:
    """Prints a row for the endpoint beside each node, the fullest of a service first.

    :param addresses: ``IP:PORT`` of the metrics of the nodes.
    :param service: service whose endpoints are printed; empty for all. Endpoints that
        have not run a request are printed with each service, since their nodes name
        none.
    :raises errors.NodeUnreachable: if none of the nodes responds.
    """
    if not addresses:
        print("no node is given", file=sys.stderr)
        return exit_codes.INVALID_INPUT
    samples = metrics.fetch_all_samples([f"{each}/metrics" for each in addresses])
    rows = []
    for address, node_samples in zip(addresses, samples, strict=True):
        if node_samples is None:
            print(f"{address}: left out, since it does not respond", file=sys.stderr)
            continue
        rows.append(build_row(address, node_samples))
    if not rows:
        raise errors.NodeUnreachable(", ".join(addresses))
    rows = [row for row in rows if not service or row[1] in (service, NO_VALUE)]
    rows.sort(key=lambda row: (row[1], -row[5], row[0]))
    render.print_rows(ENDPOINT_COLUMNS, rows, as_json)
    return exit_codes.OK if rows else exit_codes.FAULT_FOUND


def build_row(address: str, samples: list[metrics.Sample]) -> list[object]:
    """Builds the table row of the endpoint beside a node.

    Its occupancy is the ratio of running and waiting requests to usable slots.
    """
    values = {each.name: each.value for each in samples if not each.labels}
    running = values.get("endpoint_running", 0.0)
    waiting = values.get("endpoint_waiting", 0.0)
    slots = values.get("endpoint_usable_slots", 0.0)
    return [
        address,
        find_service(samples),
        round(running),
        round(waiting),
        round(slots, 1),
        round((running + waiting) / slots, 2) if slots else 0.0,
        bool(values.get("endpoint_accepting")),
    ]


def find_service(samples: list[metrics.Sample]) -> str:
    """Finds the service of an endpoint in the label of its queueing times."""
    for each in samples:
        if each.name == "queue_seconds_count":
            return each.labels.removeprefix('service="').removesuffix('"')
    return NO_VALUE
