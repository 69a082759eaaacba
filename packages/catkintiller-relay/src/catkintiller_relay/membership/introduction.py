"""Introduces this node, once after its start, to the members that do not know it."""

import asyncio
import random

from ..telemetry import events
from . import peer_server, peer_set, store_watcher

DELAY_S = 1.0


class Introduction:
    """Introduces this node to the members that have not connected to it.

    :param peers: sends the messages.
    :param server: knows the members that have connected.
    :param records: tells when the members are known.
    """

    def __init__(
        self,
        peers: peer_set.PeerSet,
        server: peer_server.PeerServer,
        records: store_watcher.StoreWatcher,
        rng: random.Random,
        log: events.EventLog,
    ) -> None:
        self._peers = peers
        self._server = server
        self._records = records
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Waits until the members are known, and introduces this node to them.

        Most members that start at the same time connect during the delay.
        """
        while not self._records.nodes_listed:
            await asyncio.sleep(DELAY_S)
        await asyncio.sleep(DELAY_S * self._rng.uniform(1.0, 2.0))
        connected = self._server.get_connected_addresses()
        count = await self._peers.introduce(connected)
        self._log.write("peer", "Introduced to members.", members=count)
