"""Reads from the platform's store for commands."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from catkintiller import errors
from catkintiller_platform import adapter
from catkintiller_relay import data, interfaces

MAX_PORT = 65535

Result = TypeVar("Result")


def read_store(
    address: str, read: Callable[[interfaces.Store], Awaitable[Result]]
) -> Result:
    """Reads from the store and returns the result.

    :param address: ``IP:PORT`` of the store.
    :param read: calls the store.
    :raises errors.LogUnavailable: if the store does not return a valid response.
    :raises data.DecodeError: if the address is not valid.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise data.DecodeError(f"invalid address of the store: {address!r}")

    async def connect_and_read() -> Result:
        loop = asyncio.get_running_loop()
        platform = adapter.PlatformAdapter()
        return await read(platform.create_store(data.StoreSettings(address), loop))

    try:
        return asyncio.run(connect_and_read())
    except data.StoreError as error:
        raise errors.LogUnavailable(f"{address}: {error}") from error
