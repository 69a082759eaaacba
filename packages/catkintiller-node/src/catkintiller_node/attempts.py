"""Sends attempts of calls to serving nodes and serves the attempts of other nodes."""

import abc
import asyncio
import logging
import time
from typing import NamedTuple

from catkintiller import data, errors

from . import executor, keyed_executor, mesh

logger = logging.getLogger("catkintiller.calls")

# Time beyond the deadline for a response that is in transit.
RESPONSE_MARGIN_S = 0.05


class AttemptResult(NamedTuple):
    """The result of one attempt: the response record and its body."""

    response: data.CallResponse
    body: bytes


class AttemptSender(abc.ABC):
    """Sends attempts to serving nodes."""

    @abc.abstractmethod
    async def send(
        self, member: data.Member, request: data.CallRequest, body: bytes
    ) -> AttemptResult:
        """Sends one attempt and returns its result; a failure is in the result."""


class LocalAttemptServer:
    """Serves the attempts that are sent to this node, by itself or by other nodes.

    :param incarnation: this node's incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        call_executor: executor.CallExecutor,
        keyed: keyed_executor.KeyedExecutor,
    ) -> None:
        self._incarnation = incarnation
        self._executor = call_executor
        self._keyed_executor = keyed
        self._retention_s = 600.0

    def set_retention(self, retention_s: float) -> None:
        """Sets how many seconds keys of the endpoint's service are kept."""
        self._retention_s = retention_s

    async def serve(self, request: data.CallRequest, body: bytes) -> AttemptResult:
        """Serves one attempt; a failure is in the result."""
        winner = ""
        executed = None
        try:
            if request.target != self._incarnation:
                raise errors.CallRefused(
                    data.Refusal(data.Reason.NO_ENDPOINT, _get_ran_if_unsent(request))
                )
            executed = await self._execute(request, body)
            refusal = None
        except errors.CallRefused as error:
            refusal = error.refusal
        except keyed_executor.Redirected as error:
            refusal = data.Refusal(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
            winner = error.winner
        except TimeoutError:
            refusal = data.Refusal(data.Reason.DEADLINE, data.Ran.UNKNOWN)
        return self._build_result(request, executed, refusal, winner)

    async def _execute(
        self, request: data.CallRequest, body: bytes
    ) -> executor.ExecutedCall:
        if not request.key:
            return await self._executor.execute(request, body)
        # The deadline is enforced here, since the run of a key continues when the
        # call that started it ends.
        async with asyncio.timeout(request.context.deadline_ms / 1000):
            return await self._keyed_executor.execute(request, body, self._retention_s)

    def _build_result(
        self,
        request: data.CallRequest,
        executed: executor.ExecutedCall | None,
        refusal: data.Refusal | None,
        winner: str,
    ) -> AttemptResult:
        now = time.monotonic()
        feedback = self._executor.get_feedback(now, request.kind)
        if executed is None:
            unspent_retries = (
                request.context.retries if refusal.ran is data.Ran.NO else 0
            )
            response = data.CallResponse(
                request.call_id,
                self._incarnation,
                0,
                (),
                0,
                refusal,
                unspent_retries,
                winner,
                0.0,
                0.0,
                feedback,
            )
            return AttemptResult(response, b"")
        response = data.CallResponse(
            request.call_id,
            self._incarnation,
            executed.response.status,
            executed.response.headers,
            len(executed.response.body),
            None,
            executed.retries_left,
            "",
            executed.queue_ms,
            executed.endpoint_ms,
            feedback,
        )
        return AttemptResult(response, executed.response.body)


class _Pending(NamedTuple):
    """An attempt that waits for its response from the incarnation ``target``."""

    target: str
    result: asyncio.Future[AttemptResult]


class MeshAttemptSender(AttemptSender):
    """Sends attempts over the mesh, or to the local server if they target this node.

    :param incarnation: this node's incarnation.
    """

    def __init__(
        self, incarnation: str, transport: mesh.Mesh, local: LocalAttemptServer
    ) -> None:
        self._incarnation = incarnation
        self._mesh = transport
        self._local = local
        self._pending: dict[str, _Pending] = {}
        self._serving_tasks: dict[str, asyncio.Task[None]] = {}
        self._discarded = 0

    @property
    def discarded(self) -> int:
        """Number of responses dropped: truncated, or no attempt waits for them."""
        return self._discarded

    @property
    def serving_count(self) -> int:
        """Number of attempts of other nodes that are being served."""
        return len(self._serving_tasks)

    async def send(
        self, member: data.Member, request: data.CallRequest, body: bytes
    ) -> AttemptResult:
        """Sends one attempt; see :meth:`AttemptSender.send`."""
        if member.incarnation == self._incarnation:
            return await self._local.serve(request, body)
        loop = asyncio.get_running_loop()
        pending = _Pending(member.incarnation, loop.create_future())
        self._pending[request.call_id] = pending

        def on_unsent() -> None:
            if not pending.result.done():
                ran = _get_ran_if_unsent(request)
                refusal = data.Refusal(data.Reason.CONNECTION_LOST, ran)
                pending.result.set_result(_build_failure_result(request, refusal))

        timeout_s = request.context.deadline_ms / 1000 + RESPONSE_MARGIN_S
        try:
            self._mesh.send(member.address, request, body, on_unsent)
            async with asyncio.timeout(timeout_s):
                return await pending.result
        except TimeoutError:
            self._send_cancel(member, request)
            refusal = data.Refusal(data.Reason.DEADLINE, data.Ran.UNKNOWN)
            return _build_failure_result(request, refusal)
        except asyncio.CancelledError:
            self._send_cancel(member, request)
            raise
        finally:
            del self._pending[request.call_id]

    def handle_request(self, request: data.CallRequest, body: bytes) -> None:
        """Starts to serve an attempt of another node, unless it is being served."""
        if request.call_id in self._serving_tasks:
            return
        task = asyncio.ensure_future(self._serve_request(request, body))
        self._serving_tasks[request.call_id] = task

    def handle_cancel(self, cancel: data.CallCancel) -> None:
        """Stops serving an attempt that its sender no longer waits for."""
        task = self._serving_tasks.get(cancel.call_id)
        if task:
            task.cancel()

    def handle_response(self, response: data.CallResponse, body: bytes) -> None:
        """Completes the attempt that a response belongs to, if the body is complete."""
        pending = self._pending.get(response.call_id)
        if (
            pending is None
            or pending.result.done()
            or pending.target != response.source
            or len(body) != response.body_length
        ):
            self._discarded += 1
            return
        pending.result.set_result(AttemptResult(response, body))

    def fail_attempts_to(self, incarnation: str) -> None:
        """Fails the attempts that wait for a node that is gone; they may have run."""
        for call_id, pending in list(self._pending.items()):
            if pending.target == incarnation and not pending.result.done():
                refusal = data.Refusal(data.Reason.CONNECTION_LOST, data.Ran.UNKNOWN)
                pending.result.set_result(
                    AttemptResult(_build_failure_response(call_id, 0, refusal), b"")
                )

    async def _serve_request(self, request: data.CallRequest, body: bytes) -> None:
        try:
            result = await self._local.serve(request, body)
            self._mesh.send(request.reply_to, result.response, result.body)
        except asyncio.CancelledError:
            logger.debug("calls: serving of call %s was cancelled", request.call_id)
        finally:
            del self._serving_tasks[request.call_id]

    def _send_cancel(self, member: data.Member, request: data.CallRequest) -> None:
        cancel = data.CallCancel(request.call_id, member.incarnation)
        self._mesh.send(member.address, cancel)


def _get_ran_if_unsent(request: data.CallRequest) -> data.Ran:
    """Returns whether a call that reached no node able to run it has run.

    With a key this is unknown, since an earlier call with the key may have run.
    """
    return data.Ran.UNKNOWN if request.key else data.Ran.NO


def _build_failure_result(
    request: data.CallRequest, refusal: data.Refusal
) -> AttemptResult:
    unspent_retries = request.context.retries if refusal.ran is data.Ran.NO else 0
    return AttemptResult(
        _build_failure_response(request.call_id, unspent_retries, refusal), b""
    )


def _build_failure_response(
    call_id: str, unspent_retries: int, refusal: data.Refusal
) -> data.CallResponse:
    """Builds the response record of an attempt that no node answered."""
    return data.CallResponse(
        call_id,
        "",
        0,
        (),
        0,
        refusal,
        unspent_retries,
        "",
        0.0,
        0.0,
        executor.IDLE_FEEDBACK,
    )
