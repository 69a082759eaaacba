"""Exchanges departures with the nodes that hold copies of them.

Handles a node that is killed before the store has the tombstone of an endpoint that
left: each node holds copies of the departures that others have announced, and gives
them back on each new connection.
"""

from collections.abc import Callable

from . import departure_copies, frames

GetDepartures = Callable[[], list[frames.Departure]]
CopyHandler = Callable[[str, frames.DepartureCopy], None]


class DepartureExchange:
    """Departures of this node's endpoint, and copies of those beside other nodes.

    :ivar get_own: returns the departures beside this node that the store may not have.
    :ivar handle_copy: called with the address of a node and a copy that it holds.
    """

    def __init__(self, get_own: GetDepartures, handle_copy: CopyHandler) -> None:
        self._copies = departure_copies.DepartureCopies()
        self.get_own = get_own
        self.handle_copy = handle_copy

    def hold(self, address: str, departure: frames.Departure) -> frames.DepartureCopy:
        """Holds a copy of a departure; returns the message that says so.

        :param address: address of the node that announced it.
        """
        self._copies.add(address, departure.instance, departure.start_ms)
        return frames.DepartureCopy(departure.instance, departure.start_ms)

    def get_copies(self, address: str) -> list[frames.DepartureCopy]:
        """Returns the copies that are held for the node at an address."""
        return [frames.DepartureCopy(*entry) for entry in self._copies.get(address)]
