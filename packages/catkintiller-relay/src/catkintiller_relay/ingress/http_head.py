"""Heads of HTTP/1.1 requests and responses, without a connection."""

import msgspec

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
HEADER_OVERHEAD_BYTES = 4  # colon, space and line end

_FRAMING_NAMES = frozenset(
    (b"content-length", b"transfer-encoding", b"host", b"expect")
)
_MAX_LENGTH_DIGITS = 18

Headers = list[tuple[bytes, bytes]]


class Framing(msgspec.Struct, frozen=True):
    """What a head says about the body of its request.

    :param header_bytes: size of the headers.
    :param is_valid: whether the end of the body is defined unambiguously.
    :param declared_bytes: length of the body; None if it is chunked.
    :param expects_continue: whether the client waits for ``100 Continue``.
    """

    header_bytes: int
    is_valid: bool
    declared_bytes: int | None = 0
    expects_continue: bool = False


def parse_framing(headers: Headers) -> Framing:
    """Parses what the headers say about the body.

    Conflicting length headers could be used for request smuggling. Exactly one Host
    header is required as well.

    :param headers: name and value pairs; names in lower case.
    """
    header_bytes = HEADER_OVERHEAD_BYTES * len(headers)
    host_count = length_count = 0
    is_valid = True
    declared_bytes: int | None = 0
    expects_continue = False
    for name, value in headers:
        header_bytes += len(name) + len(value)
        if name not in _FRAMING_NAMES:
            continue
        if name == b"host":
            host_count += 1
        elif name == b"content-length":
            length_count += 1
            is_valid = is_valid and value.isdigit()
            is_valid = is_valid and len(value) <= _MAX_LENGTH_DIGITS
            declared_bytes = int(value) if is_valid else 0
        elif name == b"transfer-encoding":
            length_count += 1
            is_valid = is_valid and value.strip().lower() == b"chunked"
            declared_bytes = None
        else:
            expects_continue = value.strip().lower() == b"100-continue"
    is_valid = is_valid and host_count == 1 and length_count <= 1
    return Framing(header_bytes, is_valid, declared_bytes, expects_continue)


def build_head(status: int, body_bytes: int, extra_headers: bytes = b"") -> bytes:
    """Builds the head of a response, without the empty line at the end.

    :param status: HTTP status code.
    :param body_bytes: length of the body in bytes.
    :param extra_headers: encoded header lines, each with its line end.
    """
    reason_phrase = REASON_PHRASES.get(status, b"Status")
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
        status,
        reason_phrase,
        body_bytes,
        extra_headers,
    )
