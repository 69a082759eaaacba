"""Keys of customers: digests, validation and lookup.

Only digests of keys are kept, so that a key cannot get into log lines, messages to
peers or crash reports. The config with the keys is the one place that holds them.
"""

import hashlib
from collections.abc import Iterable

from .. import data

SCHEME = b"token"
DIGEST_BYTES = 16
LOGGED_DIGITS = 8

_DOMAIN = b"customer-key"


def compute_digest(key: bytes) -> bytes:
    """Computes the digest by which a key is looked up."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, person=_DOMAIN).digest()


def format_digest(digest: bytes) -> str:
    """Formats the start of a digest for log lines and operators."""
    return digest.hex()[:LOGGED_DIGITS]


def parse_key(value: bytes) -> bytes | None:
    """Parses a key from the header with the credentials; None if it has none."""
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key if key and scheme.lower() == SCHEME else None


def validate_customers(customers: Iterable[data.Customer]) -> None:
    """Checks that names and keys identify customers, and that quotas are possible.

    :raises data.DecodeError: if a customer is invalid; the message names it and the
        fault, but no key.
    """
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for customer in customers:
        if not customer.name or not _is_header_value(customer.name):
            raise data.DecodeError(f"customer name {customer.name!r} is not valid")
        if customer.name in names:
            raise data.DecodeError(f"customer {customer.name!r} is named twice")
        names.add(customer.name)
        # The negated comparison also rejects a number that is not finite.
        if not 0 <= customer.rate_per_s < float("inf"):
            raise data.DecodeError(f"customer {customer.name!r}: invalid rate")
        if not 0 <= customer.burst < float("inf"):
            raise data.DecodeError(f"customer {customer.name!r}: invalid burst")
        if customer.rank is not None and customer.rank < 0:
            raise data.DecodeError(f"customer {customer.name!r}: negative priority")
        for digest in set(customer.key_digests):
            owner = owners.setdefault(digest, customer.name)
            if owner != customer.name:
                raise data.DecodeError(
                    f"customers {owner!r} and {customer.name!r} have the same key"
                )


def _is_header_value(name: str) -> bool:
    """Returns whether a name can be sent as the value of a header as it is."""
    return name.isascii() and name.isprintable() and name == name.strip()


class KeyTable:
    """Customers by key.

    :param customers: customers of the config in force.
    """

    def __init__(self, customers: Iterable[data.Customer]) -> None:
        self._customers: dict[bytes, data.Customer] = {}
        for customer in customers:
            for digest in customer.key_digests:
                self._customers[digest] = customer

    def find(self, credentials: bytes) -> data.Customer | None:
        """Finds the customer whose key a header holds; None if the key is not known."""
        key = parse_key(credentials)
        return None if key is None else self._customers.get(compute_digest(key))
