"""Tests of which requests a node that stops still accepts."""

import pytest

from . import stop_deadline

ENDS_AT = 105.4


class TestCanFinish:
    """A request is accepted if it ends by itself, or is expected to, in time."""

    @pytest.mark.parametrize(
        ("now", "expires_at", "mean_s", "expected"),
        [
            (100.0, 105.0, 3.0, True),
            (100.0, 110.0, 0.05, True),
            (104.8, 110.0, 0.05, True),
            (105.0, 110.0, 0.05, False),
            (104.2, 110.0, 1.4, False),
            (100.0, 110.0, 1.4, False),
            (99.0, 110.0, 1.4, True),
            (104.0, 110.0, None, True),
            (104.2, 110.0, None, False),
            (105.6, 110.0, 0.001, False),
        ],
    )
    def test_decision(
        self, now: float, expires_at: float, mean_s: float | None, expected: bool
    ) -> None:
        result = stop_deadline.can_finish(now, ENDS_AT, expires_at, mean_s)
        assert result is expected
