"""An endpoint, as a process of its own, whose answers have no end for a while.

Usage: endless_endpoint.py IP APP_PORT ADMIN_PORT SERVICE ZONE SLOTS BEGINS_AT ENDS_AT
RECORD STARTED_AT (times of the steady clock). The body then comes in small chunks until
the caller closes.
"""

import asyncio
import sys
import time

import stage as lab

WORK_S = 0.05
CHUNK_BYTES = 8
CHUNKS_PER_WRITE = 5000


class EndlessEndpoint(lab.Endpoint):
    """An endpoint that is in trouble between two times."""

    begins_at = ends_at = 0.0
    record = None

    async def _serve(self, reader, writer):
        try:
            while True:
                _, _, headers, _ = await lab.read_request(reader)
                request_id = headers.get("request-id", "")
                self.record.write(f"{request_id} runs at {self.instance}")
                head = (
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                    f"Response-Signature: s.{request_id}\r\n"
                ).encode()
                await asyncio.sleep(WORK_S)
                if self.begins_at <= time.monotonic() < self.ends_at:
                    writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
                    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
                    while True:
                        writer.write(chunk * CHUNKS_PER_WRITE)
                        await writer.drain()
                writer.write(head + b"Content-Length: 4\r\n\r\ndone")
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()


async def main():
    ip, app, admin, service, zone, slots, begins_at, ends_at, *rest = sys.argv[1:]
    machine = lab.Machine(None, 0, zone, service)
    machine.ip = ip
    machine.ports = {"app": int(app), "admin": int(admin)}
    endpoint = EndlessEndpoint(machine, int(slots), WORK_S, lambda _: b"done")
    endpoint.begins_at, endpoint.ends_at = float(begins_at), float(ends_at)
    endpoint.record = lab.Record(rest[0], float(rest[1]))
    await endpoint.start()
    await asyncio.Event().wait()


asyncio.run(main())
