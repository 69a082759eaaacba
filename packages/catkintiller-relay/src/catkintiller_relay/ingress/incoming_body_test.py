"""Tests of the room for bodies, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from . import body_budget, incoming_body

LIMIT_BYTES = 30_000
CLIENT_LIMIT_BYTES = 24_000
MAX_BODY_BYTES = 15_000


def build_body(
    budget: body_budget.BodyBudget, declared_bytes: int | None
) -> incoming_body.IncomingBody:
    """Builds a body whose client does not wait for ``100 Continue``."""
    return incoming_body.IncomingBody(
        budget, declared_bytes, MAX_BODY_BYTES, expects_continue=False
    )


class TestBudget:
    """All bodies together stay below the limit, and peers' bodies find room."""

    def test_limits(self) -> None:
        budget = body_budget.BodyBudget(LIMIT_BYTES)
        large = body_budget.SMALL_BODY_BYTES + 1
        assert budget.reserve_for_client(CLIENT_LIMIT_BYTES, CLIENT_LIMIT_BYTES)
        assert not budget.reserve_for_client(1, large)
        assert budget.reserve(LIMIT_BYTES - CLIENT_LIMIT_BYTES)
        assert not budget.reserve(1)
        budget.release(1)
        assert not budget.reserve_for_client(1, large)
        assert budget.reserve_for_client(1, 1)
        assert budget.refused_count == 3

    def test_quarter_of_the_memory(self) -> None:
        assert body_budget.create_budget(200).limit_bytes == 50 * 1024 * 1024


class TestIncomingBody:
    """A body gives its room back whatever becomes of it."""

    @given(
        st.lists(
            st.tuples(
                st.one_of(st.none(), st.integers(1, MAX_BODY_BYTES)),
                st.lists(st.integers(0, 7_000).map(bytes), max_size=4),
                st.sampled_from(("release", "discard", "both")),
            ),
            max_size=6,
        )
    )
    def test_room_is_given_back(self, plans: list) -> None:
        budget = body_budget.BodyBudget(LIMIT_BYTES)
        bodies = []
        for declared_bytes, chunks, end in plans:
            body = build_body(budget, declared_bytes)
            body.reserve_declared()
            for chunk in chunks:
                body.append(chunk)
                assert budget.used_bytes <= LIMIT_BYTES
            if body.failure is None:
                assert body.take() == b"".join(chunks)
            bodies.append((body, end))
        for body, end in bodies:
            if end != "discard":
                body.release()
            if end != "release":
                body.discard()
        assert budget.used_bytes == 0

    @pytest.mark.parametrize(
        ("taken_bytes", "size", "failure"),
        [
            (0, MAX_BODY_BYTES + 1, incoming_body.BodyFailure.TOO_LARGE),
            (20_000, 4_500, incoming_body.BodyFailure.NO_ROOM),
        ],
    )
    def test_chunked_body_ends(
        self, taken_bytes: int, size: int, failure: incoming_body.BodyFailure
    ) -> None:
        budget = body_budget.BodyBudget(LIMIT_BYTES)
        budget.take(taken_bytes)
        body = build_body(budget, None)
        assert body.reserve_declared()
        failures = [body.append(b"abcde") for _ in range(-(-size // 5))]
        assert failure in failures
        assert budget.used_bytes == taken_bytes

    def test_rest_of_a_refused_body(self) -> None:
        budget = body_budget.BodyBudget(LIMIT_BYTES)
        assert build_body(budget, 900).is_rest_short
        assert not build_body(budget, 900_000).is_rest_short
        assert not build_body(budget, None).is_rest_short
        waiting = incoming_body.IncomingBody(budget, 9, 99, expects_continue=True)
        assert not waiting.is_rest_short
