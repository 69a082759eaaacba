"""Carries one attempt of a call to its serving node, and serves others' calls."""

import abc
import asyncio
import logging
import time
from typing import NamedTuple

from catkintiller import data, errors

from . import executor, keyed_executor, mesh

logger = logging.getLogger("catkintiller.calls")

ANSWER_MARGIN_S = 0.05


class AttemptResult(NamedTuple):
    """What one attempt brought: the answer record and its body."""

    answer: data.CallAnswer
    body: bytes


class AttemptSender(abc.ABC):
    """Carries an attempt to a serving node."""

    @abc.abstractmethod
    async def send(
        self, member: data.Member, request: data.CallRequest, body: bytes
    ) -> AttemptResult:
        """Sends one attempt and waits for what becomes of it."""


class LocalAttemptServer:
    """Serves attempts at this node, for its own callers and for other nodes.

    :param incarnation: this node's incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        server: executor.CallExecutor,
        keyed_server: keyed_executor.KeyedExecutor,
    ) -> None:
        self._incarnation = incarnation
        self._serving = server
        self._keyed = keyed_server
        self._retention_s = 600.0

    def set_retention(self, retention_s: float) -> None:
        """Sets how long keys of the endpoint's service are kept."""
        self._retention_s = retention_s

    async def serve(self, request: data.CallRequest, body: bytes) -> AttemptResult:
        """Serves one attempt; a failure is in the result."""
        winner = ""
        served = None
        try:
            if request.target != self._incarnation:
                raise errors.CallRefused(
                    data.Refusal(data.Reason.NO_ENDPOINT, _get_unsent(request))
                )
            served = await self._dispatch(request, body)
            refusal = None
        except errors.CallRefused as error:
            refusal = error.refusal
        except keyed_executor.Redirected as error:
            refusal = data.Refusal(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
            winner = error.winner
        except TimeoutError:
            refusal = data.Refusal(data.Reason.DEADLINE, data.Ran.UNKNOWN)
        return self._make_result(request, served, refusal, winner)

    async def _dispatch(
        self, request: data.CallRequest, body: bytes
    ) -> executor.ExecutedCall:
        if not request.key:
            return await self._serving.serve(request, body)
        # The run of a key may outlive the call that asked for it.
        async with asyncio.timeout(request.context.deadline_ms / 1000):
            return await self._keyed.serve(request, body, self._retention_s)

    def _make_result(
        self,
        request: data.CallRequest,
        served: executor.ExecutedCall | None,
        refusal: data.Refusal | None,
        winner: str,
    ) -> AttemptResult:
        now = time.monotonic()
        feedback = self._serving.get_feedback(now, request.kind)
        if served is None:
            unspent = request.context.retries if refusal.ran is data.Ran.NO else 0
            answer = data.CallAnswer(
                request.call_id,
                self._incarnation,
                0,
                (),
                0,
                refusal,
                unspent,
                winner,
                0.0,
                0.0,
                feedback,
            )
            return AttemptResult(answer, b"")
        answer = data.CallAnswer(
            request.call_id,
            self._incarnation,
            served.answer.status,
            served.answer.headers,
            len(served.answer.body),
            None,
            served.retries_left,
            "",
            served.queue_ms,
            served.endpoint_ms,
            feedback,
        )
        return AttemptResult(answer, served.answer.body)


class _Pending(NamedTuple):
    """An attempt that waits for its answer from ``target``."""

    target: str
    done: asyncio.Future[AttemptResult]


class MeshAttemptSender(AttemptSender):
    """Sends attempts over the mesh, or serves them here if they are for here.

    :param incarnation: this node's incarnation.
    """

    def __init__(
        self, incarnation: str, transport: mesh.Mesh, local: LocalAttemptServer
    ) -> None:
        self._incarnation = incarnation
        self._mesh = transport
        self._local = local
        self._pending: dict[str, _Pending] = {}
        self._served: dict[str, asyncio.Task[None]] = {}
        self._discarded = 0

    @property
    def discarded(self) -> int:
        """Answers dropped because nobody waits for them or they are not whole."""
        return self._discarded

    @property
    def serving_count(self) -> int:
        """Calls of other nodes that are served now."""
        return len(self._served)

    async def send(
        self, member: data.Member, request: data.CallRequest, body: bytes
    ) -> AttemptResult:
        """Sends one attempt; see :meth:`Sender.send`."""
        if member.incarnation == self._incarnation:
            return await self._local.serve(request, body)
        loop = asyncio.get_running_loop()
        pending = _Pending(member.incarnation, loop.create_future())
        self._pending[request.call_id] = pending

        def on_unsent() -> None:
            if not pending.done.done():
                ran = _get_unsent(request)
                refusal = data.Refusal(data.Reason.CONNECTION_LOST, ran)
                pending.done.set_result(_make_failure(request, refusal))

        timeout_s = request.context.deadline_ms / 1000 + ANSWER_MARGIN_S
        try:
            self._mesh.send(member.address, request, body, on_unsent)
            async with asyncio.timeout(timeout_s):
                return await pending.done
        except TimeoutError:
            self._cancel(member, request)
            refusal = data.Refusal(data.Reason.DEADLINE, data.Ran.UNKNOWN)
            return _make_failure(request, refusal)
        except asyncio.CancelledError:
            self._cancel(member, request)
            raise
        finally:
            del self._pending[request.call_id]

    def handle_request(self, request: data.CallRequest, body: bytes) -> None:
        """Serves a call of another node."""
        if request.call_id in self._served:
            return
        task = asyncio.ensure_future(self._serve(request, body))
        self._served[request.call_id] = task

    def handle_cancel(self, cancel: data.CallCancel) -> None:
        """Stops serving a call that its node does not wait for any more."""
        task = self._served.get(cancel.call_id)
        if task:
            task.cancel()

    def handle_answer(self, answer: data.CallAnswer, body: bytes) -> None:
        """Hands an answer to the attempt that it belongs to, if it is whole."""
        pending = self._pending.get(answer.call_id)
        if (
            pending is None
            or pending.done.done()
            or pending.target != answer.source
            or len(body) != answer.body_length
        ):
            self._discarded += 1
            return
        pending.done.set_result(AttemptResult(answer, body))

    def fail_attempts_to(self, incarnation: str) -> None:
        """Fails the attempts at a node that is gone; they may have run."""
        for call_id, pending in list(self._pending.items()):
            if pending.target == incarnation and not pending.done.done():
                refusal = data.Refusal(data.Reason.CONNECTION_LOST, data.Ran.UNKNOWN)
                pending.done.set_result(
                    AttemptResult(_make_failed_answer(call_id, 0, refusal), b"")
                )

    async def _serve(self, request: data.CallRequest, body: bytes) -> None:
        try:
            result = await self._local.serve(request, body)
            self._mesh.send(request.reply_to, result.answer, result.body)
        except asyncio.CancelledError:
            logger.debug("calls: %s was cancelled", request.call_id)
        finally:
            del self._served[request.call_id]

    def _cancel(self, member: data.Member, request: data.CallRequest) -> None:
        cancel = data.CallCancel(request.call_id, member.incarnation)
        self._mesh.send(member.address, cancel)


def _get_unsent(request: data.CallRequest) -> data.Ran:
    """Tells what ran of a call that reached no node that may run it.

    An earlier call under the same key may have run.
    """
    return data.Ran.UNKNOWN if request.key else data.Ran.NO


def _make_failure(request: data.CallRequest, refusal: data.Refusal) -> AttemptResult:
    unspent = request.context.retries if refusal.ran is data.Ran.NO else 0
    return AttemptResult(_make_failed_answer(request.call_id, unspent, refusal), b"")


def _make_failed_answer(
    call_id: str, unspent: int, refusal: data.Refusal
) -> data.CallAnswer:
    """Makes the record of an attempt that no node answered."""
    return data.CallAnswer(
        call_id, "", 0, (), 0, refusal, unspent, "", 0.0, 0.0, executor.IDLE_FEEDBACK
    )
