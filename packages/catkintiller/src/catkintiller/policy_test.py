"""Tests of budgets, keys, limits, admission and balancing with simulated time."""

import random

from hypothesis import given
from hypothesis import strategies as st

from . import admission, budget, data, keys, limits, load_balancer, rank


class TestRetryBudget:
    """A call graph never spends more than the retry budget of the root request."""

    @given(st.integers(0, 6), st.randoms(use_true_random=False))
    def test_call_tree_never_spends_more_than_the_budget(
        self, retries: int, rng: random.Random
    ) -> None:
        spent = count_spent_in_call_tree(budget.RetryBudget(retries), rng, 13)
        assert spent <= retries

    @given(st.integers(0, 9), st.integers(-5, 50))
    def test_refund_is_at_most_the_reserved_share(
        self, left: int, returned: int
    ) -> None:
        parent = budget.RetryBudget(left)
        share = parent.reserve_share()
        parent.refund(share, returned)
        assert parent.remaining <= left


def count_spent_in_call_tree(
    parent: budget.RetryBudget, rng: random.Random, depth: int
) -> int:
    """Counts the retries that a random call tree with lost responses spends."""
    spent = 0
    for _ in range(rng.randint(0, 2) if depth else 0):
        share = parent.reserve_share()
        child = budget.RetryBudget(share)
        spent += count_spent_in_call_tree(child, rng, depth - 1)
        if rng.random() < 0.7:
            parent.refund(share, child.remaining)
    while rng.random() < 0.5 and parent.spend():
        spent += 1
    return spent


class TestRetryTokenBucket:
    """Retries are limited to a ratio of successful calls."""

    def test_retries_are_bounded_by_successes(self) -> None:
        ratio = budget.RetryTokenBucket()
        retries = 0
        for _ in range(1000):
            ratio.record_success(0.1)
            while ratio.has_token():
                ratio.spend()
                retries += 1
        assert retries <= 1000 * 0.1 + budget.MAX_RETRY_TOKENS


class TestTickets:
    """A redeemable ticket without an entry was never executed.

    This guards against a second execution after the retention setting changed.
    """

    @given(
        st.floats(1, 3600),
        st.lists(st.tuples(st.floats(0, 4000), st.floats(1, 3600)), max_size=20),
    )
    def test_entry_is_retained_until_the_ticket_expires(self, retention, steps) -> None:
        now = 100.0
        table = keys.KeyTable("me", now)
        key = table.issue_tickets(now, retention, 1)[0]
        table.add(now, key, b"", retention).state = keys.KeyState.FINISHED
        for elapsed, changed_retention in steps:
            now += elapsed
            table.remove_expired(now, changed_retention)
            if table.is_redeemable(now, keys.parse_ticket(key)):
                assert table.get(key) is not None

    def test_oldest_responses_are_dropped_and_their_entries_retained(self) -> None:
        table = keys.KeyTable("me", 0.0)
        half = keys.StoredResponse(200, (), b"x" * (keys.MAX_STORED_BYTES // 2))
        entries = [table.add(0.0, str(i), b"", 60.0) for i in range(3)]
        for entry in entries:
            table.store(entry, half)
        assert [entry.response for entry in entries] == [None, half, half]
        assert table.get("0") is entries[0]

    def test_ticket_of_another_incarnation_is_not_redeemable(self) -> None:
        key = keys.format_ticket("other", 10_000)
        table = keys.KeyTable("me", 0.0)
        assert not table.is_redeemable(1.0, keys.parse_ticket(key))

    @given(st.text(max_size=60))
    def test_any_text_is_a_ticket_or_a_plain_key(self, text: str) -> None:
        ticket = keys.parse_ticket(text)
        assert ticket is None or ticket.expires_ms >= 0


class TestClaims:
    """The first claim in offset order wins, also if records are repeated."""

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3)), max_size=30))
    def test_first_claim_wins(self, claims) -> None:
        table = keys.ClaimTable()
        first: dict[str, str] = {}
        for offset, (key, owner) in enumerate(claims, start=1):
            claim = data.Claim(str(key), b"", str(owner))
            table.apply(0.0, offset, (claim,))
            table.apply(0.0, offset, (claim._replace(incarnation="late"),))
            first.setdefault(str(key), str(owner))
        for key, owner in first.items():
            assert table.get_winner(key).incarnation == owner


class TestAdmission:
    """Decisions to run, queue or refuse requests."""

    def build_controller(
        self, slots: int = 2, queue_s: float = 0.1
    ) -> admission.AdmissionController:
        return admission.AdmissionController(
            limits.StaticLimiter(slots), slots, queue_s
        )

    def test_higher_class_runs_first(self) -> None:
        controller = self.build_controller(slots=1)
        notifications = []
        high, low = 4 * rank.RANKS_PER_CLASS, rank.RANKS_PER_CLASS
        controller.submit(0.0, low, 9.0, notifications.append)
        for order, call_rank in enumerate([low, high, low, high]):
            controller.submit(
                0.0, call_rank, 9.0, lambda r, o=order: notifications.append((o, r))
            )
        for _ in range(4):
            controller.finish(0.01, "k", 0.01, 0.01, False)
        assert [order for order, _ in notifications] == [1, 3, 0, 2]

    def test_waiting_time_is_bounded(self) -> None:
        controller = self.build_controller(slots=1)
        notifications = []
        controller.submit(0.0, 70, 9.0, notifications.append)
        controller.submit(0.0, 70, 9.0, notifications.append)
        controller.tick(0.2)
        assert notifications == [data.Reason.QUEUE_TIMEOUT]

    def test_level_sheds_low_classes_and_never_the_highest(self) -> None:
        controller = self.build_controller(slots=1)
        now, verdicts = 0.0, {}
        controller.submit(now, 4 * rank.RANKS_PER_CLASS, 99.0, lambda r: None)
        for step in range(200):
            now += 0.02
            for call_rank in (
                rank.RANKS_PER_CLASS + step % 16,
                4 * rank.RANKS_PER_CLASS,
            ):
                priority = rank.get_priority(call_rank)
                verdicts[priority] = controller.submit(
                    now, call_rank, 99.0, lambda r: None
                )
        assert verdicts[1] is admission.Verdict.REFUSE
        assert verdicts[4] is not admission.Verdict.REFUSE

    def test_level_returns_to_the_lowest_after_an_overload(self) -> None:
        controller = self.build_controller(slots=1)
        controller.submit(0.0, 300, 99.0, lambda r: None)
        for step in range(100):
            controller.submit(step * 0.02, 70 + step % 10, 99.0, lambda r: None)
        assert controller.level > rank.LOWEST
        controller.release(2.0)
        for step in range(40):
            controller.tick(2.1 + step * 0.05)
        assert controller.level == rank.LOWEST

    @given(st.lists(st.sampled_from("ofwcrt"), max_size=80), st.integers(1, 3))
    def test_slots_are_neither_exceeded_nor_leaked(self, steps, slots) -> None:
        controller = self.build_controller(slots)
        running, waiting = [], []
        now = 0.0
        for step in steps:
            now += 0.01
            if step in "of" and step == "o":
                self.submit(controller, now, running, waiting)
            elif step == "f" and running:
                running.pop()
                controller.finish(now, "k", 0.01, 0.01, False)
            elif step == "r" and running:
                running.pop()
                controller.release(now)
            elif step == "w" and waiting:
                controller.cancel(waiting.pop())
            elif step == "t":
                now += 0.2
                controller.tick(now)
            assert controller.in_flight == len(running) <= slots
            assert controller.waiting == len(waiting)

    @staticmethod
    def submit(controller, now: float, running: list, waiting: list) -> None:
        """Submits a request and tracks it in ``running`` and ``waiting``."""

        def notify(reason: data.Reason | None) -> None:
            waiting.remove(notify)
            if reason is None:
                running.append(notify)

        waiting.append(notify)
        verdict = controller.submit(now, 70, 99.0, notify)
        if verdict is admission.Verdict.WAIT:
            return
        waiting.remove(notify)
        if verdict is admission.Verdict.RUN:
            running.append(notify)


class TestAdaptiveLimiter:
    """The limit follows congestion, not the mix of kinds or other slowness."""

    def record_samples(
        self, limiter, seconds: float, compute_slowdown, now: float = 0.0
    ) -> float:
        rng = random.Random(3)
        for _ in range(int(seconds / 0.005)):
            now += 0.005
            kind, mean_s = rng.choice((("a", 0.01), ("b", 0.1)))
            work_s = mean_s * rng.uniform(0.7, 1.3) * compute_slowdown(limiter.limit)
            limiter.record(now, kind, work_s, False, limiter.limit)
        return now

    def test_limit_reaches_the_slots_with_mixed_kinds(self) -> None:
        limiter = limits.AdaptiveLimiter(40, "recovery")
        self.record_samples(limiter, 5.0, lambda limit: 1.0)
        assert limiter.limit == 40

    def test_limit_decreases_to_the_capacity_of_the_endpoint(self) -> None:
        limiter = limits.AdaptiveLimiter(40, "goodput")
        now = self.record_samples(limiter, 5.0, lambda limit: 1.0)
        # The capacity is 8 concurrent requests; more of them slow each other down.
        self.record_samples(limiter, 20.0, lambda limit: max(1.0, limit / 8), now)
        assert limiter.limit <= 20

    def test_limit_is_restored_if_latency_does_not_depend_on_it(self) -> None:
        limiter = limits.AdaptiveLimiter(40, "goodput")
        now = self.record_samples(limiter, 5.0, lambda limit: 1.0)
        self.record_samples(limiter, 4.0, lambda limit: 10.0, now)
        assert limiter.limit == 40


class TestBalancer:
    """The choice of the serving node."""

    def build_members(self, count: int) -> list[data.Member]:
        return [
            data.Member(str(i), f"a{i}", "", "r", f"z{i % 2}", "s", "", 0, 0, True)
            for i in range(count)
        ]

    def choose(self, balancer, now, members) -> str:
        return balancer.choose(now, members, 0.7, 0.34, 0.0).member.incarnation

    def test_failing_node_is_ejected_and_probed(self) -> None:
        balancer = load_balancer.Balancer("none", random.Random(1))
        members = self.build_members(3)
        for _ in range(load_balancer.EJECTION_FAILURE_COUNT):
            balancer.record_sent(0.0, "1")
            balancer.record_completion(0.0, "1", True)
        chosen = {self.choose(balancer, 0.1, members) for _ in range(50)}
        assert "1" not in chosen
        later = load_balancer.BASE_EJECTION_S + 0.2
        chosen = [self.choose(balancer, later, members) for _ in range(50)]
        assert chosen.count("1") == 1

    def test_at_most_the_ejected_share_is_ejected(self) -> None:
        balancer = load_balancer.Balancer("none", random.Random(1))
        members = self.build_members(3)
        for member in members:
            for _ in range(load_balancer.EJECTION_FAILURE_COUNT):
                balancer.record_completion(0.0, member.incarnation, True)
        assert self.choose(balancer, 0.1, members) in {"0", "1", "2"}

    def test_own_zone_is_preferred_until_it_spills(self) -> None:
        balancer = load_balancer.Balancer("z0", random.Random(1))
        members = self.build_members(4)
        chosen = {self.choose(balancer, 0.0, members) for _ in range(40)}
        assert chosen == {"0", "2"}
        for incarnation in ("0", "2"):
            for _ in range(load_balancer.DEFAULT_LIMIT):
                balancer.record_sent(0.0, incarnation)
        chosen = {self.choose(balancer, 0.0, members) for _ in range(40)}
        assert {"1", "3"} & chosen

    def test_repeats_of_a_key_choose_the_same_node(self) -> None:
        members = self.build_members(9)
        first = load_balancer.choose_by_key(members, "k")
        fewer = [m for m in members if m != members[0] or m == first]
        assert load_balancer.choose_by_key(list(reversed(fewer)), "k") == first
