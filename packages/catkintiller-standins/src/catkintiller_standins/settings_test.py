"""Settings as a database: ordered, everywhere, never back, through outages."""

import asyncio
import os

from catkintiller import data
from catkintiller_operator import settings_log

from . import harness


class TestCommit:
    """A commit is in force at every node, or its author learns the truth."""

    @harness.run_async
    async def test_in_force_everywhere(self) -> None:
        async with harness.deployed() as running:
            await commit(running, "[root]\nretries = 1\n")
            await wait_offset(running, 2)

    @harness.run_async
    async def test_racing_operators(self) -> None:
        async with harness.deployed() as running:
            state = await asyncio.to_thread(settings_log.load_state, running.log_url)
            commits = [
                settings_log.build_commit(
                    state,
                    (data.Change("service/shop", "slots", str(number)),),
                    f"operator-{number}",
                    "race",
                )
                for number in range(10, 18)
            ]
            submitted = await asyncio.gather(
                *(
                    asyncio.to_thread(
                        settings_log.submit_commit, running.log_url, commit
                    )
                    for commit in commits
                )
            )
            kinds = [one.outcome.kind for one in submitted]
            assert kinds.count(data.OutcomeKind.ACCEPTED) == 1
            assert kinds.count(data.OutcomeKind.CONFLICT) == 7
            winner = submitted[kinds.index(data.OutcomeKind.ACCEPTED)].outcome
            for one in submitted:
                for item in one.outcome.conflicts:
                    assert item.path == "service/shop"
                    assert item.winner == winner.commit.commit_id
            await wait_offset(running, 9)
            shown = await operate(running, "settings", "show", "service/shop")
            assert f"slots = {winner.commit.changes[0].value}" in shown.text

    @harness.run_async
    async def test_lost_acknowledgement_is_read_back(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(lost_answers=1.0)
            assert await try_commit(running, "[root]\nretries = 1\n") == 0
            listed = await operate(running, "settings", "log")
            assert listed.text.count("accepted") == 2

    @harness.run_async
    async def test_bad_file_tells_every_problem(self) -> None:
        async with harness.deployed() as running:
            text = "[root]\nretries = many\nslotz = 3\n[elsewhere]\nslots = 1\n"
            found = await operate(running, "settings", "check", write(running, text))
            assert found.status == 2
            for part in (":2:", ":3:", ":5:", "retries", "slotz", "elsewhere"):
                assert part in found.text
            assert await try_commit(running, text) == 2

    @harness.run_async
    async def test_revert_restores_the_values(self) -> None:
        async with harness.deployed() as running:
            await commit(running, "[service/shop]\nslots = 5\n")
            listed = await operate(running, "settings", "log")
            commit_id = listed.text.splitlines()[-1].split()[1]
            found = await operate(running, "settings", "revert", commit_id)
            assert found.status == 0
            shown = await operate(running, "settings", "explain", "service/shop")
            slots = [ln for ln in shown.text.splitlines() if ln.startswith("slots")]
            assert slots[0].split()[1:3] == ["64", "default"]

    @harness.run_async
    async def test_foreign_record_breaks_nothing(self) -> None:
        async with harness.deployed() as running:
            url = f"{running.log_url}/streams/settings"
            await running.control(url, nonsense=True)
            await wait_offset(running, 2)
            for slot in running.slots:
                assert (await running.get_status(slot))["settings_skipped"] == 1
            assert (await harness.call(running.nodes[0], "shop/look")).is_whole


class TestOutage:
    """The log may be down for as long as it likes."""

    @harness.run_async
    async def test_node_starts_from_its_peers(self) -> None:
        async with harness.deployed() as running:
            await commit(running, "[root]\nretries = 1\n")
            await wait_offset(running, 2)
            await running.control_log(mode="down")
            slot = running.get_slot("shop-1")
            await running.kill(f"node {slot.name}")
            await running.start_node(slot)
            await wait_offset(running, 2)
            node = f"127.0.0.1:{slot.node_port}"
            assert (await harness.call(node, "shop/look")).is_whole

    @harness.run_async
    async def test_commit_is_refused_and_later_taken(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(mode="refusing")
            assert await try_commit(running, "[root]\nretries = 1\n") == 4
            await running.control_log(mode="up")
            await commit(running, "[root]\nretries = 1\n")
            await wait_offset(running, 2)

    @harness.run_async
    async def test_state_outlives_the_retention(self) -> None:
        async with harness.deployed() as running:
            await running.control_log(kept_records=4)
            for number in range(1, 13):
                await insist(running, f"[service/shop]\nslots = {number}\n")
            await insist(running, "[service/pay]\nslots = 7\n")
            shown = await operate(running, "settings", "show")
            assert "slots = 12" in shown.text
            assert "slots = 7" in shown.text
            assert "match = POST /charge" in shown.text


class TestNeverBack:
    """An older state never replaces a newer one."""

    @harness.run_async
    async def test_returning_zone_brings_nothing_back(self) -> None:
        async with harness.deployed(proxied=True) as running:
            await running.control_log(mode="down")
            for name in ("shop-1", "pay-1"):
                await harness.cut(running.proxies[name])
            await running.control_log(mode="up")
            watching = asyncio.ensure_future(watch_offsets(running, 6.0))
            await commit(running, "[root]\nretries = 1\n")
            await commit(running, "[root]\nretries = 0\n")
            await asyncio.sleep(2.0)
            for proxy in running.proxies.values():
                await harness.heal(proxy)
            await wait_offset(running, 3)
            for offsets in await watching:
                assert offsets == sorted(offsets)


class Operated(harness.NamedTuple):
    """Exit status and output of the operator's command."""

    status: int
    text: str


async def operate(running, *arguments: str) -> Operated:
    """Runs the operator's command line as a process."""
    environment = {
        **os.environ,
        "CATKINTILLER_LOG": running.log_url,
        "CATKINTILLER_NODE": running.nodes[0],
        "LOGNAME": "tester",
    }
    process = await asyncio.create_subprocess_exec(
        harness.local_deployment.sys.executable,
        "-m",
        "catkintiller_operator.main",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return Operated(process.returncode, output.decode())


def write(running, text: str) -> str:
    """Writes a settings file for the operator."""
    file = os.path.join(running.folder, f"change-{abs(hash(text))}.ini")
    with open(file, "w", encoding="utf-8") as stream:
        stream.write(text)
    return file


async def try_commit(running, text: str) -> int:
    """Commits a text and gets the exit status."""
    file = write(running, text)
    found = await operate(running, "settings", "commit", file, "--message", "test")
    return found.status


async def commit(running, text: str) -> None:
    """Commits a text, which must be accepted."""
    assert await try_commit(running, text) == 0


async def insist(running, text: str) -> None:
    """Commits a text again until it is accepted."""

    async def is_accepted() -> bool:
        return await try_commit(running, text) == 0

    await harness.local_deployment.wait_until(is_accepted, "the commit is accepted")


async def wait_offset(running, offset: int) -> None:
    """Waits until every node runs the settings at an offset."""

    async def is_there() -> bool:
        for slot in running.slots:
            if (await running.get_status(slot))["settings_offset"] < offset:
                return False
        return True

    await harness.local_deployment.wait_until(is_there, f"offset {offset} everywhere")


async def watch_offsets(running, seconds: float) -> list[list[int]]:
    """Records each node's settings offset over a while."""
    seen: list[list[int]] = [[] for _ in running.slots]
    for _ in range(int(seconds / 0.1)):
        for index, slot in enumerate(running.slots):
            seen[index].append((await running.get_status(slot))["settings_offset"])
        await asyncio.sleep(0.1)
    return seen
