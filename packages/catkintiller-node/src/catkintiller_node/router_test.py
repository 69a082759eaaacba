"""Tests that the router keeps attempts within the retry budget."""

import asyncio
import random

import pytest
from catkintiller import budget, data, errors, load_balancer, loader, membership

from . import attempts, decision_log, executor, metrics, router

SETTINGS = """\
[service/s]
repeatable = yes
[service/s/kind/k]
match = GET /
"""


class FakeSender(attempts.AttemptSender):
    """Refuses every attempt and records the targets.

    The refusals are used in order; the last one is repeated.
    """

    def __init__(self, refusal: data.Refusal, spent: int = 0) -> None:
        self.refusals = [refusal]
        self.spent = spent
        self.attempts: list[str] = []

    async def send(self, member, request, body) -> attempts.AttemptResult:
        self.attempts.append(member.incarnation)
        left = request.context.retries - self.spent
        last = len(self.refusals) - 1
        refusal = self.refusals[min(last, len(self.attempts) - 1)]
        response = data.CallResponse(
            request.call_id,
            member.incarnation,
            0,
            (),
            0,
            refusal,
            left,
            "",
            0,
            0,
            executor.IDLE_FEEDBACK,
        )
        return attempts.AttemptResult(response, b"")


def build_membership(count: int) -> membership.Membership:
    """Builds a membership with the given number of serving nodes."""
    me = data.Member("me", "me:1", "", "r", "z", "", "", data.MemberState(0), 0, False)
    others = [me] + [
        me._replace(incarnation=f"m{i}", address=f"m{i}:1", service="s", accepting=True)
        for i in range(count)
    ]
    node_membership = membership.Membership(me, [], random.Random(1))
    node_membership.handle_message(0.0, data.MembersPage(others[0], tuple(others)), 0)
    return node_membership


def run_call(
    refusal: data.Refusal,
    retries: int,
    spent: int = 0,
    key: str = "",
    nodes: int = 9,
    then: data.Refusal | None = None,
):
    """Runs one call whose attempts all fail.

    :returns: the targets of the attempts and the final refusal.
    """

    async def run():
        members = build_membership(nodes)
        settings = loader.build_tree(loader.parse_entries(SETTINGS, "text"))
        sender = FakeSender(refusal, spent)
        sender.refusals += [then] if then else []
        log = decision_log.DecisionLog(0)
        balancer = load_balancer.Balancer("z", random.Random(1))
        call_router = router.Router(members, balancer, sender, log, metrics.Metrics())
        kind = settings.get_kind("s", "k")._replace(repeatable=not key)
        context = router.build_context("t" * 32, 2, 0, 1000, retries)
        expires_at = router.time.monotonic() + 5
        call = router.IncomingCall(kind, "GET", "/", (), b"", key, context, expires_at)
        with pytest.raises(errors.CallRefused) as caught:
            await call_router.execute(call, settings, budget.RetryBudget(retries))
        return sender.attempts, caught.value.refusal

    return asyncio.run(run())


class TestAttempts:
    """Retries are charged to the budget; redispatches are bounded in number."""

    @pytest.mark.parametrize("retries", [0, 1, 2, 4])
    def test_unknown_outcomes_are_charged_to_the_budget(self, retries: int) -> None:
        lost = data.Refusal(data.Reason.CONNECTION_LOST, data.Ran.UNKNOWN)
        targets, _ = run_call(lost, retries)
        assert len(targets) == 1 + retries
        assert len(set(targets)) == len(targets)

    def test_budget_spent_by_downstream_calls_is_not_spent_again(self) -> None:
        lost = data.Refusal(data.Reason.CONNECTION_LOST, data.Ran.UNKNOWN)
        targets, _ = run_call(lost, 4, spent=3)
        assert len(targets) == 2

    def test_refusal_without_run_is_redispatched_a_bounded_number_of_times(
        self,
    ) -> None:
        leaving = data.Refusal(data.Reason.LEAVING, data.Ran.NO)
        targets, _ = run_call(leaving, 0)
        assert len(targets) == 1 + router.MAX_REDISPATCH_COUNT

    def test_overload_is_redispatched_to_one_other_node(self) -> None:
        full = data.Refusal(data.Reason.OVERLOADED, data.Ran.NO)
        assert len(run_call(full, 4)[0]) == 2

    def test_unrepeatable_call_is_not_retried(self) -> None:
        late = data.Refusal(data.Reason.DEADLINE, data.Ran.UNKNOWN)
        assert len(run_call(late, 4, key="k")[0]) == 1

    def test_ticket_is_sent_only_to_its_node(self) -> None:
        full = data.Refusal(data.Reason.QUEUE_TIMEOUT, data.Ran.NO)
        targets, refusal = run_call(full, 4, key="t1.m3.9999.abcd")
        assert (targets, refusal) == (["m3"], full)

    def test_not_run_is_reported_only_if_no_attempt_may_have_run(self) -> None:
        lost = data.Refusal(data.Reason.CONNECTION_LOST, data.Ran.UNKNOWN)
        full = data.Refusal(data.Reason.ENDPOINT_REFUSED, data.Ran.NO)
        targets, refusal = run_call(lost, 2, then=full)
        assert len(targets) > 1
        assert (refusal.reason, refusal.ran) == (full.reason, data.Ran.UNKNOWN)
        targets, refusal = run_call(lost, 2, nodes=1)
        assert (len(targets), refusal.ran) == (1, data.Ran.UNKNOWN)

    @pytest.mark.parametrize("key", ["", "order-1"])
    def test_outcome_of_keyed_call_without_endpoint_is_unknown(self, key: str) -> None:
        full = data.Refusal(data.Reason.OVERLOADED, data.Ran.NO)
        targets, refusal = run_call(full, 1, key=key, nodes=0)
        assert (targets, refusal.reason) == ([], data.Reason.NO_ENDPOINT)
        assert refusal.ran is (data.Ran.UNKNOWN if key else data.Ran.NO)
