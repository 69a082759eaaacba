"""Minimal HTTP/1.1 reading and writing over asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response: first line, headers with lower-case names, body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a Content-Length; None if the connection ends before it.

    :raises asyncio.IncompleteReadError: if the connection ends within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first_line, headers, body)


def build_message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Builds a message with a Content-Length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
