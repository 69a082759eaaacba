"""Collects the log lines of one request and explains its outcome."""

import json
import sys
from typing import NamedTuple, TextIO

from . import exit_codes, render

CAUSE_BY_REASON = {
    "no_config": "the node had no config yet",
    "no_endpoint": "no endpoint of the service accepted new requests",
    "overloaded": "the endpoint had more work than it could finish in time",
    "chain_overloaded": "a downstream service of its call graph was overloaded",
    "share_exceeded": "its customer demanded more than its share of a service",
    "queue_timeout": "it waited too long for a slot of the endpoint",
    "no_memory": "the node held too many requests or bytes",
    "endpoint_refused": "the endpoint responded that it did not run the request",
    "endpoint_full": "the endpoint was full, and another one seemed to have free slots",
    "endpoint_leaving": "the endpoint was draining or did not accept requests",
    "wrong_service": "the endpoint at that address belonged to another service",
    "unreachable": "no connection to the endpoint could be opened",
    "timeout": "its deadline passed before a response arrived",
    "broken_answer": "the response was truncated, malformed, unsigned or out of order",
    "connection_lost": "the connection to the endpoint closed before a response",
    "node_lost": "the node beside the endpoint became unresponsive or disconnected",
    "stopping": "the node was about to stop",
    "blocked": "it is blocked, because endpoints crashed each time that it ran",
    "parent_ended": "the request that it would belong to does not run at this node",
    "quota_exceeded": "its customer had used up its quota",
    "quota_unknown": "the coordinator of the quotas could not tell whether it may run",
    "keys_outdated": "the node could not know whether its key had been withdrawn",
    "suspect": "it ran when an endpoint crashed, and too few endpoints are left",
}
NO_RETRY_CAUSE = {
    "no_attempts": "the attempts that its route allows were used up",
    "no_time": "its deadline was too close",
    "no_budget": "the retry budget of this node was used up",
    "may_have_run": "it may have run and must not run twice",
    "blocked": "it is blocked, because endpoints crashed each time that it ran",
}
EVENT_COLUMNS = ["time", "node", "what", "details"]
_KEYS_OUTSIDE_DETAILS = ("t", "node", "msg", "id")


class UnreadableLine(NamedTuple):
    """A line that cannot be parsed, or a file that cannot be read.

    :param file: path of the log file.
    :param number: line number, from 1; 0 if the whole file cannot be read.
    :param why: text of the exception.
    """

    file: str
    number: int
    why: str


class Event(NamedTuple):
    """A log line about one request.

    :param fields: the keys and values that the ``details`` column shows.
    """

    time: float
    node: str
    message: str
    fields: dict[str, object]


def parse_events(
    stream: TextIO, file: str, identity: str
) -> tuple[list[Event], list[UnreadableLine]]:
    """Parses the log lines of a request and of its nested calls.

    :param identity: ID of the request; its nested calls extend it after a dot.
    :returns: the events, and the lines that contain the ID but cannot be parsed.
    """
    events: list[Event] = []
    unreadable: list[UnreadableLine] = []
    for number, line in enumerate(stream, 1):
        if identity not in line:
            continue
        try:
            entry = json.loads(line[line.index("{") :])
        except ValueError as error:
            unreadable.append(UnreadableLine(file, number, str(error)))
            continue
        if not is_part_of(str(entry.get("id", "")), identity):
            continue
        try:
            events.append(build_event(entry))
        except (TypeError, ValueError) as error:
            unreadable.append(UnreadableLine(file, number, str(error)))
    return events, unreadable


def is_part_of(found: str, identity: str) -> bool:
    """Returns whether an ID is that of a request or of one of its nested calls."""
    return found == identity or found.startswith(f"{identity}.")


def build_event(entry: dict[str, object]) -> Event:
    """Builds an event from a parsed log line."""
    fields = {k: v for k, v in entry.items() if k not in _KEYS_OUTSIDE_DETAILS}
    if entry.get("id"):
        fields["id"] = entry["id"]
    return Event(
        float(entry.get("t", 0.0)),
        str(entry.get("node", "")),
        str(entry.get("msg", "")),
        fields,
    )


def describe_cause(events: list[Event]) -> str:
    """Describes the outcome of a request and its cause, from its last events."""
    if not events:
        return (
            "no line found: it did not arrive, was rejected "
            "(400, 401, 404, 408, 413, 431), or its lines exceeded a log limit"
        )
    last = events[-1].fields
    reason = str(last.get("reason") or "")
    if reason:
        cause = CAUSE_BY_REASON.get(reason, reason) + describe_quota(last)
        if reason == "share_exceeded":
            cause += describe_share(last)
        if last.get("next", "no_attempts") not in NO_RETRY_CAUSE:
            return f"{cause}; another attempt was made, and no line tells its outcome"
        no_retry = describe_missing_retry(events)
        return f"{cause}; no retry: {no_retry}" if no_retry else cause
    status = last.get("status")
    if not isinstance(status, int):
        return "no line tells its outcome"
    if status >= 500:
        return f"the endpoint itself responded with status {status}"
    return "the request was answered"


def describe_quota(fields: dict[str, object]) -> str:
    """Describes the customer and quota of a refusal; empty if it is not by quota."""
    if "rate" not in fields:
        return ""
    text = (
        f": customer {fields.get('customer')}, {fields['rate']} per second"
        f" with a burst of {fields.get('burst')}"
    )
    age_ms = fields.get("age_ms")
    return text if age_ms is None else f"{text}, as reported {age_ms} ms before"


def describe_share(fields: dict[str, object]) -> str:
    """Describes the figures behind a refusal by the share of a customer."""
    age_ms = fields.get("sums_age_ms")
    source = (
        "decided by the arrivals at the node alone"
        if age_ms is None
        else f"decided by sums over all nodes, {age_ms} ms old"
    )
    return (
        f": customer {fields.get('customer')}, rank {fields.get('rank')}, service "
        f"{fields.get('limited_by')}, share {fields.get('share')}, {source}"
    )


def describe_missing_retry(events: list[Event]) -> str:
    """Describes why no retry followed the last attempt; empty if not known."""
    for event in reversed(events):
        if "next" in event.fields:
            return NO_RETRY_CAUSE.get(str(event.fields["next"]), "")
    return ""


def trace_request(identity: str, files: list[str], as_json: bool) -> int:
    """Prints the log lines of a request by time, and the cause of its outcome."""
    events: list[Event] = []
    unreadable: list[UnreadableLine] = []
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as stream:
                file_events, file_unreadable = parse_events(stream, file, identity)
        except OSError as error:
            unreadable.append(UnreadableLine(file, 0, str(error)))
            continue
        events += file_events
        unreadable += file_unreadable
    events.sort(key=lambda event: event.time)
    own_events = [event for event in events if event.fields.get("id") == identity]
    rows = [
        [f"{event.time:.3f}", event.node, event.message, json.dumps(event.fields)]
        for event in events
    ]
    render.print_rows(EVENT_COLUMNS, rows, as_json)
    print(
        f"cause: {describe_cause(own_events)}",
        file=sys.stderr if as_json else sys.stdout,
    )
    for line in unreadable:
        print(f"{line.file}:{line.number}: {line.why}", file=sys.stderr)
    return exit_codes.OK if events else exit_codes.FAULT_FOUND
