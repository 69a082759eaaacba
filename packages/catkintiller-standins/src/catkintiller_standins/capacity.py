"""Measures how a node's costs grow, and works out the letter's size from it.

Run with ``make capacity``. The pure logic is driven alone up to the full size;
real nodes run as many as fit. Prints Markdown tables.
"""

import asyncio
import gc
import os
import random
import statistics
import tempfile
import time
import tracemalloc
from typing import NamedTuple

import defopt
import uvloop
from catkintiller import data, fold, membership, tree, wire

from . import deployment_spec, local_deployment

MEMBER_SIZES = (1_000, 5_000, 25_000)
LEAF_SIZES = (1_000, 5_000, 25_000)
NODE_SIZES = (20, 60, 120)
PERIODS = 200
COMMITS = 50
IDLE_S = 10.0
PROPAGATIONS = 5
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class MemberCost(NamedTuple):
    """Cost of knowing so many members."""

    members: int
    megabytes: float
    cpu_ms_per_s: float
    sent_bytes_per_s: float


class TreeCost(NamedTuple):
    """Cost of a tree of so many leaves."""

    leaves: int
    megabytes: float
    fold_ms: float
    build_ms: float
    snapshot_kb: float
    commit_bytes: float
    recover_ms: float


class FleetCost(NamedTuple):
    """Cost of a node among so many real ones, without calls."""

    nodes: int
    rss_mb: float
    cpu_share: float
    sent_bytes_per_s: float
    median_s: float
    worst_s: float


class CallCost(NamedTuple):
    """Processor time of nodes at a rate of root requests."""

    rate: float
    node_calls_per_s: float
    cpu_ms_per_call: float


def make_member(index: int) -> data.Member:
    """Makes a member of a deployment of the letter's shape."""
    address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7001"
    return data.Member(
        f"{index:016x}",
        address,
        address,
        f"region-{index % 11}",
        f"zone-{index % 24}",
        f"service-{index % 650}",
        f"endpoint-{index}",
        data.MemberState.ALIVE,
        3,
        True,
    )


def measure_members(count: int) -> MemberCost:
    """Drives one membership table: a probe out and a probe in each period."""
    codec = wire.Codec(b"k" * 32)
    gc.collect()
    tracemalloc.start()
    own = membership.Membership(make_member(0), [], random.Random(1))
    peers = [make_member(index) for index in range(1, count)]
    own.handle_message(0.0, data.MembersPage(peers[0], tuple(peers)), 0)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    own.pop_transitions()
    own.get_accepting_members("service-1")
    sent = 0
    began = time.process_time()
    for period in range(PERIODS):
        now = period * membership.PROBE_PERIOD_S
        for send in own.tick(now, 1):
            frames = codec.encode(send.message)
            sent += sum(len(frame) for frame in frames)
            ping = send.message
            subject = next(p for p in (own.get(ping.target),) if p)
            ack = data.Ack(ping.nonce, subject, 1, own.digest, ping.gossip)
            own.handle_message(now, codec.decode(codec.encode(ack)).message, 1)
        incoming = data.Ping("n", peers[period % len(peers)], "", 1, own.digest, ())
        for send in own.handle_message(now, incoming, 1):
            sent += sum(len(frame) for frame in codec.encode(send.message))
    seconds = PERIODS * membership.PROBE_PERIOD_S
    spent_ms = (time.process_time() - began) * 1000
    return MemberCost(count, megabytes, spent_ms / seconds, sent / seconds)


def measure_tree(leaves: int) -> TreeCost:
    """Folds commits into a tree and builds what a node looks up."""
    rng = random.Random(1)
    gc.collect()
    tracemalloc.start()
    values = {}
    for index in range(leaves):
        path = f"service/service-{index % 650}/endpoint/endpoint-{index}"
        value = data.Value(str(10 + index % 90), f"{index:012x}")
        values[path] = {"slots": value, "queue_time": value._replace(text="20 ms")}
    versions = dict.fromkeys(values, 1)
    state = data.SettingsState(1, values, versions, ())
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    records = []
    paths = list(values)
    for number in range(COMMITS):
        path = rng.choice(paths)
        change = data.Change(path, "slots", str(rng.randint(1, 99)))
        base = {path: 1}
        commit = data.Commit(f"{number:012x}", "operator", "more", base, (change,))
        records.append(data.LogRecord(2 + number, fold.encode_commit(commit)))
    fold_ms = measure_ms(lambda: [fold.apply_record(state, records[0])])
    build_ms = measure_ms(lambda: tree.SettingsTree(state))
    snapshot = fold.encode_snapshot(state)
    stream = [data.LogRecord(2, snapshot)]
    stream += [data.LogRecord(3 + i, r.body) for i, r in enumerate(records)]
    recover_ms = measure_ms(lambda: fold.recover_state(fold.EMPTY, stream))
    commit_bytes = statistics.mean(len(record.body) for record in records)
    return TreeCost(
        leaves,
        megabytes,
        fold_ms,
        build_ms,
        len(snapshot) / 1024,
        commit_bytes,
        recover_ms,
    )


def measure_ms(action) -> float:
    """Measures the median processor time of an action in milliseconds."""
    spent = []
    for _ in range(7):
        began = time.process_time()
        action()
        spent.append((time.process_time() - began) * 1000)
    return statistics.median(spent)


async def measure_fleet(count: int, folder: str) -> FleetCost:
    """Runs real nodes without endpoints: idle costs and propagation."""
    zones = tuple(f"zone-{index}" for index in range(4))
    service = deployment_spec.ServiceShape("none", count, 1)
    form = deployment_spec.Shape("region-1", zones, (service,), ())
    running = local_deployment.Deployment(
        form, "examples/small/settings.ini", folder, 1
    )
    try:
        await running.start_log()
        for slot in running.slots:
            await running.start_node(slot)
        await running.wait_listening()
        await running.commit("examples/small/settings.ini")
        await wait_known(running, count)
        await asyncio.sleep(3.0)
        before = await read_costs(running)
        await asyncio.sleep(IDLE_S)
        after = await read_costs(running)
        delays = [await measure_commit(running, 2 + n) for n in range(PROPAGATIONS)]
    finally:
        await running.stop()
    cpu = [(a[0] - b[0]) / IDLE_S for a, b in zip(after, before, strict=True)]
    sent = [(a[1] - b[1]) / IDLE_S for a, b in zip(after, before, strict=True)]
    rss = statistics.median(cost[2] for cost in after)
    return FleetCost(
        count,
        rss,
        statistics.median(cpu),
        statistics.median(sent),
        statistics.median(delays),
        max(delays),
    )


async def wait_known(running: local_deployment.Deployment, count: int) -> None:
    """Waits until every node knows every other."""

    async def is_known() -> bool:
        statuses = [await running.get_status(slot) for slot in running.slots]
        return all(status["members"] == count for status in statuses)

    await local_deployment.wait_until(is_known, "every node knows the others", 90.0)


async def read_costs(
    running: local_deployment.Deployment,
) -> list[tuple[float, float, float]]:
    """Reads processor seconds, sent bytes and megabytes of each node."""
    costs = []
    for slot in running.slots:
        status = await running.get_status(slot)
        pid = running.get_pid(f"node {slot.name}")
        cpu, rss = read_process(pid)
        costs.append((cpu, status["sent_bytes"], rss))
    return costs


def read_process(pid: int) -> tuple[float, float]:
    """Reads processor seconds and resident megabytes of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stream:
        fields = stream.read().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return cpu, int(fields[21]) * PAGE_BYTES / 1e6


async def measure_commit(running: local_deployment.Deployment, offset: int) -> float:
    """Measures from an append to the log until every node runs it, in seconds."""
    change = data.Change("root", "retries", str(offset % 8))
    base = {"root": offset - 1}
    commit = data.Commit(f"p{offset}", "bench", "", base, (change,))
    began = time.monotonic()
    async with local_deployment.aiohttp.ClientSession() as http:
        url = f"{running.log_url}/streams/settings"
        async with http.post(url, data=fold.encode_commit(commit)) as response:
            response.raise_for_status()

    async def is_everywhere() -> bool:
        statuses = [running.get_status(slot) for slot in running.slots]
        found = await asyncio.gather(*statuses)
        return all(status["settings_offset"] >= offset for status in found)

    await local_deployment.wait_until(is_everywhere, f"offset {offset} everywhere")
    return time.monotonic() - began


async def measure_calls(factor: float, folder: str) -> CallCost:
    """Measures the nodes' processor time for each call that they serve."""
    form = deployment_spec.load_shape("examples/small/standins.ini")
    running = local_deployment.Deployment(
        form, "examples/small/settings.ini", folder, 1
    )
    try:
        await running.start()
        await asyncio.sleep(1.0)
        before = read_node_cpu(running)
        stages = (local_deployment.load.Stage("steady", 8.0, factor),)
        results = await running.run_load(stages)
        after = read_node_cpu(running)
        runs = sum(line["event"] == "start" for line in running.read_ledger())
    finally:
        await running.stop()
    spent_ms = (after - before) * 1000
    return CallCost(len(results) / 8.0, runs / 8.0, spent_ms / max(1, runs))


def read_node_cpu(running: local_deployment.Deployment) -> float:
    """Reads the processor seconds of all nodes together."""
    pids = [running.get_pid(f"node {slot.name}") for slot in running.slots]
    return sum(read_process(pid)[0] for pid in pids)


def print_table(title: str, rows: list[NamedTuple]) -> None:
    """Prints records as a Markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(name.replace("_", " ") for name in rows[0]._fields) + " |")
    print("|" + "---|" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(f"{cell:,.3g}" for cell in row) + " |", flush=True)


def compute_slope(rows: list[NamedTuple], column: str) -> tuple[float, float]:
    """Fits a straight line over the first column: slope and intercept."""
    sizes = [float(row[0]) for row in rows]
    line = statistics.linear_regression(sizes, [getattr(r, column) for r in rows])
    return line.slope, line.intercept


def run(*, quick: bool = False) -> None:
    """Measures every slope.

    :param quick: leave the largest fleet of real nodes out.
    """
    uvloop.install()
    print_table("Members", [measure_members(count) for count in MEMBER_SIZES])
    print_table("Settings", [measure_tree(count) for count in LEAF_SIZES])
    calls = []
    for factor in (1.0, 2.0, 4.0):
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            calls.append(asyncio.run(measure_calls(factor, folder)))
    print_table("Calls", calls)
    fleet = []
    for count in NODE_SIZES[: 2 if quick else 3]:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            fleet.append(asyncio.run(measure_fleet(count, folder)))
    print_table("Real nodes without calls", fleet)
    print("\n### Slopes, for each further node\n")
    for column in FleetCost._fields[1:]:
        slope, start = compute_slope(fleet, column)
        print(f"- {column.replace('_', ' ')}: {start:.4g} + {slope:.4g} a node")


if __name__ == "__main__":
    defopt.run(run)
