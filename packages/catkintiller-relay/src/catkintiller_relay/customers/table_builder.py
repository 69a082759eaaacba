"""Builds the table of a config's customers in slices of bounded work."""

from collections.abc import Callable, Generator, Sequence
from typing import TypeVar

from .. import data
from . import credentials

# Customers that are added in one go: some milliseconds of work.
SLICE_CUSTOMER_COUNT = 250

Result = TypeVar("Result")


def build_table(
    version: int,
    entries: Sequence[bytes],
    parse: Callable[[bytes], data.Customer],
    previous: Sequence[data.Customer],
    get_previous_entries: Callable[[], Sequence[bytes]],
) -> Generator[int, None, credentials.KeyTable]:
    """Builds the table of customers; yields the version between slices.

    At most :data:`SLICE_CUSTOMER_COUNT` customers are added without a yield.

    :param version: version of the config.
    :param entries: bytes of each customer in the config.
    :param parse: parses the entry of a customer.
    :param previous: customers in force, which are taken over if they have not changed.
    :param get_previous_entries: returns what these were parsed from, in their order;
        only called for a config with many customers.
    :raises data.DecodeError: if a customer is invalid.
    """
    table = credentials.KeyTable()
    # Its keys are bytes that hold customers' keys, so it lives only during this call.
    known: dict[bytes, data.Customer] = {}
    is_sliced = len(entries) > SLICE_CUSTOMER_COUNT
    if is_sliced:
        yield version
        previous_entries = get_previous_entries() if previous else ()
        for start in range(0, len(previous), SLICE_CUSTOMER_COUNT):
            yield version
            end = start + SLICE_CUSTOMER_COUNT
            slices = map(bytes, previous_entries[start:end]), previous[start:end]
            known.update(zip(*slices, strict=True))
        yield version
    for start in range(0, len(entries), SLICE_CUSTOMER_COUNT):
        for entry in entries[start : start + SLICE_CUSTOMER_COUNT]:
            customer = known.get(bytes(entry)) if known else None
            table.add(customer or parse(entry))
        if is_sliced:
            yield version
    return table


def run_slices(slices: Generator[object, None, Result]) -> Result:
    """Runs all slices without a pause and returns the result."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return end.value
