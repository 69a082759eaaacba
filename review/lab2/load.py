"""Clients and the platform's memory limit, for the scripts about memory."""

import asyncio
import socket
import time

import stage as lab

PAY_LIMIT_MS = 3_000
MEMORY_CHECK_S = 0.05
RESTART_AFTER_S = 1.0


class PayClient:
    """Sends unsafe requests, one after another, on a kept connection.

    ``cut`` holds those whose connection was closed without an answer after it had
    carried other requests.
    """

    def __init__(self, machine, number):
        self.machine = machine
        self.name = f"p{machine.ip.rpartition('.')[2]}-{number}"
        self.answers = {}
        self.cut = []
        self._count = 0

    async def run(self, ends_at):
        while time.monotonic() < ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    self.machine.ip, self.machine.ports["outbound"]
                )
            except OSError:
                await asyncio.sleep(0.3)
                continue
            await self._use(reader, writer, ends_at)
            writer.transport.abort()
            await asyncio.sleep(0.1)

    async def _use(self, reader, writer, ends_at):
        carried = 0
        while time.monotonic() < ends_at:
            self._count += 1
            request_id = f"{self.name}-{self._count}"
            writer.write(
                f"POST /pay/{self._count} HTTP/1.1\r\nHost: a.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {PAY_LIMIT_MS}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            try:
                async with asyncio.timeout(PAY_LIMIT_MS / 1000):
                    first, headers = await lab.read_head(reader)
                    await reader.readexactly(int(headers["content-length"]))
            except TimeoutError:
                self.answers[request_id] = "time limit"
                return
            except (OSError, asyncio.IncompleteReadError):
                self.answers[request_id] = "connection closed"
                if carried:
                    self.cut.append(request_id)
                return
            self.answers[request_id] = int(first.split(" ")[1])
            carried += 1
            if headers.get("connection") == "close":
                return
            await asyncio.sleep(0.02)


async def download(machine, number, size, limit_ms, results, read_bytes=262_144,
                   interval_s=0.0):
    """Downloads a file of ``size`` bytes, read at most ``read_bytes`` an interval."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, lab.ETHERNET_MSS)
    if interval_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    loop = asyncio.get_running_loop()
    received = 0
    status = "connection closed"
    try:
        async with asyncio.timeout(limit_ms / 1000):
            await loop.sock_connect(sock, (machine.ip, machine.ports["outbound"]))
            head = (
                f"GET /file/{number} HTTP/1.1\r\nHost: a.example\r\n"
                f"Request-Id: d{number}\r\nDeadline-Ms: {limit_ms}\r\n\r\n"
            )
            await loop.sock_sendall(sock, head.encode())
            while received < size:
                part = await loop.sock_recv(sock, read_bytes)
                if not part:
                    break
                if not received:
                    status = part.split(b" ", 2)[1].decode()
                    if status != "200":
                        break
                received += len(part)
                if interval_s:
                    await asyncio.sleep(interval_s)
            else:
                status = "whole"
    except TimeoutError:
        status = "time limit"
    except OSError:
        status = "connection closed"
    finally:
        sock.close()
    results.append((number, status, received))


class Platform:
    """Kills a process that exceeds its memory, and starts ended ones again."""

    def __init__(self, stage):
        self.stage = stage
        self.peak_mb = {machine.name: 0.0 for machine in stage.machines}
        self.ends = {machine.name: 0 for machine in stage.machines}

    async def run(self):
        while True:
            for machine in self.stage.machines:
                used_mb = machine.read_memory_mb()
                self.peak_mb[machine.name] = max(self.peak_mb[machine.name], used_mb)
                if used_mb > lab.MEMORY_MB:
                    self.stage.record.write(
                        f"{machine.name} holds {used_mb:.0f} MB of {lab.MEMORY_MB} MB"
                    )
                    machine.process.kill()
                    machine.process.wait()
                if machine.process.poll() is None:
                    continue
                self.ends[machine.name] += 1
                self.stage.record.write(f"{machine.name} has ended")
                await asyncio.sleep(RESTART_AFTER_S)
                machine.start_node()
            await asyncio.sleep(MEMORY_CHECK_S)


def find_lost(stage, platform, clients, downloads):
    """Returns the unsafe requests that ran and whose kept connection was closed."""
    record = stage.record
    runs = {}
    for machine in stage.machines:
        runs.update(machine.endpoint.runs)
    lost = []
    for client in clients:
        for request_id, answer in client.answers.items():
            record.write(f"{request_id} {answer} ran={request_id in runs}")
        lost += [each for each in client.cut if each in runs]
    for number, status, received in sorted(downloads):
        record.write(f"d{number} {status} {received} bytes")
    for name, peak_mb in platform.peak_mb.items():
        record.say(f"{name}: {platform.ends[name]} ends, peak {peak_mb:.0f} MB")
    statuses = [status for _, status, _ in downloads]
    record.say(f"downloads: { {each: statuses.count(each) for each in set(statuses)} }")
    answers = [each for client in clients for each in client.answers.values()]
    record.say(f"payments: { {each: answers.count(each) for each in set(answers)} }")
    record.say(f"payments that ran and whose kept connection was closed: {len(lost)}")
    return lost
