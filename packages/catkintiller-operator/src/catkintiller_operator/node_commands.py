"""Commands on nodes and endpoints: status, watch, drain, doctor."""

import time

from . import exit_codes, node_client, render, settings_commands, settings_log

STATUS_COLUMNS = [
    "node",
    "zone",
    "service",
    "endpoint",
    "state",
    "accepting",
    "offset",
    "in flight",
    "runs",
]


def build_status_rows(node: str) -> list[list[object]]:
    """Builds a table row for each member in a node's membership table."""
    members = node_client.get_json(node, "/-/members")["members"]
    statuses = node_client.get_json_from_all([m["http"] for m in members], "/-/status")
    rows = []
    for member, status in zip(members, statuses, strict=True):
        rows.append(
            [
                member["http"],
                member["zone"],
                member["service"],
                member["endpoint"],
                member["state"] if status else "no answer",
                member["accepting"],
                status["settings_offset"] if status else "-",
                status["in_flight"] if status else "-",
                status["runs"] if status else "-",
            ]
        )
    return sorted(rows, key=lambda row: [str(cell) for cell in row[2:4]])


def show_status(node: str, as_json: bool) -> int:
    """Prints the status of each member in a node's membership table."""
    render.print_rows(STATUS_COLUMNS, build_status_rows(node), as_json)
    return exit_codes.OK


def watch_status(node: str, interval_s: float, count: int) -> int:
    """Prints the status repeatedly.

    :param interval_s: seconds between two tables.
    :param count: number of tables.
    """
    for index in range(count):
        if index:
            time.sleep(interval_s)
        render.print_table(STATUS_COLUMNS, build_status_rows(node))
        print()
    return exit_codes.OK


def drain_node(node: str, wait: bool) -> int:
    """Stops new requests to the endpoint beside a node.

    :param wait: whether to wait until no request is in flight.
    """
    status = node_client.post(node, "/-/drain")
    while wait and status["in_flight"]:
        time.sleep(0.2)
        status = node_client.get_json(node, "/-/status")
    print(f"{node}: draining, {status['in_flight']} requests in flight")
    return exit_codes.OK


def run_doctor(log_url: str, node: str) -> int:
    """Checks the log service, nodes and services, and prints the faults found."""
    faults = []
    state = settings_log.load_state(log_url)
    print(f"log: available, settings at offset {state.offset}")
    if state.skipped:
        faults.append(f"{state.skipped} settings records cannot be decoded")
    members = node_client.get_json(node, "/-/members")["members"]
    for member in members:
        if member["state"] in ("suspect", "gone"):
            faults.append(f"{member['endpoint'] or member['mesh']}: {member['state']}")
    serving = {m["service"] for m in members if m["accepting"]}
    for path in state.values:
        parts = path.split("/")
        if len(parts) == 2 and parts[0] == "service" and parts[1] not in serving:
            faults.append(f"service {parts[1]}: no endpoint accepts requests")
    outdated, queried_count = settings_commands.find_outdated_nodes(node, state.offset)
    for address, offset in outdated:
        faults.append(
            f"{address}: settings offset: {offset}; log offset: {state.offset}"
        )
    print(f"nodes: {queried_count} queried, {len(outdated)} with outdated settings")
    for fault in faults:
        print(f"fault: {fault}")
    return exit_codes.FAULT_FOUND if faults else exit_codes.OK
