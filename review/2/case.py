"""Endpoints send bodies without end in small chunks; nodes exceed their memory."""

import asyncio
import os
import pathlib
import random
import select
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import endpoint, http, platform, record, store  # noqa: E402

HOST = "hulo84.example"
SERVICE = "report-desk"
PATH = "/leny950/"
NODE_IPS = tuple(f"127.0.0.{number}" for number in range(161, 165))
DEADLINE_S = 6.0
REQUESTS_PER_S = 25.0  # at each node
FAULTY_ENDPOINTS = 2  # of 4: share 0.5
ENDLESS_SHARE = 0.05  # of their answers
FAULTY_S = 5.0
PAUSE_S = 1.0
CHUNKS = b"4\r\nabcd\r\n" * 8192
MEMORY_MB = 300
RESTART_DELAY_S = 1.0
LOAD_S = 90.0
ENDS_FOR_FAULT = 3
NODES_FOR_FAULT = 2
SEED = 23


class EndlessEndpoint(endpoint.Endpoint):
    """An endpoint, some of whose answers have no end.

    :ivar is_faulty: whether it sends such answers.
    """

    is_faulty = False
    endless_count = 0

    def prepare(self, rng: random.Random) -> None:
        """Sets what the parent class does not know."""
        self._rng = rng

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read_message(reader)) is not None:
                if self.is_faulty and self._rng.random() < ENDLESS_SHARE:
                    self.endless_count += 1
                    await self._answer_endlessly(request, writer)
                    return
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_endlessly(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Sends a body without end until the caller closes the connection."""
        request_id = request.headers.get("request-id", "")
        self.log.write(f"{self.instance} answers {request_id} without end")
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {request_id}.s\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        await writer.drain()
        number = os.dup(writer.get_extra_info("socket").fileno())
        await asyncio.get_running_loop().run_in_executor(None, send_endlessly, number)


def send_endlessly(number: int) -> None:
    """Sends chunks on a socket until the caller closes the connection.

    :param number: file descriptor of the socket.
    """
    with socket.socket(fileno=number) as sock:
        # The descriptor shares its mode with the one of the event loop.
        position = 0
        try:
            while True:
                select.select((), (sock,), ())
                try:
                    position += sock.send(CHUNKS[position:])
                except BlockingIOError:
                    continue
                position %= len(CHUNKS)
        except OSError:
            return


class Clients:
    """Clients on the machine of a node; each request has a connection of its own."""

    def __init__(self, node: platform.Node, log: record.Record) -> None:
        self._node = node
        self._log = log
        self._count = 0
        self.endings: dict[str, int] = {}

    async def run(self) -> None:
        """Sends requests while the node is ready, until cancelled."""
        tasks = set()
        while True:
            if not await self._node.is_ready():
                await asyncio.sleep(0.5)
                continue
            for _ in range(int(REQUESTS_PER_S)):
                task = asyncio.ensure_future(self._request())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _request(self) -> None:
        self._count += 1
        node_number = int(self._node.ip.rpartition(".")[2])
        request_id = f"{node_number:04x}{self._count:012x}"
        self._log.write(f"sent {request_id}")
        result = "connection ended"
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    self._node.ip, self._node.ports.outbound
                )
                try:
                    headers = {
                        "Host": HOST,
                        "Request-Id": request_id,
                        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    }
                    line = f"GET {PATH}{self._count:x} HTTP/1.1"
                    writer.write(http.build_message(line, headers))
                    answer = await http.read_message(reader)
                    if answer is not None:
                        result = str(answer.status)
                finally:
                    writer.transport.abort()
        except TimeoutError:
            result = "no answer within the time limit"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.endings[result] = self.endings.get(result, 0) + 1
        self._log.write(f"got {request_id}: {result}")


async def limit_memory(node: platform.Node, log: record.Record) -> None:
    """Ends a process that exceeds its memory, and starts it again, as the platform."""
    while True:
        await asyncio.sleep(0.02)
        used_kb = node.read_memory_kb()
        node.peak_kb = max(node.peak_kb, used_kb)
        has_ended = node.process.poll() is not None
        if used_kb > node.memory_mb * 1024 or has_ended:
            node.ended_count += 1
            why = "by itself" if has_ended else f"at {used_kb // 1024} MB"
            log.write(f"node {node.ip} ended {why}, limit {node.memory_mb} MB")
            node.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            node.start()


async def work(request: http.Message) -> bytes:
    """Makes the answer to a request."""
    await asyncio.sleep(0.16)
    return b"x" * 1500


async def disturb(servers: list[EndlessEndpoint], *, has_trouble: bool) -> None:
    """Lets endpoints be faulty again and again, for some seconds each time."""
    while True:
        for server in servers:
            server.is_faulty = has_trouble
        await asyncio.sleep(FAULTY_S)
        for server in servers:
            server.is_faulty = False
        await asyncio.sleep(PAUSE_S)


def is_fault(nodes: list[platform.Node]) -> bool:
    """Returns whether processes ended by themselves as often as the rule says."""
    failing = [node for node in nodes if node.ended_count >= ENDS_FOR_FAULT]
    return len(failing) >= NODES_FOR_FAULT


async def play(folder: str, log: record.Record, has_trouble: bool) -> int:
    """Plays the case."""
    rng = random.Random(SEED)
    ports = platform.find_ports([platform.STORE_IP, *NODE_IPS])
    log_store = store.Store()
    rule = platform.build_rule(
        "r-lookup", "safe", PATH, SERVICE, timeout="6000ms", latency="1500ms"
    )
    log_store.put("keyed.op", "config", platform.build_config(7, HOST, [rule]))
    await log_store.start(platform.STORE_IP, ports.store)
    nodes = [
        platform.Node(folder, ip, "lockside-a", SERVICE, ports, log, MEMORY_MB)
        for ip in NODE_IPS
    ]
    servers: list[EndlessEndpoint] = []
    tasks = []
    try:
        for number, node in enumerate(nodes):
            node.start()
            server = EndlessEndpoint(
                node.ip,
                ports.app,
                SERVICE,
                node.zone,
                f"i-7f3a91c{number}",
                76,
                log,
                work,
            )
            server.prepare(rng)
            servers.append(server)
            await server.start(ports.admin, platform.HEARTBEAT_S)
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(3.0)
        log.write("all nodes are ready; clients begin")
        clients = [Clients(node, log) for node in nodes]
        tasks = [asyncio.ensure_future(limit_memory(node, log)) for node in nodes]
        tasks += [asyncio.ensure_future(each.run()) for each in clients]
        await asyncio.sleep(2.0)
        tasks.append(
            asyncio.ensure_future(
                disturb(servers[:FAULTY_ENDPOINTS], has_trouble=has_trouble)
            )
        )
        ends_at = log.now() + LOAD_S
        while log.now() < ends_at and not is_fault(nodes):
            await asyncio.sleep(0.2)
        for node, group, server in zip(nodes, clients, servers, strict=True):
            log.write(
                f"node {node.ip}: ended {node.ended_count} times, peak "
                f"{node.peak_kb // 1024} MB, endless answers {server.endless_count}, "
                f"answers {group.endings}"
            )
    finally:
        for task in tasks:
            task.cancel()
        for node in nodes:
            node.kill()
    is_broken = is_fault(nodes)
    log.write(f"Fault is {'broken' if is_broken else 'kept'}")
    return 1 if is_broken else 0


if __name__ == "__main__":
    platform.run_case(str(FOLDER), play)
