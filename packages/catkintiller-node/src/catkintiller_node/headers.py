"""HTTP headers that carry the context of a call, and the hop-by-hop headers.

``traceparent`` identifies the root request. A member of ``tracestate`` identifies
the running call that a nested call belongs to. Common tracing instrumentation
propagates both unchanged, so a service needs no code specific to this node.
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
TRACESTATE_MEMBER = "ctk"

# Hop-by-hop headers, and those that each sender sets itself.
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
_REPLACED_HEADERS = frozenset((TRACEPARENT, DEADLINE.lower()))
_TRACEPARENT_PATTERN = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$")

Headers = tuple[tuple[str, str], ...]


def filter_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the end-to-end headers of a request or a response.

    :param raw_headers: undecoded names and values.
    """
    return tuple(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw_headers
            if name.lower() not in _HOP_BY_HOP
        ]
    )


def get_trace_id(headers: Mapping[str, str]) -> str:
    """Returns the trace ID of a request, a new one if it has none."""
    match = _TRACEPARENT_PATTERN.match(headers.get(TRACEPARENT, ""))
    return match.group(1) if match else secrets.token_hex(16)


def get_parent_call_id(headers: Mapping[str, str]) -> str:
    """Returns the ID of the call that a request is nested in, ``""`` if none."""
    for member in headers.get(TRACESTATE, "").split(","):
        name, _, value = member.strip().partition("=")
        if name == TRACESTATE_MEMBER:
            return value
    return ""


def get_deadline_ms(headers: Mapping[str, str]) -> int:
    """Returns the time that the caller allows in milliseconds, 0 if it sets none."""
    text = headers.get(DEADLINE, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def build_endpoint_headers(
    headers: Headers, trace_id: str, call_id: str, deadline_ms: int
) -> list[tuple[str, str]]:
    """Builds the headers of a request to the endpoint."""
    endpoint_headers = []
    other_members = ""
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == TRACESTATE:
            other_members = _drop_own_member(value)
        elif lower_name not in _REPLACED_HEADERS:
            endpoint_headers.append((name, value))
    endpoint_headers.append((TRACEPARENT, f"00-{trace_id}-{secrets.token_hex(8)}-01"))
    own_member = f"{TRACESTATE_MEMBER}={call_id}"
    endpoint_headers.append(
        (TRACESTATE, f"{own_member},{other_members}" if other_members else own_member)
    )
    endpoint_headers.append((DEADLINE, str(deadline_ms)))
    return endpoint_headers


def _drop_own_member(value: str) -> str:
    members = (member.strip() for member in value.split(","))
    return ",".join(
        m for m in members if m and not m.startswith(f"{TRACESTATE_MEMBER}=")
    )
