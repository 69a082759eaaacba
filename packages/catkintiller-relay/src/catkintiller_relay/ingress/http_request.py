"""A request to this node, and what is to be told until its response is sent."""

from typing import Protocol

from . import http_head, incoming_body

Headers = http_head.Headers


class Request:
    """An HTTP request.

    :ivar target: path and query as sent.
    :ivar headers: name and value pairs; names in lower case, values as sent.
    :ivar body: complete body; empty while it arrives.
    :ivar incoming_body: body that is not complete or whose room is still reserved; None
        for a request without a body.
    :ivar keep_alive: whether the connection may stay open after the response.
    :ivar head_received_at: time of the event loop when the head was complete,
        in seconds.
    """

    __slots__ = (
        "head_received_at",
        "body",
        "headers",
        "incoming_body",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self, method: bytes, target: bytes, headers: Headers) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.incoming_body: incoming_body.IncomingBody | None = None
        self.keep_alive = True
        self.head_received_at = 0.0

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None if it is absent.

        :param name: name in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def get_headers(self, name: bytes) -> list[bytes]:
        """Returns all values of a header.

        :param name: name in lower case.
        """
        return [value for header_name, value in self.headers if header_name == name]


class PendingResponse(Protocol):
    """What the handler stores at a connection until it has sent the response."""

    def cancel(self) -> None:
        """Handles the loss of the connection."""

    def fail_body(self, failure: incoming_body.BodyFailure) -> None:
        """Sends the response to a request whose body cannot be read to its end."""
