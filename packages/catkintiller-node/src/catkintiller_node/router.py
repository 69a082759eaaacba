"""Routes calls from the node where they arrive to a node that serves them.

A call may take several attempts. An attempt that certainly did not run is
redispatched to another node a bounded number of times, at no charge. An attempt
that may have run is retried only if its kind is repeatable, and each retry is
charged to the retry budget of the root request.
"""

import secrets
import time
from typing import NamedTuple

from catkintiller import (
    budget,
    data,
    errors,
    keys,
    load_balancer,
    membership,
    rank,
    tree,
)

from . import attempts, decision_log, metrics

MAX_REDISPATCH_COUNT = 3
MAX_REDIRECT_COUNT = 2
RETRY_AFTER_MS = 1000

_REDISPATCH_REASONS = frozenset(
    (
        data.Reason.LEAVING,
        data.Reason.NO_ENDPOINT,
        data.Reason.CONNECTION_LOST,
        data.Reason.NO_SETTINGS,
    )
)
_OVERLOAD_REASONS = frozenset(
    (
        data.Reason.OVERLOADED,
        data.Reason.QUEUE_TIMEOUT,
        data.Reason.ENDPOINT_REFUSED,
    )
)


class IncomingCall(NamedTuple):
    """An incoming call with its settings and context resolved.

    ``expires_at`` is in seconds on the monotonic clock.
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
    """Routes the calls that arrive at one node.

    :param members: membership of the deployment.
    :param balancer: load and latency of the serving nodes, as seen from this node.
    :param sender: sends one attempt to a serving node, which may be this one.
    """

    def __init__(
        self,
        members: membership.Membership,
        balancer: load_balancer.Balancer,
        sender: attempts.AttemptSender,
        log: decision_log.DecisionLog,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._members = members
        self._balancer = balancer
        self._sender = sender
        self._log = log
        self._metrics = node_metrics
        self._retry_buckets: dict[str, budget.RetryTokenBucket] = {}

    async def execute(
        self,
        call: IncomingCall,
        settings: tree.SettingsTree,
        retry_budget: budget.RetryBudget,
    ) -> attempts.AttemptResult:
        """Executes a call and returns its complete response.

        :param settings: the settings in force.
        :param retry_budget: retries that this call may spend or pass on to the
            calls below it.
        :raises errors.CallRefused: if there is no complete response.
        """
        refusals: list[data.Refusal] = []
        try:
            return await self._attempt_until_answered(
                call, settings, retry_budget, refusals
            )
        except errors.CallRefused as error:
            ran = [error.refusal.ran, *(refusal.ran for refusal in refusals)]
            if all(outcome is data.Ran.NO for outcome in ran):
                raise
            # Reports "unknown" if the last attempt did not run, since an earlier
            # attempt may have run.
            last_ran = error.refusal.ran
            reported = data.Ran.UNKNOWN if last_ran is data.Ran.NO else last_ran
            raise errors.CallRefused(error.refusal._replace(ran=reported)) from error

    async def _attempt_until_answered(
        self,
        call: IncomingCall,
        settings: tree.SettingsTree,
        retry_budget: budget.RetryBudget,
        refusals: list[data.Refusal],
    ) -> attempts.AttemptResult:
        """Sends attempts until one is answered.

        :param refusals: list to which the refusal of each attempt is appended.
        """
        tried_incarnations: set[str] = set()
        redirects = 0
        owner_incarnation = handed_over_by = ""
        while True:
            member = self._choose_member(
                call, settings, tried_incarnations, owner_incarnation
            )
            result = await self._attempt(call, member, retry_budget, handed_over_by)
            refusal = result.response.refusal
            if refusal is None:
                self._get_retry_bucket(call).record_success(call.kind.retry_ratio)
                return result
            refusals.append(refusal)
            tried_incarnations.add(member.incarnation)
            if result.response.winner and redirects < MAX_REDIRECT_COUNT:
                # Another node owns the key, so this refusal does not show
                # whether the call ran.
                refusals.pop()
                redirects += 1
                owner_incarnation = result.response.winner
                handed_over_by = result.response.source
                continue
            pinned = bool(owner_incarnation) or is_ticket_key(call.key)
            if pinned or not self._may_try_again(
                call, refusal, retry_budget, len(tried_incarnations)
            ):
                raise errors.CallRefused(refusal)

    def _choose_member(
        self,
        call: IncomingCall,
        settings: tree.SettingsTree,
        tried_incarnations: set[str],
        owner_incarnation: str,
    ) -> data.Member:
        ticket = keys.parse_ticket(call.key) if call.key else None
        if ticket or owner_incarnation:
            return self._get_owner(owner_incarnation or ticket.incarnation)
        serving_members = self._members.get_accepting_members(call.kind.service)
        members = [
            m for m in serving_members if m.incarnation not in tried_incarnations
        ]
        if not members:
            raise self._build_refusal(call, data.Reason.NO_ENDPOINT)
        if call.key:
            member = load_balancer.choose_by_key(members, call.key)
        else:
            member = self._choose_balanced(call, settings, members)
        if call.kind.shedding != "chain" or call.key:
            # Calls with a key are not shed here: only the node that may run the
            # key can report whether it ran.
            return member
        if not self._is_admitted(call, member):
            member = min(members, key=lambda m: self._get_admission_level(call, m))
        if not self._is_admitted(call, member):
            raise self._build_shed_refusal(call, member)
        return member

    def _get_admission_level(self, call: IncomingCall, member: data.Member) -> int:
        now = time.monotonic()
        return self._balancer.get_level(now, member, call.kind.kind)

    def _is_admitted(self, call: IncomingCall, member: data.Member) -> bool:
        return call.context.rank >= self._get_admission_level(call, member)

    def _get_owner(self, incarnation: str) -> data.Member:
        """Returns the only node that may run a key.

        :raises errors.CallRefused: if the node is unknown or unresponsive.
        """
        member = self._members.get(incarnation)
        if member is None or member.state >= data.MemberState.GONE:
            raise errors.CallRefused(
                data.Refusal(
                    data.Reason.KEY_OUTCOME_LOST,
                    data.Ran.UNKNOWN,
                    "the node that owns this key is unresponsive or has left",
                    RETRY_AFTER_MS,
                )
            )
        return member

    def _choose_balanced(
        self,
        call: IncomingCall,
        settings: tree.SettingsTree,
        members: list[data.Member],
    ) -> data.Member:
        now = time.monotonic()
        own_record = self._members.own_record
        place = settings.get_place(own_record.region, own_record.zone)
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

    def _build_shed_refusal(
        self, call: IncomingCall, member: data.Member
    ) -> errors.CallRefused:
        """Builds the refusal of a call that would be refused at or below its service.

        Refusing it at the node of arrival saves the work on the way there.
        """
        self._log.write(
            time.monotonic(),
            "shed",
            "refused at arrival",
            trace=call.context.trace_id,
            service=call.kind.service,
            kind=call.kind.kind,
            rank=call.context.rank,
            level=self._get_admission_level(call, member),
        )
        return self._build_refusal(call, data.Reason.SHED_AT_ARRIVAL)

    async def _attempt(
        self,
        call: IncomingCall,
        member: data.Member,
        retry_budget: budget.RetryBudget,
        handed_over_by: str,
    ) -> attempts.AttemptResult:
        now = time.monotonic()
        if call.expires_at <= now:
            raise self._build_refusal(call, data.Reason.QUEUE_TIMEOUT)
        # One retry is kept for another attempt here; the rest goes to nested calls.
        kept_count = 1 if call.kind.repeatable else 0
        reserved_share = retry_budget.reserve_all_but(kept_count)
        request = data.CallRequest(
            secrets.token_hex(8),
            member.incarnation,
            call.kind.service,
            call.kind.kind,
            call.method,
            call.path,
            call.headers,
            call.context._replace(
                deadline_ms=int((call.expires_at - now) * 1000), retries=reserved_share
            ),
            call.key,
            handed_over_by,
            self._members.own_record.address,
        )
        self._balancer.record_sent(now, member.incarnation)
        result = None
        try:
            result = await self._sender.send(member, request, call.body)
        finally:
            self._record_result(call, member, result)
        retry_budget.refund(reserved_share, result.response.retries_left)
        return result

    def _record_result(
        self,
        call: IncomingCall,
        member: data.Member,
        result: attempts.AttemptResult | None,
    ) -> None:
        now = time.monotonic()
        if result is None:
            self._balancer.record_completion(now, member.incarnation, False)
            return
        response = result.response
        if response.source:
            self._balancer.record_response(
                now, member.incarnation, call.kind.kind, response.feedback
            )
        failed = is_node_failure(response)
        if self._balancer.record_completion(now, member.incarnation, failed):
            self._log.write(
                now,
                "eject",
                member.address,
                service=call.kind.service,
                incarnation=member.incarnation,
            )

    def _may_try_again(
        self,
        call: IncomingCall,
        refusal: data.Refusal,
        retry_budget: budget.RetryBudget,
        tries: int,
    ) -> bool:
        now = time.monotonic()
        if call.key:
            # The claims on the log prevent a second execution at another node.
            try_again = (
                refusal.reason in _REDISPATCH_REASONS and tries <= MAX_REDISPATCH_COUNT
            )
        elif refusal.ran is data.Ran.NO:
            max_tries = (
                MAX_REDISPATCH_COUNT if refusal.reason in _REDISPATCH_REASONS else 1
            )
            can_redispatch = (
                refusal.reason in _REDISPATCH_REASONS
                or refusal.reason in _OVERLOAD_REASONS
            )
            try_again = can_redispatch and tries <= max_tries
        else:
            try_again = self._charge_retry(call, refusal, retry_budget)
        self._log.write(
            now,
            "retry",
            "again" if try_again else "given up",
            trace=call.context.trace_id,
            service=call.kind.service,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            tries=tries,
            budget=retry_budget.remaining,
        )
        return try_again

    def _charge_retry(
        self,
        call: IncomingCall,
        refusal: data.Refusal,
        retry_budget: budget.RetryBudget,
    ) -> bool:
        """Charges a retry to the budget and returns whether it is allowed."""
        if not call.kind.repeatable:
            return False
        if refusal.reason is not data.Reason.CONNECTION_LOST:
            return False
        retry_bucket = self._get_retry_bucket(call)
        if not retry_bucket.has_token() or not retry_budget.spend():
            return False
        retry_bucket.spend()
        self._metrics.increment("retries", call.kind.service, call.kind.kind)
        return True

    def _get_retry_bucket(self, call: IncomingCall) -> budget.RetryTokenBucket:
        return self._retry_buckets.setdefault(
            call.kind.service, budget.RetryTokenBucket()
        )

    def _build_refusal(
        self, call: IncomingCall, reason: data.Reason
    ) -> errors.CallRefused:
        self._metrics.increment("refused", call.kind.service, reason.value)
        # An earlier call with the same key may have run.
        ran = data.Ran.UNKNOWN if call.key else data.Ran.NO
        return errors.CallRefused(data.Refusal(reason, ran, "", RETRY_AFTER_MS))


def is_ticket_key(key: str) -> bool:
    """Returns whether a key is a ticket, which names the only node that may run it."""
    return bool(key) and keys.parse_ticket(key) is not None


def is_node_failure(response: data.CallResponse) -> bool:
    """Returns whether a response counts as a failure of the node that sent it."""
    if response.refusal is None:
        return response.status >= 500
    return response.refusal.ran is not data.Ran.NO or response.refusal.reason in (
        data.Reason.NO_ENDPOINT,
        data.Reason.CONNECTION_LOST,
    )


def build_context(
    trace_id: str, priority: int, depth: int, deadline_ms: int, retries: int
) -> data.CallContext:
    """Builds the context of a call.

    :param deadline_ms: time until the deadline, in milliseconds.
    :param retries: retries that the call may spend.
    """
    call_rank = rank.compute_rank(priority, depth, trace_id)
    return data.CallContext(trace_id, call_rank, deadline_ms, retries, depth)
