"""Tests of the turns of suspects at one endpoint."""

from . import isolation


class TestTurns:
    """One suspect at a time has the turn."""

    def test_second_suspect_waits(self) -> None:
        turns = isolation.Isolation()
        assert turns.start(0.0, "a", 1)
        assert not turns.start(0.01, "b", 1)

    def test_turn_ends_with_the_run(self) -> None:
        turns = isolation.Isolation()
        turns.start(0.0, "a", 2)
        turns.end("a")
        assert turns.start(0.01, "b", 1)

    def test_suspect_of_one_crash_passes_its_turn_on(self) -> None:
        turns = isolation.Isolation()
        turns.start(0.0, "a", 1)
        assert turns.start(isolation.TURN_S, "b", 1)

    def test_suspect_of_several_crashes_keeps_its_turn(self) -> None:
        turns = isolation.Isolation()
        turns.start(0.0, "a", 2)
        assert not turns.start(10 * isolation.TURN_S, "b", 1)

    def test_suspect_of_several_crashes_runs_beside_no_other(self) -> None:
        turns = isolation.Isolation()
        turns.start(0.0, "a", 1)
        assert not turns.start(isolation.TURN_S, "b", 2)
        turns.end("a")
        assert turns.start(isolation.TURN_S, "b", 2)


class TestWaiting:
    """Suspects wait in the order of their arrival."""

    def test_order_of_arrival(self) -> None:
        turns = isolation.Isolation()
        for item in "abc":
            turns.wait(item, 1.0)
        assert [each.item for each in turns.pop_waiting()] == ["a", "b", "c"]
        assert turns.waiting_count == 0

    def test_number_is_bounded(self) -> None:
        turns = isolation.Isolation()
        results = [turns.wait(n, 1.0) for n in range(isolation.MAX_WAITING + 1)]
        assert results.count(False) == 1
