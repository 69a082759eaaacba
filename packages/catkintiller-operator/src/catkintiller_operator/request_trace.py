"""Follows one request through the logs of several processes."""

import json
import sys
from typing import NamedTuple, TextIO

from . import exit_codes, render

CAUSES = {
    "no_config": "the node knew no config yet",
    "no_endpoint": "no endpoint of the service took new requests",
    "overloaded": "the endpoint had more work than it could do in time",
    "chain_overloaded": "a service further down its chain had too much work",
    "queue_timeout": "it waited too long for a slot of the endpoint",
    "no_memory": "the node held too many requests",
    "endpoint_refused": "the endpoint said that it did not run it",
    "endpoint_leaving": "the endpoint was leaving",
    "wrong_service": "the endpoint at that address was of another service",
    "unreachable": "no connection to the endpoint came about",
    "timeout": "its time was over before an answer came",
    "broken_answer": "the endpoint's answer was not whole or not its own",
    "connection_lost": "the endpoint's connection ended without an answer",
    "node_lost": "the node beside the endpoint was lost",
    "stopping": "the node was about to stop",
}
NOT_AGAIN = {
    "no_attempts": "it had been sent to as many endpoints as its route allows",
    "no_time": "its time was almost over",
    "no_budget": "this node's share of repeats was used up",
    "may_have_run": "it may have run and must not run twice",
}
COLUMNS = ["time", "node", "what", "details"]
_SHOWN_APART = ("t", "node", "msg", "id")


class Problem(NamedTuple):
    """A line that is no log line.

    :param line: its number in the file, from 1.
    """

    file: str
    line: int
    why: str


class Event(NamedTuple):
    """A log line about one request.

    :param figures: what decided it, by name.
    """

    time: float
    node: str
    message: str
    figures: dict[str, object]


def parse_events(
    stream: TextIO, file: str, identity: str
) -> tuple[list[Event], list[Problem]]:
    """Parses the lines about a request and about its calls.

    :param identity: of the request; identities of calls begin with it.
    """
    events: list[Event] = []
    problems: list[Problem] = []
    for number, line in enumerate(stream, 1):
        if identity not in line:
            continue
        try:
            found = json.loads(line[line.index("{") :])
        except ValueError as error:
            problems.append(Problem(file, number, str(error)))
            continue
        if str(found.get("id", "")).startswith(identity):
            events.append(build_event(found))
    return events, problems


def build_event(found: dict[str, object]) -> Event:
    """Makes an event of a log line."""
    figures = {k: v for k, v in found.items() if k not in _SHOWN_APART}
    if found.get("id"):
        figures["id"] = found["id"]
    return Event(
        float(found.get("t", 0.0)),
        str(found.get("node", "")),
        str(found.get("msg", "")),
        figures,
    )


def describe_cause(events: list[Event]) -> str:
    """Says in words why a request failed, from its last lines."""
    if not events:
        return "no line: it never arrived, or its lines were left out"
    last = events[-1].figures
    reason = str(last.get("reason") or "")
    if reason:
        cause = CAUSES.get(reason, reason)
        not_again = describe_missing_retry(events)
        return f"{cause}; not sent again: {not_again}" if not_again else cause
    status = last.get("status")
    if isinstance(status, int) and status >= 500:
        return f"the endpoint itself answered {status}"
    return "it was answered"


def describe_missing_retry(events: list[Event]) -> str:
    """Says in words why nothing followed the last attempt; empty if not known."""
    for event in reversed(events):
        if "next" in event.figures:
            return NOT_AGAIN.get(str(event.figures["next"]), "")
    return ""


def trace_request(identity: str, files: list[str], as_json: bool) -> int:
    """Prints the lines about a request in order, and the cause."""
    events: list[Event] = []
    problems: list[Problem] = []
    for file in files:
        try:
            with open(file, encoding="utf-8") as stream:
                found, bad = parse_events(stream, file, identity)
        except OSError as error:
            problems.append(Problem(file, 0, str(error)))
            continue
        events += found
        problems += bad
    events.sort(key=lambda event: event.time)
    own = [event for event in events if event.figures.get("id") == identity]
    rows = [[f"{e.time:.3f}", e.node, e.message, json.dumps(e.figures)] for e in events]
    render.print_rows(COLUMNS, rows, as_json)
    print(f"cause: {describe_cause(own)}", file=sys.stderr if as_json else sys.stdout)
    for problem in problems:
        print(f"{problem.file}:{problem.line}: {problem.why}", file=sys.stderr)
    return exit_codes.OK if events else exit_codes.FAULT_FOUND
