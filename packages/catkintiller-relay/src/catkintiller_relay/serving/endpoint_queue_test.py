"""Tests of the queue beside the endpoint."""

from . import endpoint_queue


def make_queue(slots: int = 4) -> endpoint_queue.EndpointQueue:
    """Makes a queue whose endpoint takes 30 ms for a request."""
    made = endpoint_queue.EndpointQueue()
    made.set_slots(slots)
    return made


def offer(
    own: endpoint_queue.EndpointQueue,
    item: str,
    *,
    is_nested_call: bool = False,
    rank: int = 0,
    remaining_s: float = 1.0,
    target_latency_s: float = 0.5,
) -> tuple[bool, int | None]:
    """Offers a request at time 0."""
    return own.offer(
        0.0,
        is_nested_call=is_nested_call,
        rank=rank,
        remaining_s=remaining_s,
        target_latency_s=target_latency_s,
        item=item,
    )


class TestSlots:
    """Slots of the endpoint."""

    def test_never_more_than_the_endpoint_runs(self) -> None:
        own = make_queue(4)
        ran = [offer(own, str(number))[0] for number in range(10)]
        assert sum(ran) == own.concurrency_limit <= 4

    def test_freed_slot_goes_to_the_next(self) -> None:
        own = make_queue(4)
        for number in range(6):
            offer(own, str(number))
        own.release_slot(0.03)
        ready, expired = own.pop_runnable(0.01)
        assert ready == ["3"] and not expired
        assert own.running_count == own.concurrency_limit


class TestOrder:
    """What goes first."""

    def test_rank_then_calls_then_arrival(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        offer(own, "fresh-late", rank=2)
        offer(own, "fresh", rank=0)
        offer(own, "call-low", rank=2, is_nested_call=True)
        offer(own, "call-high", rank=0, is_nested_call=True)
        order = []
        for _ in range(4):
            own.release_slot(0.03)
            order += own.pop_runnable(0.01)[0]
        assert order == ["call-high", "fresh", "call-low", "fresh-late"]

    def test_important_request_does_not_wait_for_less_important_calls(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        for number in range(40):
            offer(own, f"call-{number}", rank=2, is_nested_call=True, remaining_s=5.0)
        _, place = offer(own, "fresh", rank=0, remaining_s=0.3, target_latency_s=0.2)
        assert place is not None
        assert not offer(own, "late", rank=2, remaining_s=0.3, target_latency_s=0.2)[0]

    def test_withdrawn_is_passed_over(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        _, place = offer(own, "left")
        offer(own, "stays")
        own.remove(place)
        own.release_slot(0.03)
        assert own.pop_runnable(0.01)[0] == ["stays"]
        assert own.waiting_count == 0


class TestTime:
    """Waiting is bounded by time."""

    def test_refused_at_once_if_it_cannot_be_in_time(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        assert offer(own, "hopeless", remaining_s=0.04) == (False, None)
        assert own.pop_refused_count() == 1

    def test_expires_while_it_waits(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        offer(own, "waits", remaining_s=0.3, target_latency_s=0.1)
        assert own.pop_expired(0.01) == []
        assert own.pop_expired(0.3) == ["waits"]
        assert own.waiting_count == 0

    def test_says_so_before_its_sender_stops_waiting(self) -> None:
        own = make_queue(2)
        offer(own, "runs")
        offer(own, "waits", remaining_s=0.34, target_latency_s=2.0)
        tick_s, way_s = 0.05, 0.005
        assert own.pop_expired(0.34 - tick_s - way_s) == ["waits"]

    def test_leaving_endpoint_gives_all_back(self) -> None:
        own = make_queue(2)
        for name in ("runs", "a", "b"):
            offer(own, name)
        assert sorted(own.pop_all()) == ["a", "b"]


class TestUse:
    """Use of the endpoint."""

    def test_arrivals_above_the_capacity_show(self) -> None:
        own = make_queue(4)
        for _ in range(20):
            for number in range(12):
                offer(own, str(number))
            own.update_utilization(0.05)
        assert own.utilization > 1.5

    def fill(self, service_s: float, waiting: int) -> float:
        """Gives the use of 40 slots that all run while some requests wait."""
        own = make_queue(42)
        for _ in range(300):
            own.offer(
                0.0,
                is_nested_call=False,
                rank=0,
                remaining_s=9.0,
                target_latency_s=9.0,
                item="warm-up",
            )
            own.release_slot(service_s)
        for number in range(own.concurrency_limit + waiting):
            offer(own, str(number), remaining_s=9.0, target_latency_s=9.0)
        own.update_utilization(1.0)
        for _ in range(20):
            own.update_utilization(0.05)
        return own.utilization

    def test_short_wait_at_a_fast_endpoint_is_no_overload(self) -> None:
        assert self.fill(0.014, waiting=10) < 1.1

    def test_long_wait_is(self) -> None:
        assert self.fill(0.014, waiting=60) > 1.2
        assert self.fill(0.110, waiting=14) > 1.2

    def test_idle_queue_has_no_use(self) -> None:
        own = make_queue(4)
        own.update_utilization(1.0)
        assert own.utilization == 0.0
