"""Copies of departures that endpoints have announced to other nodes.

A node may be killed before the store has the tombstone of an endpoint that left. The
nodes that hold a copy give it back when the node has started again.
"""

import collections

MAX_NODE_COUNT = 1024
MAX_DEPARTURES_PER_NODE = 8


class DepartureCopies:
    """Departures by the address of the node beside the endpoint.

    Of a node, and of all nodes, the newest departures are kept.
    """

    def __init__(self) -> None:
        self._departures: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )

    def add(self, address: str, instance: str, start_ms: int) -> None:
        """Adds a departure, or replaces that of an earlier start.

        :param address: address of the node beside the endpoint.
        :param instance: instance ID of the endpoint.
        :param start_ms: Unix time of its start, in milliseconds.
        """
        departures = self._departures.setdefault(address, {})
        self._departures.move_to_end(address)
        newest_ms = max(start_ms, departures.pop(instance, start_ms))
        departures[instance] = newest_ms
        if len(departures) > MAX_DEPARTURES_PER_NODE:
            del departures[next(iter(departures))]
        if len(self._departures) > MAX_NODE_COUNT:
            self._departures.popitem(last=False)

    def get(self, address: str) -> list[tuple[str, int]]:
        """Returns the instance IDs and starts of a node's departures, oldest first."""
        return list(self._departures.get(address, {}).items())
