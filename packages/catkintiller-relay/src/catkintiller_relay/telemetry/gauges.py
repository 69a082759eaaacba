"""Gauges of a node that are computed only when its metrics are read."""

from collections.abc import Mapping
from typing import NamedTuple

from .. import data
from ..membership import connections
from ..serving import local_endpoint
from . import metrics


class GaugeValues(NamedTuple):
    """Values of the gauges that the node itself provides.

    :param config_version: version of the config in force; None without one.
    :param config_age_s: time since it came into force, in seconds.
    :param config_reading: whether the node reads configs from the store.
    :param config_call_s: time that its call for configs has taken so far, in seconds.
    :param config_read_age_s: time since its last successful read of configs began, in
        seconds; None without one.
    :param pending_count: number of requests that have not been answered yet.
    :param remaining_retries: retries left in the retry budget, by service.
    :param store_calls: number of calls to the store, by kind and result.
    :param suspect_count: requests that may crash endpoints, as far as the node knows.
    :param block_count: requests that are or have been blocked for that.
    :param is_quota_coordinator: whether the node follows itself as the coordinator of
        the quotas; None without quotas.
    :param quota_follower_count: number of nodes that follow it, itself included.
    :param customer_shares: lowest admitted shares of customers, by service and rank.
    :param body_bytes: bytes that bodies take or have reserved.
    """

    config_version: int | None
    config_age_s: float
    config_reading: data.ConfigReading
    config_call_s: float
    config_read_age_s: float | None
    pending_count: int
    remaining_retries: Mapping[str, float]
    store_calls: Mapping[tuple[str, str], int]
    suspect_count: int
    block_count: int
    is_quota_coordinator: bool | None
    quota_follower_count: int
    customer_shares: Mapping[str, Mapping[int, Mapping[str, float]]]
    body_bytes: int


def set_gauges(
    node_metrics: metrics.Metrics,
    values: GaugeValues,
    peers: list[connections.Peer],
    endpoint: local_endpoint.LocalEndpoint,
) -> None:
    """Sets the gauges in a node's metrics.

    :param endpoint: source of the gauges of the local endpoint.
    """
    if values.config_version is not None:
        node_metrics.set_gauge("config_version", "", values.config_version)
        node_metrics.set_gauge("config_age_seconds", "", values.config_age_s)
    node_metrics.set_gauge("config_reading", "", values.config_reading)
    node_metrics.set_gauge("config_call_seconds", "", values.config_call_s)
    if values.config_read_age_s is not None:
        node_metrics.set_gauge("config_read_age_seconds", "", values.config_read_age_s)
    accepting_count = sum(peer.accepting for peer in peers)
    node_metrics.set_gauge("peers", 'state="accepting"', accepting_count)
    node_metrics.set_gauge("peers", 'state="other"', len(peers) - accepting_count)
    node_metrics.set_gauge("endpoint_accepting", "", endpoint.accepting)
    node_metrics.set_gauge("endpoint_running", "", endpoint.queue.running_count)
    node_metrics.set_gauge("endpoint_waiting", "", endpoint.queue.queued_count)
    node_metrics.set_gauge("endpoint_usable_slots", "", endpoint.queue.usable_slots)
    node_metrics.set_gauge("pending", "", values.pending_count)
    node_metrics.set_gauge("crash_suspects", "", values.suspect_count)
    node_metrics.set_gauge("blocked_requests", "", values.block_count)
    node_metrics.set_gauge("body_bytes", "", values.body_bytes)
    if values.is_quota_coordinator is not None:
        followers = values.quota_follower_count
        node_metrics.set_gauge("quota_coordinator", "", values.is_quota_coordinator)
        node_metrics.set_gauge("quota_followers", "", followers)
    _set_customer_shares(node_metrics, values)
    for service, remaining in values.remaining_retries.items():
        node_metrics.set_gauge("retry_budget_left", f'service="{service}"', remaining)
    for (call, result), count in values.store_calls.items():
        labels = f'call="{call}",result="{result}"'
        node_metrics.set_gauge("store_calls", labels, count)


def _set_customer_shares(node_metrics: metrics.Metrics, values: GaugeValues) -> None:
    """Sets the gauge of the shares; the empty name stands for all other customers."""
    gauges = {}
    for service, shares in values.customer_shares.items():
        for rank, by_customer in shares.items():
            for name, share in by_customer.items():
                customer = metrics.escape_label(name)
                labels = f'service="{service}",rank="{rank}",customer="{customer}"'
                gauges[labels] = share
    node_metrics.replace_gauges("customer_admitted_share", gauges)
