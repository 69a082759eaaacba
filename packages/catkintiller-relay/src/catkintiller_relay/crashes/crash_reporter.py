"""Reports crashes of the endpoint beside this node."""

from ..telemetry import events, metrics
from . import crash, fingerprint

MAX_LOGGED_RUNS = 12


class CrashReporter:
    """Logs and counts crashes."""

    def __init__(self, log: events.EventLog, node_metrics: metrics.Metrics) -> None:
        self._log = log
        self._metrics = node_metrics

    def handle_crash(self, event: crash.EndpointCrash) -> None:
        """Handles a crash of the endpoint beside this node."""
        self._metrics.count("endpoint_crashes", f'service="{event.service}"')
        if not self._log.reserve_line("crash", failure=True):
            return
        self._log.write(
            "crash",
            "Endpoint crashed: its connections ended and new ones are refused.",
            instance=event.instance,
            crash=event.crash_id.hex(),
            running=len(event.runs),
            requests=[
                [
                    run.request_id.decode("latin-1"),
                    fingerprint.format_fingerprint(run.fingerprint),
                    round(run.running_s * 1000),
                ]
                for run in event.runs[:MAX_LOGGED_RUNS]
            ],
        )
