"""Log lines and metrics about the occupancy of the endpoints, by service."""

from ..routing import occupancy
from . import events, metrics


def write_occupancies(
    log: events.EventLog,
    node_metrics: metrics.Metrics,
    tracker: occupancy.OccupancyTracker,
) -> None:
    """Writes the occupancy by service since the last call.

    Services to which this node has sent no request since then are left out of the log.
    """
    for service, each in tracker.pop_occupancies().items():
        labels = f'service="{service}"'
        node_metrics.set_gauge("occupancy_most_over_mean", labels, each.most_over_mean)
        node_metrics.set_gauge("occupancy_uneven_ratio", labels, each.uneven_ratio)
        node_metrics.set_gauge("load_age_seconds", labels, each.load_age_s)
        if not each.choice_count or not log.reserve_line("occupancy"):
            continue
        log.write(
            "occupancy",
            "Occupancy of the endpoints of a service.",
            service=service,
            most_over_mean=round(each.most_over_mean, 2),
            uneven=round(each.uneven_ratio, 2),
            load_age_ms=round(each.load_age_s * 1000),
            chosen=each.choice_count,
        )
