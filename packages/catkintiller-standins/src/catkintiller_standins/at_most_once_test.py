"""At most once: real processes, with kills, pauses and a log that fails."""

import asyncio
import signal

from . import harness


class TestTicket:
    """A ticket names the one incarnation that may run it."""

    @harness.run_async
    async def test_repeat_gets_the_first_answer(self) -> None:
        async with harness.deployed() as running:
            ticket = await harness.draw_ticket(running.nodes[0])
            first = await harness.charge(running.nodes[0], ticket)
            again = await harness.charge(running.nodes[1], ticket)
            assert harness.is_whole_charge(first, ticket)
            assert again.body == first.body
            assert harness.count_runs(running, "pay", key=ticket) == 1

    @harness.run_async
    async def test_simultaneous_repeats_join(self) -> None:
        async with harness.deployed() as running:
            ticket = await harness.draw_ticket(running.nodes[0])
            calls = [harness.charge(node, ticket) for node in running.nodes]
            replies = await asyncio.gather(*calls)
            assert all(reply.is_whole for reply in replies)
            assert len({reply.body for reply in replies}) == 1
            assert harness.count_runs(running, "pay", key=ticket) == 1

    @harness.run_async
    async def test_other_body_is_refused(self) -> None:
        async with harness.deployed() as running:
            ticket = await harness.draw_ticket(running.nodes[0])
            await harness.charge(running.nodes[0], ticket, body=b"one")
            other = await harness.charge(running.nodes[0], ticket, body=b"two")
            assert (other.status, other.ran) == (422, "no")
            assert harness.count_runs(running, "pay", key=ticket) == 1

    @harness.run_async
    async def test_killed_node_leaves_the_outcome_unknown(self) -> None:
        async with harness.deployed() as running:
            await slow_payments(running)
            ticket = await harness.draw_ticket(running.nodes[0])
            owner = await harness.find_owner(running, ticket)
            others = [s for s in running.slots if s.name != owner.name]
            node = f"127.0.0.1:{others[0].node_port}"
            first = asyncio.ensure_future(harness.charge(node, ticket))
            await harness.wait_started(running, "pay")
            await running.kill(f"node {owner.name}")
            reply = await first
            assert (reply.is_whole, reply.ran) == (False, "unknown")
            await running.start_node(owner)
            for slot in others:
                again = await harness.charge(f"127.0.0.1:{slot.node_port}", ticket)
                assert (again.is_whole, again.ran) == (False, "unknown")
            assert harness.count_runs(running, "pay", key=ticket) == 1

    @harness.run_async
    async def test_paused_node_does_no_harm_when_it_wakes(self) -> None:
        async with harness.deployed() as running:
            ticket = await harness.draw_ticket(running.nodes[0])
            owner = await harness.find_owner(running, ticket)
            others = [s for s in running.slots if s.name != owner.name]
            running.signal(f"node {owner.name}", signal.SIGSTOP)
            node = f"127.0.0.1:{others[0].node_port}"
            first = await harness.charge(node, ticket, deadline_ms=300)
            assert first.ran == "unknown"
            await wait_gone(running, others[0], owner.name)
            again = await harness.charge(node, ticket)
            assert again.ran == "unknown"
            running.signal(f"node {owner.name}", signal.SIGCONT)
            await running.wait_ready()
            last = await harness.charge(node, ticket)
            assert last.is_whole or last.ran == "unknown"
            assert harness.count_runs(running, "pay", key=ticket) <= 1

    @harness.run_async
    async def test_leaving_node_hands_an_unused_ticket_over(self) -> None:
        async with harness.deployed() as running:
            ticket = await harness.draw_ticket(running.nodes[0])
            owner = await harness.find_owner(running, ticket)
            node = f"127.0.0.1:{owner.node_port}"
            await running.control(f"http://{node}/-/drain")
            replies = [await harness.charge(n, ticket) for n in running.nodes]
            assert harness.is_whole_charge(replies[0], ticket, replies[0].trace)
            assert len({reply.body for reply in replies}) == 1
            assert harness.count_runs(running, "pay", key=ticket) == 1

    @harness.run_async
    async def test_runs_while_the_log_is_down(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(mode="down")
            ticket = await harness.draw_ticket(running.nodes[0])
            reply = await harness.charge(running.nodes[3], ticket)
            assert harness.is_whole_charge(reply, ticket)


class TestPlainKey:
    """A plain key is bound by the first claim on the log."""

    @harness.run_async
    async def test_repeat_gets_the_first_answer(self) -> None:
        async with harness.deployed() as running:
            first = await harness.charge(running.nodes[0], "order-1")
            again = await harness.charge(running.nodes[4], "order-1")
            assert harness.is_whole_charge(first, "order-1")
            assert again.body == first.body
            assert harness.count_runs(running, "pay", key="order-1") == 1

    @harness.run_async
    async def test_missing_key_is_refused(self) -> None:
        async with harness.deployed() as running:
            reply = await harness.charge(running.nodes[0], "")
            assert (reply.status, reply.ran) == (400, "no")
            assert harness.count_runs(running, "pay") == 0

    @harness.run_async
    async def test_claim_outlives_the_node_that_ran_it(self) -> None:
        async with harness.deployed() as running:
            keys = [f"order-{index}" for index in range(12)]
            for key in keys:
                reply = await harness.charge(running.nodes[0], key)
                assert harness.is_whole_charge(reply, key)
            victim = running.get_slot("pay-1")
            await running.kill(f"node {victim.name}")
            node = running.nodes[0]
            await wait_gone(running, running.slots[0], victim.name)
            for key in keys:
                reply = await harness.charge(node, key)
                assert reply.is_whole or reply.ran == "unknown"
            runs = [harness.count_runs(running, "pay", key=key) for key in keys]
            assert runs == [1] * len(keys)

    @harness.run_async
    async def test_claimed_key_that_never_ran_is_handed_over(self) -> None:
        async with harness.deployed() as running:
            for name in ("pay-1", "pay-2", "pay-3"):
                await running.control_endpoint(name, refuse=1.0)
            first = await harness.charge(running.nodes[0], "order-1")
            assert (first.reason, first.ran) == ("endpoint-refused", "no")
            owner = await find_claimer(running)
            node = f"127.0.0.1:{owner.node_port}"
            await running.control(f"http://{node}/-/drain")
            for name in ("pay-1", "pay-2", "pay-3"):
                await running.control_endpoint(name, refuse=0.0)
            # Another node reads the claim, and learns of the successor there.
            replies = [await harness.charge(n, "order-1") for n in running.nodes]
            assert all(reply.is_whole for reply in replies), replies
            assert harness.count_runs(running, "pay", key="order-1") == 1

    @harness.run_async
    async def test_log_outage_refuses_without_running(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(mode="refusing")
            reply = await harness.charge(running.nodes[0], "order-1")
            assert (reply.ran, reply.reason) == ("unknown", "log-unavailable")
            assert harness.count_runs(running, "pay") == 0
            await running.control_log(mode="up")
            await wait_whole(running.nodes[0], "order-1")
            assert harness.count_runs(running, "pay", key="order-1") == 1

    @harness.run_async
    async def test_lost_append_answer_is_settled_by_reading(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(lost_answers=1.0)
            reply = await harness.charge(running.nodes[0], "order-1")
            assert harness.is_whole_charge(reply, "order-1")
            again = await harness.charge(running.nodes[5], "order-1")
            assert again.body == reply.body
            assert harness.count_runs(running, "pay", key="order-1") == 1


async def find_claimer(running):
    """Finds the VM whose node has claimed a key."""
    for slot in running.slots:
        if (await running.get_status(slot))["claim_appends"]:
            return slot
    raise AssertionError("nobody has claimed")


async def slow_payments(running) -> None:
    """Makes charges take longer than it takes to kill a process."""
    for name in ("pay-1", "pay-2", "pay-3"):
        await running.control_endpoint(name, slow=50.0)


async def wait_gone(running, observer, name: str) -> None:
    """Waits until a node holds another one for gone."""
    victim = f"127.0.0.1:{running.get_slot(name).node_port}"

    async def is_gone() -> bool:
        members = await running.get_members(observer)
        states = [m["state"] for m in members if m["http"] == victim]
        return all(state in ("gone", "left") for state in states)

    await harness.local_deployment.wait_until(is_gone, f"{name} is held for gone")


async def wait_whole(node: str, key: str) -> None:
    """Repeats a charge until its whole answer comes."""

    async def is_whole() -> bool:
        return (await harness.charge(node, key)).is_whole

    await harness.local_deployment.wait_until(is_whole, f"{key} is answered")
