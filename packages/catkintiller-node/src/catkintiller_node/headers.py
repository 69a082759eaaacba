"""HTTP headers that carry a call's context, and the ones that stay on one hop.

``traceparent`` names the root request. A member of ``tracestate`` names the
running call that an endpoint's outgoing call belongs to; common instrumentation
passes both on unchanged, so an ordinary service needs no code of ours.
"""

import re
import secrets
from collections.abc import Iterable, Mapping

DEADLINE = "Catkintiller-Deadline-Ms"
RAN = "Catkintiller-Ran"
REASON = "Catkintiller-Reason"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"
TRACESTATE = "tracestate"
STATE_MEMBER = "ctk"

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"date",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_CONTEXT = frozenset((TRACEPARENT, DEADLINE.lower()))
_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$")

Headers = tuple[tuple[str, str], ...]


def filter_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Keeps the headers that travel on with a request or an answer.

    :param raw_headers: names and values as they came over the wire.
    """
    return tuple(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw_headers
            if name.lower() not in _HOP_BY_HOP
        ]
    )


def get_trace_id(headers: Mapping[str, str]) -> str:
    """Gets the trace identity of a request, a new one if it has none."""
    match = _TRACEPARENT.match(headers.get(TRACEPARENT, ""))
    return match.group(1) if match else secrets.token_hex(16)


def get_parent_call_id(headers: Mapping[str, str]) -> str:
    """Gets the identity of the running call that a request was made for."""
    for member in headers.get(TRACESTATE, "").split(","):
        name, _, value = member.strip().partition("=")
        if name == STATE_MEMBER:
            return value
    return ""


def get_deadline_ms(headers: Mapping[str, str]) -> int:
    """Gets the time that the caller allows, 0 if it names none."""
    text = headers.get(DEADLINE, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def build_endpoint_headers(
    headers: Headers, trace_id: str, call_id: str, deadline_ms: int
) -> list[tuple[str, str]]:
    """Makes the headers of a request to the endpoint."""
    made = []
    others = ""
    for name, value in headers:
        lowered = name.lower()
        if lowered == TRACESTATE:
            others = _drop_own_state(value)
        elif lowered not in _CONTEXT:
            made.append((name, value))
    made.append((TRACEPARENT, f"00-{trace_id}-{secrets.token_hex(8)}-01"))
    state = f"{STATE_MEMBER}={call_id}"
    made.append((TRACESTATE, f"{state},{others}" if others else state))
    made.append((DEADLINE, str(deadline_ms)))
    return made


def _drop_own_state(value: str) -> str:
    members = (member.strip() for member in value.split(","))
    return ",".join(m for m in members if m and not m.startswith(f"{STATE_MEMBER}="))
