"""Issues tickets: idempotency keys that name the node which is to run them."""

import asyncio
import itertools
import random
import secrets

from catkintiller import data, errors, membership, tree

from . import keyed_executor, mesh

MAX_TICKET_COUNT = 100
MAX_SPREAD_COUNT = 4
RESPONSE_TIMEOUT_S = 0.3


class TicketIssuer:
    """Issues tickets of this node and requests tickets of other nodes.

    :param members: membership of the deployment.
    """

    def __init__(
        self,
        members: membership.Membership,
        transport: mesh.Mesh,
        keyed: keyed_executor.KeyedExecutor,
    ) -> None:
        self._members = members
        self._mesh = transport
        self._keyed_executor = keyed
        self._pending: dict[str, asyncio.Future[tuple[str, ...]]] = {}

    async def issue_spread(
        self,
        members: list[data.Member],
        settings: tree.SettingsTree,
        count: int,
        rng: random.Random,
    ) -> list[str]:
        """Collects tickets from several members and interleaves them.

        A client that uses its tickets in order then spreads its load evenly over
        the members.

        :raises errors.CallRefused: if no member issues a ticket in time.
        """
        count = max(1, min(MAX_TICKET_COUNT, count))
        targets = rng.sample(members, min(MAX_SPREAD_COUNT, len(members), count))
        count_each = -(-count // len(targets))
        results = await asyncio.gather(
            *(self._issue_at(member, settings, count_each) for member in targets),
            return_exceptions=True,
        )
        batches = [result for result in results if isinstance(result, tuple)]
        if not any(batches):
            raise errors.CallRefused(data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO))
        rounds = itertools.zip_longest(*batches)
        tickets = [ticket for row in rounds for ticket in row if ticket]
        return tickets[:count]

    async def _issue_at(
        self, member: data.Member, settings: tree.SettingsTree, count: int
    ) -> tuple[str, ...]:
        if member.incarnation == self._members.own_record.incarnation:
            retention_ms = settings.get_kind(member.service, "").key_retention
            return tuple(self._keyed_executor.issue_tickets(retention_ms / 1000, count))
        call_id = secrets.token_hex(8)
        response_future = asyncio.get_running_loop().create_future()
        self._pending[call_id] = response_future
        own_record = self._members.own_record
        request = data.TicketRequest(
            call_id, member.incarnation, count, own_record.address
        )
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                self._mesh.send(member.address, request)
                return await response_future
        except TimeoutError as error:
            raise errors.CallRefused(
                data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO)
            ) from error
        finally:
            del self._pending[call_id]

    def handle_request(
        self, request: data.TicketRequest, settings: tree.SettingsTree | None
    ) -> None:
        """Issues tickets at the request of another node."""
        own_record = self._members.own_record
        if request.target != own_record.incarnation or settings is None:
            return
        retention_ms = settings.get_kind(own_record.service, "").key_retention
        count = max(1, min(MAX_TICKET_COUNT, request.count))
        # A draining node issues none: it would stop before they are used.
        count = count if own_record.accepting else 0
        tickets = tuple(self._keyed_executor.issue_tickets(retention_ms / 1000, count))
        response = data.TicketResponse(request.call_id, own_record.incarnation, tickets)
        self._mesh.send(request.reply_to, response)

    def handle_response(self, response: data.TicketResponse) -> None:
        """Completes the request that the tickets belong to, if it still waits."""
        response_future = self._pending.get(response.call_id)
        if response_future and not response_future.done():
            response_future.set_result(response.tickets)
