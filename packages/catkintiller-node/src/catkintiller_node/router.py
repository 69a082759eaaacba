"""The arrival side: finds a serving node for a call and sees it through.

One call may take several attempts. An attempt that certainly did not run is
sent elsewhere a bounded number of times; one that may have run is repeated only
if its kind is repeatable, and each such repeat is paid from the chain's budget.
"""

import secrets
import time
from typing import NamedTuple

from catkintiller import (
    balance,
    budget,
    data,
    errors,
    keys,
    membership,
    rank,
    tree,
)

from . import attempts, decision_log, metrics

MAX_REDISPATCH_COUNT = 3
MAX_REDIRECT_COUNT = 2
RETRY_AFTER_MS = 1000

_ELSEWHERE = frozenset(
    (
        data.Reason.LEAVING,
        data.Reason.NO_ENDPOINT,
        data.Reason.CONNECTION_LOST,
        data.Reason.NO_SETTINGS,
    )
)
_FULL = frozenset(
    (
        data.Reason.OVERLOADED,
        data.Reason.QUEUE_TIMEOUT,
        data.Reason.ENDPOINT_REFUSED,
    )
)


class IncomingCall(NamedTuple):
    """A call as it arrived, with its settings and context resolved.

    ``expires`` is on the loop's clock.
    """

    kind: tree.KindSettings
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    context: data.CallContext
    expires_at: float


class Router:
    """Routes calls. One for each node.

    :param members: membership of the deployment.
    :param balancer: what this node knows of serving nodes.
    :param sender: carries one attempt to a serving node, or runs it here.
    """

    def __init__(
        self,
        members: membership.Membership,
        balancer: balance.Balancer,
        sender: attempts.AttemptSender,
        log: decision_log.DecisionLog,
        figures: metrics.Metrics,
    ) -> None:
        self._members = members
        self._balancer = balancer
        self._sender = sender
        self._log = log
        self._metrics = figures
        self._ratios: dict[str, budget.RetryRatio] = {}

    async def execute(
        self, call: IncomingCall, settings: tree.Tree, held: budget.ChainBudget
    ) -> attempts.AttemptResult:
        """Makes a call and returns its whole answer.

        :param held: the retries that this call may spend or pass on.
        :raises errors.CallRefused: if there is no whole answer.
        """
        refusals: list[data.Refusal] = []
        try:
            return await self._try_members(call, settings, held, refusals)
        except errors.CallRefused as error:
            ran = [error.refusal.ran, *(refusal.ran for refusal in refusals)]
            if all(one is data.Ran.NO for one in ran):
                raise
            # The last attempt did not run, but an earlier one may have.
            known = error.refusal.ran
            told = data.Ran.UNKNOWN if known is data.Ran.NO else known
            raise errors.CallRefused(error.refusal._replace(ran=told)) from error

    async def _try_members(
        self,
        call: IncomingCall,
        settings: tree.Tree,
        held: budget.ChainBudget,
        refusals: list[data.Refusal],
    ) -> attempts.AttemptResult:
        """Tries nodes until one answers; ``refusals`` collects their refusals."""
        tried: set[str] = set()
        redirects = 0
        named = handed_by = ""
        while True:
            member = self._choose(call, settings, tried, named)
            result = await self._attempt(call, member, held, handed_by)
            refusal = result.answer.refusal
            if refusal is None:
                self._get_ratio(call).record_success(call.kind.retry_ratio)
                return result
            refusals.append(refusal)
            tried.add(member.incarnation)
            if result.answer.winner and redirects < MAX_REDIRECT_COUNT:
                # The key's owner is elsewhere, so this attempt tells nothing.
                refusals.pop()
                redirects += 1
                named = result.answer.winner
                handed_by = result.answer.source
                continue
            bound = bool(named) or is_ticket_key(call.key)
            if bound or not self._may_repeat(call, refusal, held, len(tried)):
                raise errors.CallRefused(refusal)

    def _choose(
        self,
        call: IncomingCall,
        settings: tree.Tree,
        tried: set[str],
        named: str,
    ) -> data.Member:
        ticket = keys.parse_ticket(call.key) if call.key else None
        if ticket or named:
            return self._find_named(named or ticket.incarnation)
        serving = self._members.get_serving(call.kind.service)
        members = [m for m in serving if m.incarnation not in tried]
        if not members:
            raise self._refuse(call, data.Reason.NO_ENDPOINT)
        if call.key:
            member = balance.choose_by_key(members, call.key)
        else:
            member = self._balance(call, settings, members)
        if call.kind.shedding != "chain" or call.key:
            # Only the node that may run a key can tell whether it ran.
            return member
        if not self._is_admitted(call, member):
            member = min(members, key=lambda m: self._get_level(call, m))
        if not self._is_admitted(call, member):
            raise self._shed(call, member)
        return member

    def _get_level(self, call: IncomingCall, member: data.Member) -> int:
        now = time.monotonic()
        return self._balancer.get_level(now, member, call.kind.kind)

    def _is_admitted(self, call: IncomingCall, member: data.Member) -> bool:
        return call.context.rank >= self._get_level(call, member)

    def _find_named(self, incarnation: str) -> data.Member:
        """Finds the one node that may run a key."""
        member = self._members.get(incarnation)
        if member is None or member.state >= data.MemberState.GONE:
            raise errors.CallRefused(
                data.Refusal(
                    data.Reason.KEY_OUTCOME_LOST,
                    data.Ran.UNKNOWN,
                    "the node that may run this key does not answer",
                    RETRY_AFTER_MS,
                )
            )
        return member

    def _balance(
        self, call: IncomingCall, settings: tree.Tree, members: list[data.Member]
    ) -> data.Member:
        now = time.monotonic()
        me = self._members.me
        place = settings.get_place(me.region, me.zone)
        slow_start_s = settings.get_endpoint(call.kind.service, "-").slow_start
        candidate = self._balancer.choose(
            now, members, place.spill, place.ejected_share, slow_start_s / 1000
        )
        self._log.write(
            now,
            "route",
            candidate.member.address,
            trace=call.context.trace_id,
            service=call.kind.service,
            kind=call.kind.kind,
            candidates=len(members),
            outstanding=candidate.outstanding,
            in_flight=candidate.in_flight,
            limit=candidate.limit,
            latency_ms=round(candidate.latency_ms, 2),
            cost=round(candidate.cost, 3),
        )
        return candidate.member

    def _shed(self, call: IncomingCall, member: data.Member) -> errors.CallRefused:
        """Refuses a call here that the chain would refuse further down."""
        self._log.write(
            time.monotonic(),
            "shed",
            "refused at arrival",
            trace=call.context.trace_id,
            service=call.kind.service,
            kind=call.kind.kind,
            rank=call.context.rank,
            level=self._get_level(call, member),
        )
        return self._refuse(call, data.Reason.SHED_AT_ARRIVAL)

    async def _attempt(
        self,
        call: IncomingCall,
        member: data.Member,
        held: budget.ChainBudget,
        handed_by: str,
    ) -> attempts.AttemptResult:
        now = time.monotonic()
        if call.expires_at <= now:
            raise self._refuse(call, data.Reason.QUEUE_TIMEOUT)
        keep = 1 if call.kind.repeatable else 0
        share = held.lend_all_but(keep)
        request = data.CallRequest(
            secrets.token_hex(8),
            member.incarnation,
            call.kind.service,
            call.kind.kind,
            call.method,
            call.path,
            call.headers,
            call.context._replace(
                deadline_ms=int((call.expires_at - now) * 1000), retries=share
            ),
            call.key,
            handed_by,
            self._members.me.address,
        )
        self._balancer.record_sent(now, member.incarnation)
        result = None
        try:
            result = await self._sender.send(member, request, call.body)
        finally:
            self._record(call, member, result)
        held.take_back(share, result.answer.retries_left)
        return result

    def _record(
        self,
        call: IncomingCall,
        member: data.Member,
        result: attempts.AttemptResult | None,
    ) -> None:
        now = time.monotonic()
        if result is None:
            self._balancer.record_done(now, member.incarnation, False)
            return
        answer = result.answer
        if answer.source:
            self._balancer.record_answer(
                now, member.incarnation, call.kind.kind, answer.feedback
            )
        failed = is_node_failure(answer)
        if self._balancer.record_done(now, member.incarnation, failed):
            self._log.write(
                now,
                "eject",
                member.address,
                service=call.kind.service,
                incarnation=member.incarnation,
            )

    def _may_repeat(
        self,
        call: IncomingCall,
        refusal: data.Refusal,
        held: budget.ChainBudget,
        tries: int,
    ) -> bool:
        now = time.monotonic()
        if call.key:
            # The claims on the log keep another node from running it again.
            repeat = refusal.reason in _ELSEWHERE and tries <= MAX_REDISPATCH_COUNT
        elif refusal.ran is data.Ran.NO:
            limit = MAX_REDISPATCH_COUNT if refusal.reason in _ELSEWHERE else 1
            movable = refusal.reason in _ELSEWHERE or refusal.reason in _FULL
            repeat = movable and tries <= limit
        else:
            repeat = self._pay_retry(call, refusal, held)
        self._log.write(
            now,
            "retry",
            "again" if repeat else "given up",
            trace=call.context.trace_id,
            service=call.kind.service,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            tries=tries,
            budget=held.left,
        )
        return repeat

    def _pay_retry(
        self, call: IncomingCall, refusal: data.Refusal, held: budget.ChainBudget
    ) -> bool:
        if not call.kind.repeatable:
            return False
        if refusal.reason is not data.Reason.CONNECTION_LOST:
            return False
        ratio = self._get_ratio(call)
        if not ratio.has_token() or not held.spend():
            return False
        ratio.spend()
        self._metrics.increment("retries", call.kind.service, call.kind.kind)
        return True

    def _get_ratio(self, call: IncomingCall) -> budget.RetryRatio:
        return self._ratios.setdefault(call.kind.service, budget.RetryRatio())

    def _refuse(self, call: IncomingCall, reason: data.Reason) -> errors.CallRefused:
        self._metrics.increment("refused", call.kind.service, reason.value)
        # An earlier call under the same key may have run.
        ran = data.Ran.UNKNOWN if call.key else data.Ran.NO
        return errors.CallRefused(data.Refusal(reason, ran, "", RETRY_AFTER_MS))


def is_ticket_key(key: str) -> bool:
    """Tells whether a key names the one node that may run it."""
    return bool(key) and keys.parse_ticket(key) is not None


def is_node_failure(answer: data.CallAnswer) -> bool:
    """Tells whether an answer speaks against the node that gave it."""
    if answer.refusal is None:
        return answer.status >= 500
    return answer.refusal.ran is not data.Ran.NO or answer.refusal.reason in (
        data.Reason.NO_ENDPOINT,
        data.Reason.CONNECTION_LOST,
    )


def build_context(
    trace_id: str, priority: int, depth: int, deadline_ms: int, retries: int
) -> data.CallContext:
    """Makes the context of a call."""
    call_rank = rank.compute_rank(priority, depth, trace_id)
    return data.CallContext(trace_id, call_rank, deadline_ms, retries, depth)
