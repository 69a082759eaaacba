"""Tests of the start of the node's process."""

import signal

import pytest

from . import main, process


class TestReloadAtTheStart:
    """SIGHUP during the start must not end the process."""

    def test_signal_is_ignored_until_the_node_handles_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def run_node() -> int:
            signal.raise_signal(signal.SIGHUP)
            return 0

        monkeypatch.setattr(process, "run_node", run_node)
        previous = signal.getsignal(signal.SIGHUP)
        try:
            assert main.main() == 0
        finally:
            signal.signal(signal.SIGHUP, previous)
