"""Tests the matching of responses to attempts, and that requests are sent only once."""

import asyncio

import pytest
from catkintiller import data, errors

from . import attempts, endpoint, executor


class FakeMesh:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list = []

    def send(self, address, message, body=b"", on_unsent=None) -> None:
        self.sent.append((message, on_unsent))


def build_request(call_id: str, key: str = "") -> data.CallRequest:
    """Builds a request to the node ``there``."""
    context = data.CallContext("t" * 32, 100, 300, 2, 0)
    return data.CallRequest(
        call_id, "there", "s", "k", "GET", "/", (), context, key, "", "here:1"
    )


def build_response(call_id: str, source: str, length: int) -> data.CallResponse:
    """Builds a response of the node ``source`` with a body of ``length`` bytes."""
    return data.CallResponse(
        call_id, source, 200, (), length, None, 2, "", 0, 0, executor.IDLE_FEEDBACK
    )


MEMBER = data.Member("there", "a:1", "", "r", "z", "s", "", 0, 0, True)


class TestResponses:
    """Late, misdirected, duplicate and truncated responses are discarded."""

    def test_only_the_complete_response_of_the_target_is_accepted(self) -> None:
        async def run() -> None:
            mesh = FakeMesh()
            sender = attempts.MeshAttemptSender("here", mesh, None)
            first = asyncio.ensure_future(sender.send(MEMBER, build_request("1"), b""))
            second = asyncio.ensure_future(sender.send(MEMBER, build_request("2"), b""))
            await asyncio.sleep(0)
            sender.handle_response(build_response("1", "elsewhere", 3), b"bad")
            sender.handle_response(build_response("1", "there", 9), b"cut")
            sender.handle_response(build_response("9", "there", 3), b"old")
            assert not first.done() and not second.done()
            sender.handle_response(build_response("2", "there", 3), b"two")
            sender.handle_response(build_response("1", "there", 3), b"one")
            sender.handle_response(build_response("1", "there", 3), b"dup")
            assert (await first).body == b"one"
            assert (await second).body == b"two"
            assert sender.discarded == 4
            sender.handle_response(build_response("1", "there", 3), b"late")
            assert sender.discarded == 5

        asyncio.run(run())

    def test_unsent_attempt_did_not_run_unless_it_has_a_key(self) -> None:
        async def run(key: str) -> data.Ran:
            mesh = FakeMesh()
            sender = attempts.MeshAttemptSender("here", mesh, None)
            request = build_request("1", key)
            task = asyncio.ensure_future(sender.send(MEMBER, request, b""))
            await asyncio.sleep(0)
            mesh.sent[0][1]()
            return (await task).response.refusal.ran

        assert asyncio.run(run("")) is data.Ran.NO
        assert asyncio.run(run("key")) is data.Ran.UNKNOWN

    def test_attempt_without_response_is_unknown_and_cancelled(self) -> None:
        async def run() -> None:
            mesh = FakeMesh()
            sender = attempts.MeshAttemptSender("here", mesh, None)
            result = await sender.send(MEMBER, build_request("1"), b"")
            assert result.response.refusal.ran is data.Ran.UNKNOWN
            assert isinstance(mesh.sent[-1][0], data.CallCancel)

        asyncio.run(run())


class TestEndpointClient:
    """The client sends each request exactly once."""

    def test_request_is_not_sent_again_after_kept_connection_breaks(self) -> None:
        requests = 0

        async def serve(reader, writer) -> None:
            nonlocal requests
            while await reader.readuntil(b"\r\n\r\n"):
                requests += 1
                if requests == 2:
                    writer.close()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async def run() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            info = endpoint.EndpointInfo("s", "s-1", f"127.0.0.1:{port}", 1)
            async with endpoint.build_session() as http:
                client = endpoint.EndpointClient(http)
                await client.call(info, build_request("1"), b"", 1.0, 99)
                with pytest.raises(errors.CallRefused) as caught:
                    await client.call(info, build_request("2"), b"", 1.0, 99)
                assert caught.value.refusal.ran is data.Ran.UNKNOWN
            server.close()

        asyncio.run(run())
        assert requests == 2
