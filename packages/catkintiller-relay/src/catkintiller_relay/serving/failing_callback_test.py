"""Tests of the HTTP client when the handler of a result raises an exception."""

import asyncio

from . import endpoint_exchange, endpoint_pool
from .endpoint_client_test import (
    HEADERS,
    OK_RESPONSE,
    TIMEOUT_S,
    build_budget,
    build_script,
)


class TestFailingCallback:
    """Tests of an exception in the handler of a result."""

    def test_it_is_logged(self) -> None:
        """It would be taken for an invalid response and dropped without a log line."""

        async def check() -> None:
            loop = asyncio.get_running_loop()
            logged = loop.create_future()
            loop.set_exception_handler(
                lambda _, context: logged.set_result(context["exception"].__context__)
            )
            server = await asyncio.start_server(
                build_script(OK_RESPONSE), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            pool = endpoint_pool.EndpointConnectionPool(
                loop, f"127.0.0.1:{port}", HEADERS, build_budget()
            )

            def fail(*fields: object) -> None:
                raise LookupError("handler")

            message = b"GET / HTTP/1.1\r\nHost: a\r\nx-id: id\r\n\r\n"
            pool.send(endpoint_exchange.Exchange(b"id", message, fail))
            assert type(await logged) is LookupError
            assert pool.budget.used_bytes == 0
            server.close()

        asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))
