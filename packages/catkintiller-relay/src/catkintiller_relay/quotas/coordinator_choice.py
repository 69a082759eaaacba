"""Selects the coordinator that a node follows, and keeps the node's lease to it.

A node follows the first reachable member in an order on which all nodes agree. It goes
on following a coordinator that most members follow while only one member precedes it,
so that a member that returns causes no change. While few members follow its own, it
also asks the first two members how many follow them.

A node that has granted its lease to one coordinator may ask another one for tokens at
once, but grants it no lease before the former one has expired by this node's clock.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from ..membership import frames
from . import coordinator

# A coordinator without a reply for this time is replaced; requests are more frequent.
SILENT_AFTER_S = 0.45
SILENCE_KEPT_S = 2.0  # time after which a silent member is tried again
MAX_REPLY_AGE_S = 1.0  # age up to which a count of followers is used
CANDIDATE_COUNT = 2  # as many members as every node is connected to


class Change(NamedTuple):
    """Change of the coordinator; empty addresses stand for none."""

    previous: str
    coordinator: str


class _Contact:
    """What a node knows about one candidate; times in seconds."""

    def __init__(self) -> None:
        self.clock_ms = 0
        self.follower_count = 0
        self.replied_at = float("-inf")
        self.sent_at = float("-inf")
        self.unanswered_since: float | None = None


class CoordinatorChoice:
    """The coordinator that this node follows.

    :param own_address: address of this node, which is always reachable.
    :ivar coordinator: address of the coordinator; empty before the first choice.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._contacts: dict[str, _Contact] = {}
        self._leased_to = ""
        self._leased_until = float("-inf")
        self._member_count = 0
        self._candidates: Sequence[str] = ()
        self.coordinator = ""

    @property
    def follower_count(self) -> int:
        """Number of followers that the coordinator last reported."""
        contact = self._contacts.get(self.coordinator)
        return 0 if contact is None else contact.follower_count

    def update(
        self, now: float, candidates: Sequence[str], member_count: int
    ) -> Change | None:
        """Chooses the coordinator and returns a change.

        :param now: time in seconds.
        :param candidates: addresses of connected members and of this node, in the order
            on which all nodes agree.
        :param member_count: number of members, this node included.
        """
        self._candidates = candidates
        self._member_count = member_count
        self._drop_contacts(now)
        chosen = self._choose(now)
        if chosen == self.coordinator:
            return None
        change = Change(self.coordinator, chosen)
        self.coordinator = chosen
        return change

    def get_probed(self, now: float) -> list[str]:
        """Returns further members to be asked how many nodes follow them."""
        if self._has_majority(self.coordinator, now):
            return []
        others = [each for each in self._candidates if each != self._own_address]
        return [each for each in others[:CANDIDATE_COUNT] if each != self.coordinator]

    def record_sent(self, address: str, now: float) -> None:
        """Records a message to a member."""
        contact = self._contacts.setdefault(address, _Contact())
        contact.sent_at = now
        if contact.unanswered_since is None:
            contact.unanswered_since = now

    def record_reply(self, address: str, reply: frames.QuotaReply, now: float) -> None:
        """Records a reply of a member."""
        contact = self._contacts.setdefault(address, _Contact())
        contact.clock_ms = reply.clock_ms
        contact.follower_count = reply.follower_count
        contact.replied_at = now
        contact.unanswered_since = None

    def grant_lease(self, now: float) -> int:
        """Extends the lease to the coordinator as far as it may be extended.

        :returns: the time to send back to it; 0 for no lease.
        """
        address = self.coordinator
        contact = self._contacts.get(address)
        if contact is None or now >= contact.replied_at + coordinator.LEASE_S:
            return 0
        if self._leased_to != address and now < self._leased_until:
            return 0
        self._leased_to = address
        self._leased_until = max(
            self._leased_until, contact.replied_at + coordinator.LEASE_S
        )
        return contact.clock_ms

    def _choose(self, now: float) -> str:
        # One more than the candidates, since this node may be among them.
        reachable = list(
            itertools.islice(
                (each for each in self._candidates if not self._is_silent(each, now)),
                CANDIDATE_COUNT + 1,
            )
        )
        # The own address may be missing only while there are no candidates at all.
        if not reachable:
            return self._own_address
        first = reachable[:CANDIDATE_COUNT]
        if self.coordinator in first and self._has_majority(self.coordinator, now):
            return self.coordinator
        others = [each for each in reachable if each != self._own_address]
        for address in others[:CANDIDATE_COUNT]:
            if self._has_majority(address, now):
                return address
        return reachable[0]

    def _has_majority(self, address: str, now: float) -> bool:
        contact = self._contacts.get(address)
        if contact is None or now - contact.replied_at > MAX_REPLY_AGE_S:
            return False
        return 2 * contact.follower_count > self._member_count

    def _is_silent(self, address: str, now: float) -> bool:
        if address == self._own_address:
            return False
        contact = self._contacts.get(address)
        if contact is None or contact.unanswered_since is None:
            return False
        return now - contact.unanswered_since > SILENT_AFTER_S

    def _drop_contacts(self, now: float) -> None:
        """Drops what is known about members that are not asked any more."""
        for address, contact in list(self._contacts.items()):
            last_at = max(contact.sent_at, contact.replied_at)
            if address != self.coordinator and now - last_at > SILENCE_KEPT_S:
                del self._contacts[address]
