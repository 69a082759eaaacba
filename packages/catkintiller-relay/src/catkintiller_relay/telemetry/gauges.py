"""Figures of a node that are only computed when somebody asks for them."""

from collections.abc import Mapping
from typing import NamedTuple

from ..membership import connections
from ..serving import local_endpoint
from . import metrics


class GaugeValues(NamedTuple):
    """What a node's metrics tell besides counters and latencies.

    :param config_version: version in force; None without a config.
    :param config_age_s: time since it came into force.
    :param pending: requests without an answer that arrived here.
    :param budgets: repeats that may still be sent, by service.
    :param store_calls: calls of the store by kind and result.
    """

    config_version: int | None
    config_age_s: float
    pending: int
    budgets: Mapping[str, float]
    store_calls: Mapping[tuple[str, str], int]


def set_gauges(
    figures: metrics.Metrics,
    levels: GaugeValues,
    peers: list[connections.Peer],
    server: local_endpoint.LocalEndpoint,
) -> None:
    """Sets the present levels in a node's metrics."""
    if levels.config_version is not None:
        figures.set_gauge("config_version", "", levels.config_version)
        figures.set_gauge("config_age_seconds", "", levels.config_age_s)
    accepting = sum(peer.accepting for peer in peers)
    figures.set_gauge("peers", 'state="accepting"', accepting)
    figures.set_gauge("peers", 'state="other"', len(peers) - accepting)
    figures.set_gauge("endpoint_accepting", "", server.accepting)
    figures.set_gauge("endpoint_running", "", server.queue.running_count)
    figures.set_gauge("endpoint_waiting", "", server.queue.waiting_count)
    figures.set_gauge("pending", "", levels.pending)
    for service, left in levels.budgets.items():
        figures.set_gauge("retry_budget_left", f'service="{service}"', left)
    for (call, result), count in levels.store_calls.items():
        labels = f'call="{call}",result="{result}"'
        figures.set_gauge("store_calls", labels, count)
