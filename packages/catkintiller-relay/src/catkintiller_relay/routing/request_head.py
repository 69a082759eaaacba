"""Parses the head of a request and builds the head that is forwarded."""

from .. import data
from ..ingress import http1

METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE")

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class RequestHeadBuilder:
    """Builds the heads of forwarded requests.

    :param header_names: names of the headers that nodes set themselves.
    :param service: service of this VM's endpoint, sent as the caller.
    """

    def __init__(self, header_names: data.HeaderNames, service: str) -> None:
        self._dropped_names = _HOP_BY_HOP | {
            header_names.caller,
            header_names.deadline,
            header_names.target,
        }
        self._dropped_with_customers = self._dropped_names | {
            header_names.credentials,
            header_names.customer,
        }
        self._caller = b"%b: %b\r\n" % (header_names.caller, service.encode())
        self._customer_name = header_names.customer

    def build(self, request: http1.Request, customer: str | None = None) -> bytes:
        """Builds a head without the lines that the node beside the endpoint adds.

        :param customer: name of the customer that the endpoint is told, empty for none;
            None if the config has no customers. Otherwise the key is left out.
        """
        dropped_names = (
            self._dropped_names if customer is None else self._dropped_with_customers
        )
        connection_header = request.get_header(b"connection")
        if connection_header:
            dropped_names = dropped_names.union(parse_tokens(connection_header))
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in request.headers:
            if name not in dropped_names:
                lines.append(b"%b: %b\r\n" % (name, value))
        lines.append(self._caller)
        if customer:
            lines.append(b"%b: %b\r\n" % (self._customer_name, customer.encode()))
        if request.body or request.method not in METHODS_WITHOUT_BODY:
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return b"".join(lines)


def parse_host(request: http1.Request) -> str:
    """Parses the host without its port, in lower case."""
    value = request.get_header(b"host") or b""
    return value.decode("latin-1").lower().partition(":")[0]


def parse_path(request: http1.Request) -> str:
    """Parses the path without its query."""
    return request.target.decode("latin-1").partition("?")[0]


def parse_deadline_s(value: bytes | None) -> float | None:
    """Parses the time in seconds that the sender waits; None if absent or invalid."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value) / 1000


def parse_tokens(value: bytes) -> tuple[bytes, ...]:
    """Parses the header names that a Connection header lists."""
    return tuple(token.strip().lower() for token in value.split(b","))
