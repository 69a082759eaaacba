"""Tests of the keys of customers."""

import pytest

from .. import data
from . import credentials


def build_customer(name: str, *keys: bytes, **changes: object) -> data.Customer:
    """Builds a customer with keys."""
    digests = tuple(credentials.compute_digest(key) for key in keys)
    return data.Customer(name, digests)._replace(**changes)


class TestLookup:
    """Lookup of the customer by the header with the credentials."""

    def test_customer_is_found_by_each_of_its_keys(self) -> None:
        table = credentials.KeyTable([build_customer("a", b"k1", b"k2")])
        assert table.find(b"Token k1").name == "a"
        assert table.find(b"token  k2 ").name == "a"

    @pytest.mark.parametrize(
        "value", [b"", b"k1", b"Token", b"Token ", b"Bearer k1", b"Token k1 x", b"\xff"]
    )
    def test_other_credentials_are_unknown(self, value: bytes) -> None:
        table = credentials.KeyTable([build_customer("a", b"k1")])
        assert table.find(value) is None


class TestValidation:
    """Configs whose customers cannot be told apart or are impossible are refused."""

    @pytest.mark.parametrize(
        "customers",
        [
            [build_customer("a", b"k1"), build_customer("b", b"k1")],
            [build_customer("a"), build_customer("a")],
            [build_customer("")],
            [build_customer("a\r\nx: y")],
            [build_customer("a", rate_per_s=-1.0)],
            [build_customer("a", rate_per_s=float("nan"))],
            [build_customer("a", burst=-1.0)],
            [build_customer("a", rank=-1)],
        ],
    )
    def test_invalid_customers(self, customers: list[data.Customer]) -> None:
        with pytest.raises(data.DecodeError):
            credentials.KeyTable(customers)

    def test_message_holds_no_key(self) -> None:
        customers = [build_customer("a", b"secret"), build_customer("b", b"secret")]
        with pytest.raises(data.DecodeError) as caught:
            credentials.KeyTable(customers)
        assert "secret" not in str(caught.value)

    def test_a_key_may_be_listed_twice_by_its_customer(self) -> None:
        credentials.KeyTable([build_customer("a", b"k1", b"k1")])
