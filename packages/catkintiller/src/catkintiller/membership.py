"""Membership: the table of nodes, maintained by a gossip protocol.

The protocol follows SWIM. In each period a node probes one member. If that member
does not reply, the node asks other members to probe it, then marks it as suspect, and
after the suspicion timeout as gone. Updates are piggybacked on the probes. The cost
for each node does not depend on the number of members. Time and randomness are
arguments and the methods return the messages to send, so that the protocol can be
tested without sockets.
"""

import heapq
import random
import secrets
import zlib
from typing import NamedTuple

from . import data

PROBE_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_PROBE_COUNT = 3
SUSPICION_TIMEOUT_S = 3.0
MAX_GOSSIP_MEMBER_COUNT = 8
GOSSIP_ROUNDS_FACTOR = 4
REJOIN_PERIOD_COUNT = 10
TOMBSTONE_RETENTION_S = 120.0
MAX_PAGE_MEMBER_COUNT = 500
MAX_GOSSIP_PAGE_MEMBER_COUNT = 64
SYNC_INTERVAL_S = 5.0
DIGEST_BUCKET_COUNT = 256
MAX_SYNC_BUCKET_COUNT = 4
IMMEDIATE_PING_COUNT = 3


class OutgoingMessage(NamedTuple):
    """A message to send to an address."""

    address: str
    message: NamedTuple


class Transition(NamedTuple):
    """A change of a member's state or of its ``accepting`` flag.

    ``before`` is the previous state, ``None`` for a new member.
    """

    member: data.Member
    before: data.MemberState | None


class _Probe(NamedTuple):
    """An outstanding probe.

    ``is_indirect`` is set once other members have been asked to probe as well.
    """

    member: data.Member
    sent_at: float
    is_indirect: bool


class Membership:
    """The membership table of one node.

    ``seeds`` are contacted until a peer has sent its members, and to rejoin later.

    :param own_record: member record of this node.
    :param seeds: addresses of a few peers from the local settings.
    :param rng: random number generator, seeded in tests.
    """

    def __init__(
        self, own_record: data.Member, seeds: list[str], rng: random.Random
    ) -> None:
        self._own_record = own_record
        self._seeds = [
            seed_address for seed_address in seeds if seed_address != own_record.address
        ]
        self._rng = rng
        self._members: dict[str, data.Member] = {own_record.incarnation: own_record}
        self._ended_at: dict[str, float] = {}
        self._gossip_send_counts: dict[str, int] = {own_record.incarnation: 0}
        self._probes: dict[str, _Probe] = {}
        self._indirect_probes: dict[str, tuple[str, str]] = {}
        self._probe_order: list[str] = []
        self._suspected_at: dict[str, float] = {}
        self._next_period_at = 0.0
        self._period_count = 0
        self._next_sync_at = 0.0
        self._transitions: list[Transition] = []
        self._synced = not self._seeds
        self._accepting_by_service: dict[str, list[data.Member]] | None = None
        self._digest = 0
        self._buckets = [0] * DIGEST_BUCKET_COUNT
        self._toggle_in_digest(own_record)

    @property
    def own_record(self) -> data.Member:
        """Member record of this node."""
        return self._own_record

    @property
    def members(self) -> list[data.Member]:
        """All member records of the table, including that of this node."""
        return list(self._members.values())

    @property
    def digest(self) -> int:
        """Hash of the whole table; equal at nodes whose tables are equal."""
        return self._digest

    @property
    def is_synced(self) -> bool:
        """Whether a peer has sent its members, or there are no seeds."""
        return self._synced

    def get(self, incarnation: str) -> data.Member | None:
        """Returns the record of an incarnation, or ``None`` if it is unknown."""
        return self._members.get(incarnation)

    def get_live_members(self) -> list[data.Member]:
        """Returns the members that are neither gone nor left, suspects included."""
        ended_states = (data.MemberState.GONE, data.MemberState.LEFT)
        return [m for m in self._members.values() if m.state not in ended_states]

    def get_accepting_members(self, service: str) -> list[data.Member]:
        """Returns the live members whose endpoint accepts requests of a service."""
        if self._accepting_by_service is None:
            self._accepting_by_service = {}
            for member in self.get_live_members():
                if member.accepting and member.service:
                    self._accepting_by_service.setdefault(member.service, []).append(
                        member
                    )
        return self._accepting_by_service.get(service, [])

    def pop_transitions(self) -> list[Transition]:
        """Returns and removes the transitions since the last call."""
        transitions = self._transitions
        self._transitions = []
        return transitions

    def update_own_record(self, **changes: object) -> None:
        """Changes fields of this node's record and queues it for gossip."""
        own_record = self._own_record._replace(
            beat=self._own_record.beat + 1, **changes
        )
        self._own_record = own_record
        self._store_record(own_record, 0.0)

    def build_immediate_pings(self, settings_offset: int) -> list[OutgoingMessage]:
        """Builds pings to a few members, for updates that must not wait for a period.

        :param settings_offset: offset of the settings that this node has applied.
        """
        others = [
            m
            for m in self.get_live_members()
            if m.incarnation != self._own_record.incarnation
        ]
        count = min(IMMEDIATE_PING_COUNT, len(others))
        return [
            OutgoingMessage(member.address, self._build_ping(member, settings_offset))
            for member in self._rng.sample(others, count)
        ]

    def tick(self, now: float, settings_offset: int) -> list[OutgoingMessage]:
        """Runs the periodic work that is due.

        :param now: current time, in seconds.
        :param settings_offset: offset of the settings that this node has applied.
        :returns: the messages to send.
        """
        messages = self._check_probes(now)
        self._expire_suspects(now)
        if now < self._next_period_at:
            return messages
        self._next_period_at = now + PROBE_PERIOD_S
        self._period_count += 1
        self._remove_expired_tombstones(now)
        if not self._synced:
            request = data.MembersRequest(self._own_record)
            messages.extend(
                OutgoingMessage(seed_address, request) for seed_address in self._seeds
            )
        elif self._period_count % REJOIN_PERIOD_COUNT == 0:
            messages.extend(self._build_rejoin_requests())
        subject = self._choose_probe_target()
        if subject:
            ping = self._build_ping(subject, settings_offset)
            self._probes[ping.nonce] = _Probe(subject, now, False)
            messages.append(OutgoingMessage(subject.address, ping))
        return messages

    def handle_message(
        self, now: float, message: NamedTuple, settings_offset: int
    ) -> list[OutgoingMessage]:
        """Handles a membership message.

        :param now: current time, in seconds.
        :param settings_offset: offset of the settings that this node has applied.
        :returns: the messages to send in reply.
        """
        self._merge_record(now, message.source)
        if isinstance(message, data.Ping):
            return self._handle_ping(now, message, settings_offset)
        if isinstance(message, data.PingRequest):
            ping = self._build_ping(message.subject, settings_offset)
            self._indirect_probes[ping.nonce] = (message.source.address, message.nonce)
            return [OutgoingMessage(message.subject.address, ping)]
        if isinstance(message, data.Ack):
            return self._handle_ack(now, message)
        if isinstance(message, data.MembersRequest):
            return self._build_pages(message.source.address, self.members)
        if isinstance(message, data.MembersDigest):
            return self._build_differing_pages(message)
        # Most members already have the records of a large page, so gossiping them would
        # only displace updates.
        should_gossip = len(message.members) <= MAX_GOSSIP_PAGE_MEMBER_COUNT
        for member in message.members:
            self._merge_record(now, member, should_gossip)
        self._synced = True
        return []

    def _handle_ping(
        self, now: float, message: data.Ping, settings_offset: int
    ) -> list[OutgoingMessage]:
        for member in message.gossip:
            self._merge_record(now, member)
        ack = data.Ack(
            message.nonce,
            self._own_record,
            settings_offset,
            self._digest,
            self._select_gossip(message.source),
        )
        messages = [OutgoingMessage(message.source.address, ack)]
        return messages + self._build_sync_request(now, message)

    def _handle_ack(self, now: float, message: data.Ack) -> list[OutgoingMessage]:
        for member in message.gossip:
            self._merge_record(now, member)
        probe = self._probes.pop(message.nonce, None)
        if probe and probe.member.incarnation != message.source.incarnation:
            # Another process replies at this address, so the previous one has ended.
            previous = self._members.get(probe.member.incarnation, probe.member)
            if previous.address == message.source.address:
                self._merge_record(now, previous._replace(state=data.MemberState.LEFT))
        elif probe:
            self._suspected_at.pop(probe.member.incarnation, None)
            self._clear_suspicion(now, probe.member.incarnation)
        forward_to = self._indirect_probes.pop(message.nonce, None)
        if forward_to:
            return [
                OutgoingMessage(forward_to[0], message._replace(nonce=forward_to[1]))
            ]
        return self._build_sync_request(now, message)

    def _clear_suspicion(self, now: float, incarnation: str) -> None:
        member = self._members.get(incarnation)
        if member and member.state is data.MemberState.SUSPECT:
            self._set_state(now, member, data.MemberState.ALIVE)

    def _build_sync_request(
        self, now: float, message: NamedTuple
    ) -> list[OutgoingMessage]:
        if message.digest == self._digest or now < self._next_sync_at:
            return []
        self._next_sync_at = now + SYNC_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        digest = data.MembersDigest(self._own_record, tuple(self._buckets))
        return [OutgoingMessage(message.source.address, digest)]

    def _build_differing_pages(
        self, message: data.MembersDigest
    ) -> list[OutgoingMessage]:
        """Builds pages with the members of a few buckets whose hashes differ."""
        if len(message.buckets) != DIGEST_BUCKET_COUNT:
            return []
        pairs = zip(self._buckets, message.buckets, strict=True)
        differing = [i for i, (own, theirs) in enumerate(pairs) if own != theirs]
        if (
            len(differing) > MAX_SYNC_BUCKET_COUNT
            and len(self._members) > MAX_PAGE_MEMBER_COUNT
        ):
            differing = self._rng.sample(differing, MAX_SYNC_BUCKET_COUNT)
        chosen = set(differing)
        members = [m for m in self.members if _get_bucket(m) in chosen]
        return self._build_pages(message.source.address, members)

    def _build_pages(
        self, address: str, members: list[data.Member]
    ) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(
                address,
                data.MembersPage(
                    self._own_record, tuple(members[i : i + MAX_PAGE_MEMBER_COUNT])
                ),
            )
            for i in range(0, len(members), MAX_PAGE_MEMBER_COUNT)
        ]

    def _toggle_in_digest(self, member: data.Member) -> None:
        """Adds a record to the digest, or removes it if it is part of it (XOR)."""
        value = _hash_member(member)
        self._digest ^= value
        self._buckets[_get_bucket(member)] ^= value

    def _build_ping(self, member: data.Member, settings_offset: int) -> data.Ping:
        return data.Ping(
            secrets.token_hex(8),
            self._own_record,
            member.incarnation,
            settings_offset,
            self._digest,
            self._select_gossip(member),
        )

    def _build_rejoin_requests(self) -> list[OutgoingMessage]:
        """Builds requests to seeds and gone members, to rejoin after a partition."""
        ended_addresses = [
            self._members[incarnation].address for incarnation in self._ended_at
        ]
        addresses = [*self._seeds]
        if ended_addresses:
            addresses.append(self._rng.choice(ended_addresses))
        live_addresses = {member.address for member in self.get_live_members()}
        request = data.MembersRequest(self._own_record)
        return [
            OutgoingMessage(address, request)
            for address in addresses
            if address not in live_addresses
        ]

    def _choose_probe_target(self) -> data.Member | None:
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member and member.state < data.MemberState.GONE:
                return member
        self._probe_order = [
            member.incarnation
            for member in self.get_live_members()
            if member.incarnation != self._own_record.incarnation
        ]
        self._rng.shuffle(self._probe_order)
        return self._members[self._probe_order.pop()] if self._probe_order else None

    def _check_probes(self, now: float) -> list[OutgoingMessage]:
        messages = []
        for nonce, probe in list(self._probes.items()):
            waited_s = now - probe.sent_at
            if waited_s > PROBE_PERIOD_S * 2:
                del self._probes[nonce]
                self._mark_suspect(now, probe.member.incarnation)
            elif waited_s > ACK_TIMEOUT_S and not probe.is_indirect:
                self._probes[nonce] = probe._replace(is_indirect=True)
                messages.extend(self._build_ping_requests(nonce, probe.member))
        if len(self._indirect_probes) > 1000:
            self._indirect_probes.clear()
        return messages

    def _build_ping_requests(
        self, nonce: str, subject: data.Member
    ) -> list[OutgoingMessage]:
        others = [
            member
            for member in self.get_live_members()
            if member.incarnation
            not in (subject.incarnation, self._own_record.incarnation)
        ]
        chosen = self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        message = data.PingRequest(nonce, self._own_record, subject)
        return [OutgoingMessage(member.address, message) for member in chosen]

    def _mark_suspect(self, now: float, incarnation: str) -> None:
        member = self._members.get(incarnation)
        if member and member.state is data.MemberState.ALIVE:
            self._set_state(now, member, data.MemberState.SUSPECT)

    def _expire_suspects(self, now: float) -> None:
        for incarnation, suspected_at in list(self._suspected_at.items()):
            if now - suspected_at < SUSPICION_TIMEOUT_S:
                continue
            del self._suspected_at[incarnation]
            member = self._members.get(incarnation)
            if member and member.state is data.MemberState.SUSPECT:
                self._set_state(now, member, data.MemberState.GONE)

    def _remove_expired_tombstones(self, now: float) -> None:
        for incarnation, ended_at in list(self._ended_at.items()):
            if now - ended_at > TOMBSTONE_RETENTION_S:
                del self._ended_at[incarnation]
                self._gossip_send_counts.pop(incarnation, None)
                self._toggle_in_digest(self._members.pop(incarnation))

    def _set_state(
        self, now: float, member: data.Member, state: data.MemberState
    ) -> None:
        self._store_record(member._replace(state=state), now)

    def _merge_record(
        self, now: float, member: data.Member, should_gossip: bool = True
    ) -> None:
        if member.incarnation == self._own_record.incarnation:
            self._refute_record(member)
            return
        existing = self._members.get(member.incarnation)
        if (
            member.address == self._own_record.address
            and member.state < data.MemberState.GONE
        ):
            # Only one process listens at an address, and that is this one.
            self._store_record(member._replace(state=data.MemberState.GONE), now)
            return
        if existing is None and member.state >= data.MemberState.GONE:
            return
        if existing is None or _is_newer(member, existing):
            self._store_record(member, now, should_gossip)

    def _refute_record(self, record: data.Member) -> None:
        """Refutes a peer's record of this node that is newer or has a higher state."""
        is_newer = record.beat > self._own_record.beat
        is_refutable = (
            record.beat == self._own_record.beat
            and record.state > self._own_record.state
        )
        if is_newer or is_refutable:
            self._own_record = self._own_record._replace(beat=record.beat)
            self.update_own_record()

    def _store_record(
        self, member: data.Member, now: float, should_gossip: bool = True
    ) -> None:
        existing = self._members.get(member.incarnation)
        if existing:
            self._toggle_in_digest(existing)
        self._toggle_in_digest(member)
        self._members[member.incarnation] = member
        if member.state >= data.MemberState.GONE:
            self._ended_at[member.incarnation] = now
        else:
            self._ended_at.pop(member.incarnation, None)
        if should_gossip:
            self._gossip_send_counts[member.incarnation] = 0
        self._accepting_by_service = None
        if member.state is data.MemberState.SUSPECT:
            self._suspected_at.setdefault(member.incarnation, now)
        else:
            self._suspected_at.pop(member.incarnation, None)
        before = existing.state if existing else None
        if before is not member.state or existing.accepting != member.accepting:
            self._transitions.append(Transition(member, before))

    def _select_gossip(self, receiver: data.Member) -> tuple[data.Member, ...]:
        """Selects the updates that were sent least often.

        An update is dropped once it has been sent often enough to reach all members.
        """
        max_send_count = GOSSIP_ROUNDS_FACTOR * len(self._members).bit_length()
        send_counts = self._gossip_send_counts.__getitem__
        chosen = heapq.nsmallest(
            MAX_GOSSIP_MEMBER_COUNT, self._gossip_send_counts, key=send_counts
        )
        gossip = []
        existing = self._members.get(receiver.incarnation)
        if existing and existing.state is not data.MemberState.ALIVE:
            # A suspect or gone receiver needs its own record in order to refute it.
            gossip.append(existing)
        for incarnation in chosen:
            gossip.append(self._members[incarnation])
            self._gossip_send_counts[incarnation] += 1
            if self._gossip_send_counts[incarnation] > max_send_count:
                del self._gossip_send_counts[incarnation]
        return tuple(gossip)


def _is_newer(member: data.Member, existing: data.Member) -> bool:
    if existing.state is data.MemberState.LEFT:
        return False
    if member.state is data.MemberState.LEFT:
        return True
    return (member.beat, member.state) > (existing.beat, existing.state)


def _get_bucket(member: data.Member) -> int:
    return zlib.crc32(member.incarnation.encode()) % DIGEST_BUCKET_COUNT


def _hash_member(member: data.Member) -> int:
    text = f"{member.incarnation} {member.beat} {int(member.state)}"
    return zlib.crc32(text.encode())
