"""Keys of customers: digests, validation and lookup.

Only digests of keys are kept, so that a key cannot get into log lines, messages to
peers or crash reports. The config with the keys is the one place that holds them.
"""

import hashlib
import math
from collections.abc import Iterable

from .. import data

SCHEME = b"token"
DIGEST_BYTES = 16
LOGGED_DIGITS = 8

# A copy of the initial state takes half the time of a new one with these parameters.
_INITIAL_STATE = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"customer-key")


def compute_digest(key: bytes) -> bytes:
    """Computes the digest by which a key is looked up."""
    state = _INITIAL_STATE.copy()
    state.update(key)
    return state.digest()


def format_digest(digest: bytes) -> str:
    """Formats the start of a digest for log lines and operators."""
    return digest.hex()[:LOGGED_DIGITS]


def parse_key(value: bytes) -> bytes | None:
    """Parses a key from the header with the credentials; None if it has none."""
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key if key and scheme.lower() == SCHEME else None


def _is_header_value(name: str) -> bool:
    """Returns whether a name can be sent as the value of a header as it is."""
    return name.isascii() and name.isprintable() and name == name.strip()


class KeyTable:
    """Customers by name and by key.

    :param customers: customers of a config; more can be added.
    :raises data.DecodeError: if one of them is invalid, see :meth:`add`.
    """

    def __init__(self, customers: Iterable[data.Customer] = ()) -> None:
        self._by_name: dict[str, data.Customer] = {}
        self._by_digest: dict[bytes, data.Customer] = {}
        for customer in customers:
            self.add(customer)

    @property
    def customers(self) -> dict[str, data.Customer]:
        """The customers by name, in the order in which they were added."""
        return self._by_name

    def add(self, customer: data.Customer) -> None:
        """Adds a customer.

        :raises data.DecodeError: if it is invalid or cannot be told apart from another;
            the message names it and the fault, but no key.
        """
        name = customer.name
        if not name or not _is_header_value(name):
            raise data.DecodeError(f"customer name {name!r} is not valid")
        if name in self._by_name:
            raise data.DecodeError(f"customer {name!r} is named twice")
        # The negated comparison also rejects a number that is not finite.
        if not 0 <= customer.rate_per_s < math.inf:
            raise data.DecodeError(f"customer {name!r}: invalid rate")
        if not 0 <= customer.burst < math.inf:
            raise data.DecodeError(f"customer {name!r}: invalid burst")
        if customer.rank is not None and customer.rank < 0:
            raise data.DecodeError(f"customer {name!r}: negative priority")
        for digest in customer.key_digests:
            owner = self._by_digest.setdefault(digest, customer)
            if owner is not customer:
                raise data.DecodeError(
                    f"customers {owner.name!r} and {name!r} have the same key"
                )
        self._by_name[name] = customer

    def find(self, credentials: bytes) -> data.Customer | None:
        """Finds the customer whose key a header holds; None if the key is not known."""
        key = parse_key(credentials)
        return None if key is None else self._by_digest.get(compute_digest(key))
