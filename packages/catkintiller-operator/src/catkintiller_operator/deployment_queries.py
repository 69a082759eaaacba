"""Queries what the node records in the platform's store tell about a deployment."""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from catkintiller_relay import data
from catkintiller_relay.membership import node_record
from catkintiller_relay.routing import call_graph

from . import store_client


class Deployment(NamedTuple):
    """Nodes of a deployment and the calls that they have counted.

    :param node_counts: number of nodes by service; each has one endpoint. Nodes that
        have gone are included as long as the store has their records.
    :param edges: edges of the call graph.
    """

    node_counts: Mapping[str, int]
    edges: tuple[call_graph.Edge, ...]


def read_deployment(address: str) -> Deployment:
    """Reads the node records; those that are not valid are skipped, as at the nodes.

    :param address: ``IP:PORT`` of the store.
    :raises errors.LogUnavailable: if the store does not return a valid response.
    :raises data.DecodeError: if the address is not valid.
    """
    stored_records = store_client.read_store(
        address, lambda store: store.read_node_records()
    )
    return build_deployment(stored_records)


def build_deployment(stored_records: list[data.StoreRecord]) -> Deployment:
    """Builds the deployment from the newest record of each node."""
    records = []
    for stored in stored_records:
        try:
            record = node_record.parse_record(stored.value)
        except data.DecodeError:
            continue
        records.append(record)
    return Deployment(
        collections.Counter(record.service for record in records),
        tuple({edge[:3]: edge for record in records for edge in record.edges}.values()),
    )
