"""Tests of the identity of repeated requests."""

from . import fingerprint

HEAD = (
    b"GET /look/a?b=1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: %b\r\n"
    b"caller-service: %b\r\n"
)


def compute(
    request_id: bytes = b"1",
    caller: bytes = b"shop",
    service: str = "pay",
    body: bytes = b"",
    extra: bytes = b"",
) -> bytes:
    """Computes the fingerprint of a request that differs in the given parts."""
    return fingerprint.compute_fingerprint(
        service, HEAD % (request_id, caller) + extra, body
    )


class TestRepeatedRequest:
    """The same request, sent again with another ID or at another node."""

    def test_request_id_and_service_of_the_node_do_not_count(self) -> None:
        assert compute() == compute(request_id=b"2", caller=b"book")

    def test_length_is_fixed(self) -> None:
        assert len(compute(body=b"x" * 100_000)) == fingerprint.FINGERPRINT_BYTES


class TestOtherRequest:
    """A request that differs in what the endpoint gets."""

    def test_other_service(self) -> None:
        assert compute() != compute(service="book")

    def test_other_body(self) -> None:
        assert compute() != compute(body=b"x")

    def test_other_credentials(self) -> None:
        assert compute() != compute(extra=b"authorization: me\r\n")

    def test_other_query(self) -> None:
        other = HEAD.replace(b"b=1", b"b=2") % (b"1", b"shop")
        assert fingerprint.compute_fingerprint("pay", other, b"") != compute()

    def test_body_cannot_stand_for_a_header(self) -> None:
        with_header = compute(extra=b"authorization: me\r\n")
        assert compute(body=b"me\n") != with_header
