"""Membership: who is there, kept by probing between nodes.

The protocol follows SWIM: each period a node probes one other, asks third
members to probe it when no reply comes, suspects it, and declares it gone after
the suspicion time. News travels on the probes. The cost for each node does not
depend on the number of members. Time and randomness are arguments, and the
methods return the messages to send, so the protocol is tested without sockets.
"""

import heapq
import random
import secrets
import zlib
from typing import NamedTuple

from . import data

PROBE_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.2
RELAYS = 3
SUSPICION_S = 3.0
GOSSIP_PER_MESSAGE = 8
GOSSIP_ROUNDS_FACTOR = 4
RETRY_GONE_EVERY = 10
FORGET_S = 120.0
PAGE_MEMBERS = 500
SMALL_PAGE_MEMBERS = 64
SYNC_EVERY_S = 5.0
DIGEST_BUCKETS = 256
BUCKETS_PER_SYNC = 4
PROBE_FANOUT_ON_NEWS = 3


class OutgoingMessage(NamedTuple):
    """A message to send to an address."""

    address: str
    message: NamedTuple


class Transition(NamedTuple):
    """A change of a member's state, for the log."""

    member: data.Member
    before: data.MemberState | None


class _Probe(NamedTuple):
    """A probe that waits for its reply."""

    member: data.Member
    sent: float
    relayed: bool


class Membership:
    """The membership table of one node.

    :param me: this node's own member record.
    :param seeds: addresses of a few peers from the local settings.
    :param rng: source of randomness, seeded in tests.
    """

    def __init__(self, me: data.Member, seeds: list[str], rng: random.Random) -> None:
        self._own_record = me
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._rng = rng
        self._members: dict[str, data.Member] = {me.incarnation: me}
        self._ended: dict[str, float] = {}
        self._gossip: dict[str, int] = {me.incarnation: 0}
        self._probes: dict[str, _Probe] = {}
        self._relays: dict[str, tuple[str, str]] = {}
        self._order: list[str] = []
        self._suspected: dict[str, float] = {}
        self._next_period = 0.0
        self._periods = 0
        self._next_sync = 0.0
        self._transitions: list[Transition] = []
        self._synced = not self._seeds
        self._by_service: dict[str, list[data.Member]] | None = None
        self._digest = 0
        self._buckets = [0] * DIGEST_BUCKETS
        self._toggle_digest(me)

    @property
    def own_record(self) -> data.Member:
        """This node's own record."""
        return self._own_record

    @property
    def members(self) -> list[data.Member]:
        """Every known record, this node's own included."""
        return list(self._members.values())

    @property
    def digest(self) -> int:
        """A hash over the whole table, equal at nodes that know the same."""
        return self._digest

    @property
    def is_synced(self) -> bool:
        """Whether a peer has told its members, or there is no peer to ask."""
        return self._synced

    def get(self, incarnation: str) -> data.Member | None:
        """Gets the record of an incarnation."""
        return self._members.get(incarnation)

    def get_live_members(self) -> list[data.Member]:
        """Gets the members that are neither gone nor left."""
        gone = (data.MemberState.GONE, data.MemberState.LEFT)
        return [m for m in self._members.values() if m.state not in gone]

    def get_accepting_members(self, service: str) -> list[data.Member]:
        """Gets the members whose endpoint takes new requests of a service."""
        if self._by_service is None:
            self._by_service = {}
            for member in self.get_live_members():
                if member.accepting and member.service:
                    self._by_service.setdefault(member.service, []).append(member)
        return self._by_service.get(service, [])

    def pop_transitions(self) -> list[Transition]:
        """Takes the state changes since the last call."""
        taken = self._transitions
        self._transitions = []
        return taken

    def update_own_record(self, **changes: object) -> None:
        """Changes this node's own record and spreads it."""
        me = self._own_record._replace(beat=self._own_record.beat + 1, **changes)
        self._own_record = me
        self._store(me, 0.0)

    def build_immediate_pings(self, settings_offset: int) -> list[OutgoingMessage]:
        """Tells a few members at once, for news that must not wait a period."""
        others = [
            m
            for m in self.get_live_members()
            if m.incarnation != self._own_record.incarnation
        ]
        count = min(PROBE_FANOUT_ON_NEWS, len(others))
        return [
            OutgoingMessage(member.address, self._make_ping(member, settings_offset))
            for member in self._rng.sample(others, count)
        ]

    def tick(self, now: float, settings_offset: int) -> list[OutgoingMessage]:
        """Runs what is due.

        :returns: the messages to send now.
        """
        sends = self._check_probes(now)
        self._check_suspects(now)
        if now < self._next_period:
            return sends
        self._next_period = now + PROBE_PERIOD_S
        self._periods += 1
        self._forget_old(now)
        if not self._synced:
            request = data.MembersRequest(self._own_record)
            sends.extend(OutgoingMessage(seed, request) for seed in self._seeds)
        elif self._periods % RETRY_GONE_EVERY == 0:
            sends.extend(self._contact_lost())
        subject = self._choose_subject()
        if subject:
            ping = self._make_ping(subject, settings_offset)
            self._probes[ping.nonce] = _Probe(subject, now, False)
            sends.append(OutgoingMessage(subject.address, ping))
        return sends

    def handle_message(
        self, now: float, message: NamedTuple, settings_offset: int
    ) -> list[OutgoingMessage]:
        """Takes a membership message.

        :returns: the messages to send in reply.
        """
        self._merge(now, message.source)
        if isinstance(message, data.Ping):
            return self._receive_ping(now, message, settings_offset)
        if isinstance(message, data.PingRequest):
            ping = self._make_ping(message.subject, settings_offset)
            self._relays[ping.nonce] = (message.source.address, message.nonce)
            return [OutgoingMessage(message.subject.address, ping)]
        if isinstance(message, data.Ack):
            return self._receive_ack(now, message)
        if isinstance(message, data.MembersRequest):
            return self._send_pages(message.source.address, self.members)
        if isinstance(message, data.MembersDigest):
            return self._send_different(message)
        # A large page tells what most others know already; passing it on would
        # only crowd out news.
        is_news = len(message.members) <= SMALL_PAGE_MEMBERS
        for member in message.members:
            self._merge(now, member, is_news)
        self._synced = True
        return []

    def _receive_ping(
        self, now: float, message: data.Ping, settings_offset: int
    ) -> list[OutgoingMessage]:
        for member in message.gossip:
            self._merge(now, member)
        ack = data.Ack(
            message.nonce,
            self._own_record,
            settings_offset,
            self._digest,
            self._pick_gossip(message.source),
        )
        sends = [OutgoingMessage(message.source.address, ack)]
        return sends + self._sync_if_different(now, message)

    def _receive_ack(self, now: float, message: data.Ack) -> list[OutgoingMessage]:
        for member in message.gossip:
            self._merge(now, member)
        probe = self._probes.pop(message.nonce, None)
        if probe and probe.member.incarnation != message.source.incarnation:
            # Another process answers at the address, so the old one has ended.
            old = self._members.get(probe.member.incarnation, probe.member)
            if old.address == message.source.address:
                self._merge(now, old._replace(state=data.MemberState.LEFT))
        elif probe:
            self._suspected.pop(probe.member.incarnation, None)
            self._clear_suspicion(now, probe.member.incarnation)
        relay = self._relays.pop(message.nonce, None)
        if relay:
            return [OutgoingMessage(relay[0], message._replace(nonce=relay[1]))]
        return self._sync_if_different(now, message)

    def _clear_suspicion(self, now: float, incarnation: str) -> None:
        member = self._members.get(incarnation)
        if member and member.state is data.MemberState.SUSPECT:
            self._set_state(now, member, data.MemberState.ALIVE)

    def _sync_if_different(
        self, now: float, message: NamedTuple
    ) -> list[OutgoingMessage]:
        if message.digest == self._digest or now < self._next_sync:
            return []
        self._next_sync = now + SYNC_EVERY_S * self._rng.uniform(0.5, 1.5)
        digest = data.MembersDigest(self._own_record, tuple(self._buckets))
        return [OutgoingMessage(message.source.address, digest)]

    def _send_different(self, message: data.MembersDigest) -> list[OutgoingMessage]:
        """Sends the members of a few buckets that the asker knows otherwise."""
        if len(message.buckets) != DIGEST_BUCKETS:
            return []
        pairs = zip(self._buckets, message.buckets, strict=True)
        different = [i for i, (mine, theirs) in enumerate(pairs) if mine != theirs]
        if len(different) > BUCKETS_PER_SYNC and len(self._members) > PAGE_MEMBERS:
            different = self._rng.sample(different, BUCKETS_PER_SYNC)
        chosen = set(different)
        members = [m for m in self.members if _get_bucket(m) in chosen]
        return self._send_pages(message.source.address, members)

    def _send_pages(
        self, address: str, members: list[data.Member]
    ) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(
                address,
                data.MembersPage(
                    self._own_record, tuple(members[i : i + PAGE_MEMBERS])
                ),
            )
            for i in range(0, len(members), PAGE_MEMBERS)
        ]

    def _toggle_digest(self, member: data.Member) -> None:
        """Adds a record to the digest, or takes it out again."""
        value = _hash_member(member)
        self._digest ^= value
        self._buckets[_get_bucket(member)] ^= value

    def _make_ping(self, member: data.Member, settings_offset: int) -> data.Ping:
        return data.Ping(
            secrets.token_hex(8),
            self._own_record,
            member.incarnation,
            settings_offset,
            self._digest,
            self._pick_gossip(member),
        )

    def _contact_lost(self) -> list[OutgoingMessage]:
        """Tries seeds and gone members again, so that a healed cut rejoins."""
        gone = [self._members[incarnation].address for incarnation in self._ended]
        addresses = [*self._seeds]
        if gone:
            addresses.append(self._rng.choice(gone))
        alive = {member.address for member in self.get_live_members()}
        request = data.MembersRequest(self._own_record)
        return [
            OutgoingMessage(address, request)
            for address in addresses
            if address not in alive
        ]

    def _choose_subject(self) -> data.Member | None:
        while self._order:
            member = self._members.get(self._order.pop())
            if member and member.state < data.MemberState.GONE:
                return member
        self._order = [
            member.incarnation
            for member in self.get_live_members()
            if member.incarnation != self._own_record.incarnation
        ]
        self._rng.shuffle(self._order)
        return self._members[self._order.pop()] if self._order else None

    def _check_probes(self, now: float) -> list[OutgoingMessage]:
        sends = []
        for nonce, probe in list(self._probes.items()):
            waited = now - probe.sent
            if waited > PROBE_PERIOD_S * 2:
                del self._probes[nonce]
                self._suspect(now, probe.member.incarnation)
            elif waited > ACK_TIMEOUT_S and not probe.relayed:
                self._probes[nonce] = probe._replace(relayed=True)
                sends.extend(self._ask_relays(nonce, probe.member))
        if len(self._relays) > 1000:
            self._relays.clear()
        return sends

    def _ask_relays(self, nonce: str, subject: data.Member) -> list[OutgoingMessage]:
        others = [
            member
            for member in self.get_live_members()
            if member.incarnation
            not in (subject.incarnation, self._own_record.incarnation)
        ]
        chosen = self._rng.sample(others, min(RELAYS, len(others)))
        message = data.PingRequest(nonce, self._own_record, subject)
        return [OutgoingMessage(member.address, message) for member in chosen]

    def _suspect(self, now: float, incarnation: str) -> None:
        member = self._members.get(incarnation)
        if member and member.state is data.MemberState.ALIVE:
            self._set_state(now, member, data.MemberState.SUSPECT)

    def _check_suspects(self, now: float) -> None:
        for incarnation, since in list(self._suspected.items()):
            if now - since < SUSPICION_S:
                continue
            del self._suspected[incarnation]
            member = self._members.get(incarnation)
            if member and member.state is data.MemberState.SUSPECT:
                self._set_state(now, member, data.MemberState.GONE)

    def _forget_old(self, now: float) -> None:
        for incarnation, ended in list(self._ended.items()):
            if now - ended > FORGET_S:
                del self._ended[incarnation]
                self._gossip.pop(incarnation, None)
                self._toggle_digest(self._members.pop(incarnation))

    def _set_state(
        self, now: float, member: data.Member, state: data.MemberState
    ) -> None:
        self._store(member._replace(state=state), now)

    def _merge(self, now: float, member: data.Member, is_news: bool = True) -> None:
        if member.incarnation == self._own_record.incarnation:
            self._refute(member)
            return
        known = self._members.get(member.incarnation)
        if known is None and member.state >= data.MemberState.GONE:
            return
        if known is None or _is_newer(member, known):
            self._store(member, now, is_news)

    def _refute(self, claim: data.Member) -> None:
        """Contradicts a record that calls this live node something else."""
        outdated = claim.beat > self._own_record.beat
        accused = (
            claim.beat == self._own_record.beat and claim.state > self._own_record.state
        )
        if outdated or accused:
            self._own_record = self._own_record._replace(beat=claim.beat)
            self.update_own_record()

    def _store(self, member: data.Member, now: float, is_news: bool = True) -> None:
        known = self._members.get(member.incarnation)
        if known:
            self._toggle_digest(known)
        self._toggle_digest(member)
        self._members[member.incarnation] = member
        if member.state >= data.MemberState.GONE:
            self._ended[member.incarnation] = now
        else:
            self._ended.pop(member.incarnation, None)
        if is_news:
            self._gossip[member.incarnation] = 0
        self._by_service = None
        if member.state is data.MemberState.SUSPECT:
            self._suspected.setdefault(member.incarnation, now)
        else:
            self._suspected.pop(member.incarnation, None)
        before = known.state if known else None
        if before is not member.state or known.accepting != member.accepting:
            self._transitions.append(Transition(member, before))

    def _pick_gossip(self, receiver: data.Member) -> tuple[data.Member, ...]:
        """Picks the news told least often; old news is dropped."""
        rounds = GOSSIP_ROUNDS_FACTOR * len(self._members).bit_length()
        told = self._gossip.__getitem__
        chosen = heapq.nsmallest(GOSSIP_PER_MESSAGE, self._gossip, key=told)
        picked = []
        known = self._members.get(receiver.incarnation)
        if known and known.state is not data.MemberState.ALIVE:
            # The accused must hear of it, so that it can contradict.
            picked.append(known)
        for incarnation in chosen:
            picked.append(self._members[incarnation])
            self._gossip[incarnation] += 1
            if self._gossip[incarnation] > rounds:
                del self._gossip[incarnation]
        return tuple(picked)


def _is_newer(member: data.Member, known: data.Member) -> bool:
    if known.state is data.MemberState.LEFT:
        return False
    if member.state is data.MemberState.LEFT:
        return True
    return (member.beat, member.state) > (known.beat, known.state)


def _get_bucket(member: data.Member) -> int:
    return zlib.crc32(member.incarnation.encode()) % DIGEST_BUCKETS


def _hash_member(member: data.Member) -> int:
    text = f"{member.incarnation} {member.beat} {int(member.state)}"
    return zlib.crc32(text.encode())
