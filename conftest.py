"""Makes test runs reproducible and tolerates failures of tests with known faults.

Property tests draw the same examples in every run. A test whose ID is in
``KNOWN-RED.txt`` runs, but its failure does not fail the test run.
"""

import pathlib

import pytest
from hypothesis import settings

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"

settings.register_profile(
    "fixed", derandomize=True, database=None, deadline=None, max_examples=60
)
settings.load_profile("fixed")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests in ``KNOWN-RED.txt`` as expected to fail."""
    known = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", strict=False))
