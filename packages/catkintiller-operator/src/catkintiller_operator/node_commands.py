"""Commands about nodes and endpoints: status, watch, drain, doctor."""

import time

from . import exit_codes, node_client, render, settings_commands, settings_log

COLUMNS = [
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


def collect_status(node: str) -> list[list[object]]:
    """Collects a row for each member that a node knows."""
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
    """Shows every member that a node knows."""
    render.print_rows(COLUMNS, collect_status(node), as_json)
    return exit_codes.OK


def watch_status(node: str, interval_s: float, count: int) -> int:
    """Shows the status again and again."""
    for turn in range(count):
        if turn:
            time.sleep(interval_s)
        render.print_table(COLUMNS, collect_status(node))
        print()
    return exit_codes.OK


def drain_node(node: str, wait: bool) -> int:
    """Ends new work at the endpoint beside a node."""
    answer = node_client.post(node, "/-/drain")
    while wait and answer["in_flight"]:
        time.sleep(0.2)
        answer = node_client.get_json(node, "/-/status")
    print(f"{node}: leaving, {answer['in_flight']} requests in flight")
    return exit_codes.OK


def run_doctor(log: str, node: str) -> int:
    """Looks for faults that an operator should act on."""
    faults = []
    state = settings_log.load_state(log)
    print(f"log: answers, settings at offset {state.offset}")
    if state.skipped:
        faults.append(f"{state.skipped} records of the settings are unreadable")
    members = node_client.get_json(node, "/-/members")["members"]
    for member in members:
        if member["state"] in ("suspect", "gone"):
            faults.append(f"{member['endpoint'] or member['mesh']}: {member['state']}")
    serving = {m["service"] for m in members if m["accepting"]}
    for path in state.values:
        parts = path.split("/")
        if len(parts) == 2 and parts[0] == "service" and parts[1] not in serving:
            faults.append(f"service {parts[1]}: no endpoint takes requests")
    laggards, total = settings_commands.find_outdated_nodes(node, state.offset)
    for address, offset in laggards:
        faults.append(f"{address}: settings at {offset}, behind {state.offset}")
    print(f"nodes: {total} asked, {len(laggards)} behind")
    for fault in faults:
        print(f"fault: {fault}")
    return exit_codes.FAULT_FOUND if faults else exit_codes.OK
