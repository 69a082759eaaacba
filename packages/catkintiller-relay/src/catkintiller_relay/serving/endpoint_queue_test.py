"""Tests of the queue of the local endpoint."""

from . import endpoint_queue


def build_queue(slots: int = 4) -> endpoint_queue.EndpointQueue:
    """Builds a queue for an endpoint with a service time of 30 ms."""
    queue = endpoint_queue.EndpointQueue()
    queue.set_slots(slots)
    return queue


def offer(
    queue: endpoint_queue.EndpointQueue,
    item: str,
    *,
    is_nested_call: bool = False,
    rank: int = 0,
    remaining_s: float = 1.0,
    target_latency_s: float = 0.5,
) -> tuple[bool, int | None]:
    """Offers a request at time 0."""
    return queue.offer(
        0.0,
        is_nested_call=is_nested_call,
        rank=rank,
        remaining_s=remaining_s,
        target_latency_s=target_latency_s,
        item=item,
    )


class TestConcurrency:
    """Slots limit the number of running requests."""

    def test_concurrency_limit_is_not_exceeded(self) -> None:
        queue = build_queue(4)
        started = [offer(queue, str(number))[0] for number in range(10)]
        assert sum(started) == queue.concurrency_limit <= 4

    def test_released_slot_goes_to_the_next_request(self) -> None:
        queue = build_queue(4)
        for number in range(6):
            offer(queue, str(number))
        queue.release_slot(0.03)
        runnable, expired = queue.pop_runnable(0.01)
        assert runnable == ["3"] and not expired
        assert queue.running_count == queue.concurrency_limit


class TestOrder:
    """Order in which queued requests run."""

    def test_rank_then_nested_calls_then_arrival(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        offer(queue, "root-low", rank=2)
        offer(queue, "root-high", rank=0)
        offer(queue, "call-low", rank=2, is_nested_call=True)
        offer(queue, "call-high", rank=0, is_nested_call=True)
        order = []
        for _ in range(4):
            queue.release_slot(0.03)
            order += queue.pop_runnable(0.01)[0]
        assert order == ["call-high", "root-high", "call-low", "root-low"]

    def test_request_does_not_wait_for_nested_calls_of_lower_importance(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        for number in range(40):
            offer(queue, f"call-{number}", rank=2, is_nested_call=True, remaining_s=5.0)
        _, queue_number = offer(
            queue, "root-high", rank=0, remaining_s=0.3, target_latency_s=0.2
        )
        assert queue_number is not None
        assert not offer(queue, "low", rank=2, remaining_s=0.3, target_latency_s=0.2)[0]

    def test_removed_request_is_skipped(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        _, queue_number = offer(queue, "removed")
        offer(queue, "next")
        queue.remove(queue_number)
        queue.release_slot(0.03)
        assert queue.pop_runnable(0.01)[0] == ["next"]
        assert queue.queued_count == 0


class TestWaitLimit:
    """The time in the queue is limited."""

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        assert offer(queue, "too-late", remaining_s=0.04) == (False, None)
        assert queue.pop_refused_count() == 1

    def test_queued_request_expires(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        offer(queue, "queued", remaining_s=0.3, target_latency_s=0.1)
        assert queue.pop_expired(0.01) == []
        assert queue.pop_expired(0.3) == ["queued"]
        assert queue.queued_count == 0

    def test_refusal_reaches_the_sender_before_the_deadline(self) -> None:
        queue = build_queue(2)
        offer(queue, "running")
        offer(queue, "queued", remaining_s=0.34, target_latency_s=2.0)
        tick_s, transit_s = 0.05, 0.005
        assert queue.pop_expired(0.34 - tick_s - transit_s) == ["queued"]

    def test_pop_all_returns_all_queued_requests(self) -> None:
        queue = build_queue(2)
        for name in ("running", "a", "b"):
            offer(queue, name)
        assert sorted(queue.pop_all()) == ["a", "b"]


class TestUtilization:
    """Utilization of the endpoint."""

    def test_arrivals_above_the_capacity(self) -> None:
        queue = build_queue(4)
        for _ in range(20):
            for number in range(12):
                offer(queue, str(number))
            queue.update_utilization(0.05)
        assert queue.utilization > 1.5

    def compute_utilization(self, service_time_s: float, queued_count: int) -> float:
        """Computes the utilization at 39 busy slots with queued requests.

        :param service_time_s: service time of the endpoint in seconds.
        :param queued_count: number of queued requests.
        """
        queue = build_queue(42)
        for _ in range(300):
            queue.offer(
                0.0,
                is_nested_call=False,
                rank=0,
                remaining_s=9.0,
                target_latency_s=9.0,
                item="warm-up",
            )
            queue.release_slot(service_time_s)
        for number in range(queue.concurrency_limit + queued_count):
            offer(queue, str(number), remaining_s=9.0, target_latency_s=9.0)
        queue.update_utilization(1.0)
        for _ in range(20):
            queue.update_utilization(0.05)
        return queue.utilization

    def test_short_wait_at_a_fast_endpoint_is_not_overload(self) -> None:
        assert self.compute_utilization(0.014, queued_count=10) < 1.1

    def test_long_wait_is_overload(self) -> None:
        assert self.compute_utilization(0.014, queued_count=60) > 1.2
        assert self.compute_utilization(0.110, queued_count=14) > 1.2

    def test_idle_queue_has_zero_utilization(self) -> None:
        queue = build_queue(4)
        queue.update_utilization(1.0)
        assert queue.utilization == 0.0


class TestIsFull:
    """Whether a request that may be handed over would wait."""

    def test_full_without_a_free_slot(self) -> None:
        """A request that may be handed over never waits beside free slots elsewhere."""
        queue = build_queue(4)
        for number in range(queue.concurrency_limit):
            assert not queue.is_full(0.0)
            offer(queue, str(number))
        assert queue.is_full(0.0)
        queue.release_slot(None)
        assert not queue.is_full(0.0)

    def test_full_without_a_token_of_the_rate_limit(self) -> None:
        queue = build_queue(4)
        queue.set_rate_limit(0.0, 1.0)
        assert queue.is_full(0.0)
        assert not queue.is_full(2.0)
