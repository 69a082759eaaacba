"""Draws ticket keys from the node that will run them."""

import asyncio
import itertools
import random
import secrets

from catkintiller import data, errors, membership, tree

from . import keyed_executor, mesh

MAX_TICKET_COUNT = 100
MAX_SPREAD_COUNT = 4
ANSWER_TIMEOUT_S = 0.3


class TicketIssuer:
    """Draws tickets here or from another node.

    :param members: membership of the deployment.
    """

    def __init__(
        self,
        members: membership.Membership,
        transport: mesh.Mesh,
        keyed_server: keyed_executor.KeyedExecutor,
    ) -> None:
        self._members = members
        self._mesh = transport
        self._keyed = keyed_server
        self._pending: dict[str, asyncio.Future[tuple[str, ...]]] = {}

    async def issue_spread(
        self,
        members: list[data.Member],
        settings: tree.Tree,
        count: int,
        rng: random.Random,
    ) -> list[str]:
        """Draws tickets from several members, in turn one of each.

        A caller that uses its tickets one after the other so loads the members
        alike.

        :raises errors.CallRefused: if no member answers in time.
        """
        count = max(1, min(MAX_TICKET_COUNT, count))
        chosen = rng.sample(members, min(MAX_SPREAD_COUNT, len(members), count))
        each = -(-count // len(chosen))
        results = await asyncio.gather(
            *(self._draw(member, settings, each) for member in chosen),
            return_exceptions=True,
        )
        drawn = [result for result in results if isinstance(result, tuple)]
        if not any(drawn):
            raise errors.CallRefused(data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO))
        rounds = itertools.zip_longest(*drawn)
        tickets = [ticket for turn in rounds for ticket in turn if ticket]
        return tickets[:count]

    async def _draw(
        self, member: data.Member, settings: tree.Tree, count: int
    ) -> tuple[str, ...]:
        if member.incarnation == self._members.me.incarnation:
            retention = settings.get_kind(member.service, "").key_retention
            return tuple(self._keyed.issue_tickets(retention / 1000, count))
        call_id = secrets.token_hex(8)
        done = asyncio.get_running_loop().create_future()
        self._pending[call_id] = done
        me = self._members.me
        request = data.TicketRequest(call_id, member.incarnation, count, me.address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self._mesh.send(member.address, request)
                return await done
        except TimeoutError as error:
            raise errors.CallRefused(
                data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO)
            ) from error
        finally:
            del self._pending[call_id]

    def handle_request(
        self, request: data.TicketRequest, settings: tree.Tree | None
    ) -> None:
        """Draws tickets for another node."""
        me = self._members.me
        if request.target != me.incarnation or settings is None:
            return
        retention = settings.get_kind(me.service, "").key_retention
        count = max(1, min(MAX_TICKET_COUNT, request.count))
        # A leaving node gives none: it would be gone before they are used.
        count = count if me.accepting else 0
        tickets = tuple(self._keyed.issue_tickets(retention / 1000, count))
        answer = data.TicketAnswer(request.call_id, me.incarnation, tickets)
        self._mesh.send(request.reply_to, answer)

    def handle_answer(self, answer: data.TicketAnswer) -> None:
        """Hands tickets to whoever waits for them."""
        done = self._pending.get(answer.call_id)
        if done and not done.done():
            done.set_result(answer.tickets)
