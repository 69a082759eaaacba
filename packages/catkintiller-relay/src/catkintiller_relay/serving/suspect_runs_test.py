"""Tests of the runs of suspects at the local endpoint."""

import gc

from ..crashes import crash, crash_history
from . import attempts, endpoint_exchange, suspect_runs
from .suspect_runs import Decision


def build_execution(
    path: str, suspect_crashes: int = 0, body: bytes = b""
) -> attempts.Execution:
    """Builds an attempt that has been sent."""
    head = f"GET /{path} HTTP/1.1\r\nhost: a\r\n".encode()
    attempt = attempts.Attempt(
        b"id", "look", "pay", 1, False, 2.0, 0.5, head, body, suspect_crashes
    )
    execution = attempts.Execution(attempt, lambda result: None)
    execution.exchange = endpoint_exchange.Exchange(b"id", b"", lambda *_: None)
    execution.deadline = 2.0
    return execution


def crash_endpoint(
    history: crash_history.CrashHistory,
    runs: suspect_runs.SuspectRuns,
    number: int,
    *running: attempts.Execution,
) -> None:
    """Lets the endpoint crash while attempts run."""
    records = runs.build_runs(running, 1.0, 0.0)
    event = crash.EndpointCrash("i-1", number, "pay", records)
    history.record_crash(1.0, event)


class TestDecide:
    """Suspects take turns, blocked requests are refused, others run at once."""

    def test_load_of_bystanders_runs_one_after_the_other_beside_other_requests(
        self,
    ) -> None:
        history = crash_history.CrashHistory()
        runs = suspect_runs.SuspectRuns(history)
        crash_endpoint(
            history, runs, 1, *(build_execution(f"b{number}") for number in range(40))
        )
        waiting = []
        for number in range(40):
            execution = build_execution(f"b{number}")
            decision = runs.decide(1.0, execution)
            assert decision is (Decision.WAIT if number else Decision.RUN)
            waiting.append(execution)
            runs.wait(execution, 1.0, 0.03)
            assert runs.decide(1.0, build_execution(f"n{number}")) is Decision.RUN

    def test_only_suspect_is_blocked_and_its_bystanders_are_clear(self) -> None:
        history = crash_history.CrashHistory()
        runs = suspect_runs.SuspectRuns(history)
        bystanders = [build_execution(f"b{number}") for number in range(40)]
        crash_endpoint(history, runs, 1, build_execution("culprit"), *bystanders)
        culprit = build_execution("culprit")
        assert runs.decide(1.0, culprit) is Decision.RUN
        crash_endpoint(history, runs, 2, culprit, build_execution("fresh"))
        assert runs.decide(1.0, build_execution("culprit")) is Decision.REFUSE
        assert runs.decide(1.0, build_execution("b7")) is Decision.RUN
        assert runs.decide(1.0, build_execution("fresh")) is Decision.RUN

    def test_suspicion_of_the_sender_counts(self) -> None:
        runs = suspect_runs.SuspectRuns(crash_history.CrashHistory())
        assert runs.decide(1.0, build_execution("a", 1)) is Decision.RUN
        assert runs.decide(1.0, build_execution("b", 1)) is Decision.WAIT


class TestCancelledRuns:
    """An endpoint may crash on a request whose client has left."""

    def test_cancelled_suspect_is_blocked(self) -> None:
        history = crash_history.CrashHistory()
        runs = suspect_runs.SuspectRuns(history)
        crash_endpoint(history, runs, 1, build_execution("culprit"))
        culprit = build_execution("culprit")
        runs.decide(1.0, culprit)
        runs.record_cancel(culprit, 1.0)
        runs.end(culprit)
        crash_endpoint(history, runs, 2, build_execution("fresh"))
        assert runs.decide(1.0, build_execution("culprit")) is Decision.REFUSE

    def test_body_of_a_cancelled_request_is_not_kept(self) -> None:
        runs = suspect_runs.SuspectRuns(crash_history.CrashHistory())
        execution = build_execution("a", body=b"x" * 1000)
        runs.record_cancel(execution, 1.0)
        del execution
        kept = [
            each for each in gc.get_objects() if isinstance(each, attempts.Execution)
        ]
        assert kept == []
