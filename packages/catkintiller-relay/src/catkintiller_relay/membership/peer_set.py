"""The nodes that this node knows, and its connections to a subset of them.

Members are learned from the store and from nodes that introduce themselves. Connections
are kept to a bounded subset of each service's members, see :mod:`..routing.subsetting`.
A new node introduces itself to the members whose subsets it belongs to, since they do
not read the store again for a long time. While customers have quotas, the connections
that :mod:`.coordinator_order` names are kept in addition.
"""

import asyncio
import random
from collections.abc import Collection, Mapping

from .. import data, values
from ..routing import subsetting
from . import (
    config_role,
    connections,
    coordinator_order,
    frames,
    peer_observer,
)

REMOVE_AFTER_S = 30.0
UNREACHABLE_AFTER_S = 0.5
INTRODUCTION_TIMEOUT_S = 1.0
INTRODUCTION_ATTEMPTS = 3
MAX_PARALLEL_INTRODUCTIONS = 8


class PeerSet:
    """Members of the deployment and the peers among them.

    :param settings: settings of the process.
    :param hello: message that introduces this node.
    :param observer: handles messages and events of the peers.
    :ivar peers: nodes that this node is connected to or tries to connect to, by
        address.
    :ivar coordinator_order: members in the order of the candidates for coordinator.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: data.Settings,
        hello: frames.Hello,
        observer: peer_observer.PeerObserver,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._hello = hello
        self._observer = observer
        self._rng = rng
        self._members: dict[str, dict[str, subsetting.Member]] = {}
        self._services: dict[str, str] = {}
        self._weights: dict[str, int] = {}
        self._outdated_services: set[str] = set()
        self._unreachable: set[str] = set()
        self._sampled_ratios: dict[str, float] = {}
        self._pinned: set[str] = set()
        self._service_peers: dict[str, dict[str, connections.Peer]] | None = None
        self.peers: dict[str, connections.Peer] = {}
        self.coordinator_order = coordinator_order.CoordinatorOrder(settings.inbound)

    @property
    def member_count(self) -> int:
        """Number of known nodes, this one not included."""
        return len(self._services)

    @property
    def has_connection(self) -> bool:
        """Whether this node is connected to any peer."""
        return any(peer.connected for peer in self.peers.values())

    def get_peer(self, address: str) -> connections.Peer | None:
        """Returns the peer at an address; None if there is none."""
        return self.peers.get(address)

    def get_service_peers(self, service: str) -> Mapping[str, connections.Peer]:
        """Returns the peers whose last node state names a service, by address.

        The peers are indexed by service at the first call after one of them was added,
        was removed or changed its service.
        """
        if self._service_peers is None:
            self._service_peers = {}
            for address, peer in self.peers.items():
                if peer.state is not None:
                    group = self._service_peers.setdefault(peer.state.service, {})
                    group[address] = peer
        return self._service_peers.get(service, {})

    def is_first_of_service(self, count: int) -> bool:
        """Returns whether this node is among the first of its service, in any order.

        :param count: number of nodes that are.
        """
        settings = self._settings
        position = config_role.get_position(settings.inbound)
        preceding_count = sum(
            peer.state.service == settings.service
            and config_role.get_position(peer.address) < position
            for peer in self.get_responsive_peers(self._loop.time())
        )
        return preceding_count < count

    def get_members(self) -> list[subsetting.Member]:
        """Returns all members."""
        return [member for group in self._members.values() for member in group.values()]

    def get_sampled_ratio(self, service: str) -> float:
        """Returns the members of a service over those in the subset, at least 1.

        Multiplied with a sum over the peers of a service, it estimates the sum over all
        its members.
        """
        ratio = self._sampled_ratios.get(service)
        if ratio is None:
            members = self._members.get(service, {})
            peer_count = sum(address in self.peers for address in members)
            ratio = max(1.0, len(members) / peer_count) if peer_count else 1.0
            self._sampled_ratios[service] = ratio
        return ratio

    def get_connected_peers(self) -> list[connections.Peer]:
        """Returns the peers that requests can be sent to."""
        return [peer for peer in self.peers.values() if peer.connected]

    def estimate_live_count(
        self, connected: Collection[connections.Peer] | None = None
    ) -> float:
        """Estimates how many members are reachable, from those in the subsets.

        :param connected: the connected peers; None to find them.
        """
        connected_counts: dict[str, int] = {}
        for peer in self.get_connected_peers() if connected is None else connected:
            service = self._services.get(peer.address)
            if service is not None:
                connected_counts[service] = connected_counts.get(service, 0) + 1
        return sum(
            count * self.get_sampled_ratio(service)
            for service, count in connected_counts.items()
        )

    def add_member(self, member: subsetting.Member) -> None:
        """Adds a member or updates its service; connects to it if it is selected.

        A member whose address is invalid is ignored.
        """
        address = member.address
        if address == self._settings.inbound or not values.is_address(address):
            return
        known_service = self._services.get(address)
        if known_service == member.service or (known_service and not member.service):
            return
        if known_service is not None:
            del self._members[known_service][address]
            self._outdated_services.add(known_service)
        self._sampled_ratios.clear()
        self._services[address] = member.service
        self._members.setdefault(member.service, {})[address] = member
        self._outdated_services.add(member.service)
        self.coordinator_order.add(address)
        if address not in self._weights:
            own_address = self._settings.inbound
            self._weights[address] = subsetting.compute_weight(own_address, address)

    def tick(self, now: float) -> None:
        """Checks the peers and updates the subsets.

        :param now: time of the event loop, in seconds.
        """
        has_absent = self.coordinator_order.has_absent
        for address, peer in list(self.peers.items()):
            peer.tick(now)
            if (
                has_absent
                or peer.unreachable_since is not None
                or address in self._unreachable
            ):
                self._update_reachability(address, peer, now)
        self._update_pinned()
        outdated, self._outdated_services = self._outdated_services, set()
        for service in outdated:
            self._update_subset(service, now)

    def close(self) -> None:
        """Closes the connections to all peers."""
        for peer in self.peers.values():
            peer.close()

    def get_responsive_peers(self, now: float) -> list[connections.Peer]:
        """Returns the peers that are connected, respond and have sent their state.

        :param now: time of the event loop, in seconds.
        """
        return [
            peer
            for peer in self.peers.values()
            if peer.state is not None and peer.connected and not peer.is_suspect(now)
        ]

    def get_peers_with_newer_config(
        self, now: float, version: int
    ) -> list[connections.Peer]:
        """Returns the responsive peers whose config is newer than ``version``.

        :param now: time of the event loop, in seconds.
        """
        return [
            peer
            for peer in self.peers.values()
            if peer.state is not None
            and peer.state.config_version > version
            and peer.connected
            and not peer.is_suspect(now)
        ]

    async def introduce(self, connected_addresses: set[str]) -> int:
        """Introduces this node to the members that should connect to it.

        :param connected_addresses: addresses of members that have already done so.
        :returns: the number of members that this node introduced itself to.
        """
        own = subsetting.Member(
            self._settings.inbound, self._settings.zone, self._settings.service
        )
        service_members = [own, *self._members.get(own.service, {}).values()]
        semaphore = asyncio.Semaphore(MAX_PARALLEL_INTRODUCTIONS)
        targets = [
            member
            for member in self.get_members()
            if member.address not in connected_addresses
            and not self._is_connected_to(member.address)
            and is_selected_by(member, own, service_members)
        ]
        results = await asyncio.gather(
            *(self._introduce_to(member.address, semaphore) for member in targets)
        )
        return sum(results)

    def _is_connected_to(self, address: str) -> bool:
        peer = self.peers.get(address)
        return peer is not None and peer.connected

    async def _introduce_to(self, address: str, semaphore: asyncio.Semaphore) -> bool:
        """Sends the hello message on a connection of its own; tries it a few times."""
        host, _, port = address.rpartition(":")
        for attempt in range(INTRODUCTION_ATTEMPTS):
            async with semaphore:
                try:
                    connecting = asyncio.open_connection(host, int(port))
                    _, writer = await asyncio.wait_for(
                        connecting, INTRODUCTION_TIMEOUT_S
                    )
                except (TimeoutError, OSError):
                    writer = None
                else:
                    writer.write(frames.encode(self._hello))
                    writer.close()
            if writer is not None:
                return True
            await asyncio.sleep(2.0**attempt * self._rng.uniform(0.7, 1.3))
        return False

    def _update_reachability(
        self, address: str, peer: connections.Peer, now: float
    ) -> None:
        self.coordinator_order.update_presence(peer)
        unreachable_since = peer.unreachable_since
        if unreachable_since is None and address not in self._unreachable:
            return
        service = self._services.get(address, "")
        if unreachable_since is None:
            self._unreachable.discard(address)
            self._outdated_services.add(service)
            return
        if now - unreachable_since > REMOVE_AFTER_S:
            self._remove(address, service)
            return
        if (
            now - unreachable_since > UNREACHABLE_AFTER_S
            and address not in self._unreachable
        ):
            self._unreachable.add(address)
            self._outdated_services.add(service)

    def _remove(self, address: str, service: str) -> None:
        self.peers.pop(address).close()
        self._sampled_ratios.clear()
        self._drop_service_index()
        self._unreachable.discard(address)
        self._members.get(service, {}).pop(address, None)
        self._services.pop(address, None)
        self._weights.pop(address, None)
        self.coordinator_order.remove(address)
        self._outdated_services.add(service)
        self._observer.handle_peer_removed(address)

    def _update_pinned(self) -> None:
        pinned = self.coordinator_order.get_pinned(self.peers, self._unreachable)
        for address in pinned ^ self._pinned:
            if address in self._services:
                self._outdated_services.add(self._services[address])
        self._pinned = pinned

    def _update_subset(self, service: str, now: float) -> None:
        """Connects to the members that are selected and leaves those that are not.

        A peer with outstanding requests is left only when they have ended.
        """
        members = self._members.get(service, {})
        selected = {
            member.address: member
            for member in subsetting.select_subset(
                members.values(), self._weights, self._settings.zone, self._unreachable
            )
        }
        for address in self._pinned & members.keys():
            selected[address] = members[address]
        for address in members:
            if address in self.peers and address not in selected:
                self._leave(address, service)
        for address, member in selected.items():
            if address not in self.peers:
                peer = connections.Peer(
                    self._loop,
                    address,
                    member.zone,
                    self._hello,
                    self._observer,
                    self._rng,
                )
                peer.on_service_change = self._drop_service_index
                self.peers[address] = peer
                self._sampled_ratios.clear()
                self._drop_service_index()
                peer.tick(now)

    def _drop_service_index(self) -> None:
        self._service_peers = None

    def _leave(self, address: str, service: str) -> None:
        if self.peers[address].outstanding_count:
            self._outdated_services.add(service)
            return
        self.peers.pop(address).close()
        self._sampled_ratios.clear()
        self._drop_service_index()
        self._unreachable.discard(address)
        self._observer.handle_peer_removed(address)


def is_selected_by(
    caller: subsetting.Member,
    own: subsetting.Member,
    service_members: list[subsetting.Member],
) -> bool:
    """Returns whether a member's subset contains this node.

    :param caller: the member that selects.
    :param own: this node.
    :param service_members: members of this node's service, itself included.
    """
    if len(service_members) <= subsetting.SUBSET_SIZE:
        return True
    weights = {
        member.address: subsetting.compute_weight(caller.address, member.address)
        for member in service_members
    }
    return own in subsetting.select_subset(service_members, weights, caller.zone)
