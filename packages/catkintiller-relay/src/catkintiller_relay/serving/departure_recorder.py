"""Records departures of endpoints so that a restart of this node does not lose them.

A departure may be acknowledged once it is kept outside this process: in the store, or,
while the store does not respond, by other nodes, which give it back after a restart.
"""

import asyncio
from collections.abc import Callable, Mapping

from .. import data
from ..membership import frames, node_record, store_watcher
from ..telemetry import events

# Time for the store alone, and time in which a departure must be kept somewhere.
STORE_WRITE_TIMEOUT_S = 0.4
RECORD_TIMEOUT_S = 3.5
MIN_COPY_COUNT = 2

SendDeparture = Callable[[frames.Departure], None]
GetHolders = Callable[[], Mapping[str, str]]


class Departure:
    """A departure that is being recorded.

    :ivar start_ms: Unix time of the endpoint's start, in milliseconds.
    :ivar holders: addresses of the nodes that hold a copy.
    :ivar stored: set once the store has it.
    :ivar kept: set once the store or enough nodes have it.
    """

    def __init__(self, start_ms: int) -> None:
        self.start_ms = start_ms
        self.holders: set[str] = set()
        self.stored = asyncio.Event()
        self.kept = asyncio.Event()


class DepartureRecorder:
    """Writes the tombstones of endpoints that leave, and gives copies to peers.

    :param zone: availability zone of this node.
    :param watcher: writes this node's record, which has the tombstones.
    :param send: sends a departure to the connected nodes that hold copies.
    :param get_holders: returns the addresses of these nodes and their zones.
    """

    def __init__(
        self,
        zone: str,
        watcher: store_watcher.StoreWatcher,
        send: SendDeparture,
        get_holders: GetHolders,
        log: events.EventLog,
    ) -> None:
        self._zone = zone
        self._store_watcher = watcher
        self._send = send
        self._get_holders = get_holders
        self._log = log
        self._departures: dict[str, Departure] = {}
        watcher.on_record_written = self._handle_record_written

    async def record(self, instance: str, start_ms: int) -> bool:
        """Records a departure; returns whether it is kept outside this process.

        Several calls for one departure wait for the same result.

        :param instance: instance ID of the endpoint.
        :param start_ms: Unix time of its start, in milliseconds.
        """
        departure = self._departures.get(instance)
        if departure is None or departure.start_ms < start_ms:
            departure = self._begin(instance, start_ms)
            await self._write_record(departure)
        elif not departure.stored.is_set():
            await _wait(departure.stored, STORE_WRITE_TIMEOUT_S)
            self._check_copies(departure)
        if departure.stored.is_set():
            return True
        return await _wait(departure.kept, RECORD_TIMEOUT_S - STORE_WRITE_TIMEOUT_S)

    def restore(self, instance: str, start_ms: int) -> bool:
        """Adds a tombstone that the store has had since before this node restarted.

        :returns: whether it was not known.
        """
        self._mark_stored(instance, start_ms)
        tombstones = self._store_watcher.tombstones
        if tombstones.get(instance, -1) >= start_ms:
            return False
        tombstones[instance] = start_ms
        return True

    def handle_copy(self, address: str, copy: frames.DepartureCopy) -> bool:
        """Handles the message of a node that it holds a copy of a departure.

        A departure from before this node restarted may not be in the store.

        :param address: address of the node.
        :returns: whether the departure was not known.
        """
        known_ms = self._store_watcher.tombstones.get(copy.instance, -1)
        is_new = known_ms < copy.start_ms
        if is_new:
            self._begin(copy.instance, copy.start_ms)
            self._store_watcher.schedule_write()
        departure = self._departures.get(copy.instance)
        if departure is not None and departure.start_ms <= copy.start_ms:
            departure.holders.add(address)
            self._check_copies(departure)
        return is_new

    def get_unstored(self) -> list[frames.Departure]:
        """Returns the departures that the store may not have."""
        return [
            frames.Departure(instance, departure.start_ms)
            for instance, departure in self._departures.items()
            if not departure.stored.is_set()
        ]

    def _begin(self, instance: str, start_ms: int) -> Departure:
        departure = Departure(start_ms)
        self._departures[instance] = departure
        if len(self._departures) > store_watcher.MAX_TOMBSTONE_COUNT:
            del self._departures[next(iter(self._departures))]
        self._store_watcher.tombstones.pop(instance, None)
        self._store_watcher.tombstones[instance] = start_ms
        self._send(frames.Departure(instance, start_ms))
        return departure

    async def _write_record(self, departure: Departure) -> None:
        """Writes the tombstone, or lets it be written when the store responds.

        Before this node has read its former record, it must not replace it.
        """
        if not self._store_watcher.has_read_records:
            self._store_watcher.schedule_write()
            await _wait(departure.stored, STORE_WRITE_TIMEOUT_S)
            return
        try:
            await asyncio.wait_for(
                self._store_watcher.write_record(), STORE_WRITE_TIMEOUT_S
            )
        except (TimeoutError, data.StoreError) as error:
            self._log.write(
                "announce",
                "Tombstone was not written to the store.",
                why=str(error),
                copies=len(departure.holders),
            )
            self._store_watcher.schedule_write()

    def _check_copies(self, departure: Departure) -> None:
        """Sets ``kept`` if enough nodes have a copy, one of them in another zone.

        With fewer nodes connected, each of them must have one.
        """
        holders = self._get_holders()
        copy_count = len(departure.holders)
        if not copy_count:
            return
        has_other_zone = any(zone != self._zone for zone in holders.values())
        is_in_other_zone = any(
            holders.get(address, self._zone) != self._zone
            for address in departure.holders
        )
        if copy_count >= min(MIN_COPY_COUNT, len(holders)) and (
            is_in_other_zone or not has_other_zone
        ):
            departure.kept.set()

    def _handle_record_written(self, record: node_record.NodeRecord) -> None:
        for instance, start_ms in record.tombstones:
            self._mark_stored(instance, start_ms)

    def _mark_stored(self, instance: str, start_ms: int) -> None:
        departure = self._departures.get(instance)
        if departure is not None and departure.start_ms <= start_ms:
            departure.stored.set()
            departure.kept.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits for an event; returns whether it was set in time.

    :param timeout_s: time to wait, in seconds.
    """
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return False
    return True
