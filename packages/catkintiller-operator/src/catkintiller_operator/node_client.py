"""Asks nodes over HTTP."""

import asyncio

import aiohttp
from catkintiller import errors

REQUEST_TIMEOUT_S = 3.0


def get_json(address: str, path: str) -> dict:
    """Gets a JSON document of one node.

    :raises errors.NodeUnreachable: if the node does not answer.
    """
    return asyncio.run(_request_all("GET", [address], path))[0]


def get_json_from_all(addresses: list[str], path: str) -> list[dict | None]:
    """Gets a JSON document of each node, ``None`` for those that do not answer."""
    return asyncio.run(_request_all("GET", addresses, path, tolerant=True))


def post(address: str, path: str) -> dict:
    """Posts to a node.

    :raises errors.NodeUnreachable: if the node does not answer.
    """
    return asyncio.run(_request_all("POST", [address], path))[0]


async def _request_all(
    method: str, addresses: list[str], path: str, tolerant: bool = False
) -> list[dict | None]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        requests = [
            _request(http, method, address, path, tolerant) for address in addresses
        ]
        return await asyncio.gather(*requests)


async def _request(
    http: aiohttp.ClientSession, method: str, address: str, path: str, tolerant: bool
) -> dict | None:
    try:
        async with http.request(method, f"http://{address}{path}") as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        if tolerant:
            return None
        raise errors.NodeUnreachable(f"{address}: {error}") from error
