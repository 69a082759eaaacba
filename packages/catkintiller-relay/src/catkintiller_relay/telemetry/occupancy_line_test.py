"""Tests of the log lines and metrics about the occupancy of endpoints."""

from ..routing import endpoint_selection, occupancy
from . import metrics, occupancy_line


class RecordingLog:
    """Log that keeps the fields of its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def reserve_line(self, prefix: str) -> bool:
        """Allows each line."""
        return True

    def write(self, prefix: str, message: str, **fields: object) -> None:
        """Keeps a line."""
        self.lines.append(fields)


class TestWriteOccupancies:
    """What operators see of an uneven load."""

    def test_waiting_beside_free_slots_is_shown(self) -> None:
        """An endpoint that is full beside an idle one was not visible."""
        tracker = occupancy.OccupancyTracker()
        for service in ("stock", "pay"):
            loads = (occupancy.EndpointLoad(service, load, 10.0) for load in (12, 0))
            tracker.record_loads(loads)
        candidate = endpoint_selection.Candidate(
            "a", 1.0, 10.0, 0.03, False, True, 0.0, 0.0, 0.25
        )
        tracker.record_choice("stock", candidate)
        log, node_metrics = RecordingLog(), metrics.Metrics()
        occupancy_line.write_occupancies(log, node_metrics, tracker)
        assert log.lines == [
            {
                "service": "stock",
                "most_over_mean": 2.0,
                "uneven": 1.0,
                "load_age_ms": 250,
                "chosen": 1,
            }
        ]
        text = node_metrics.format_text()
        assert 'catkintiller_occupancy_uneven_ratio{service="pay"} 1' in text
        assert 'catkintiller_load_age_seconds{service="stock"} 0.25' in text
