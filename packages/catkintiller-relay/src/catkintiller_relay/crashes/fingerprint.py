"""Fingerprints: identities of requests that outlive a request ID.

Two requests have the same fingerprint if an endpoint cannot tell them apart but for IDs
and times: the same service, method, host, path, query, credentials or customer, and
body. The client repeats a request with a new request ID at any node, and the
fingerprint stays the same.
"""

import hashlib

FINGERPRINT_BYTES = 16
LOGGED_DIGITS = 12

_COUNTED_HEADERS = (b"\r\nhost: ", b"\r\nauthorization: ")
_DOMAIN = b"request"


def compute_fingerprint(
    service: str, head: bytes, body: bytes, customer: str = ""
) -> bytes:
    """Computes the fingerprint of a request.

    :param service: service that is to run it.
    :param head: encoded head that is forwarded, with header names in lower case.
    :param body: complete body.
    :param customer: name of the customer that it belongs to; empty without one.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=_DOMAIN)
    request_line = head[: head.find(b"\r\n")]
    parts = [service.encode(), request_line]
    parts += [_get_value(head, name) for name in _COUNTED_HEADERS]
    if customer:
        parts.append(customer.encode())
    digest.update(b"\n".join(parts))
    digest.update(b"\n")
    digest.update(body)
    return digest.digest()


def format_fingerprint(fingerprint: bytes) -> str:
    """Formats the start of a fingerprint for log lines."""
    return fingerprint.hex()[:LOGGED_DIGITS]


def _get_value(head: bytes, line_start: bytes) -> bytes:
    """Returns the value of a header; empty if it is absent."""
    start = head.find(line_start)
    if start < 0:
        return b""
    start += len(line_start)
    end = head.find(b"\r\n", start)
    return head[start:] if end < 0 else head[start:end]
