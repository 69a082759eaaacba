"""At most one execution for each idempotency key, on the serving side.

A refusal under a key says ``ran: no`` only where this node can tell that the key
never ran: it may run the key, and has not. Every other refusal says ``unknown``,
since an earlier request with the same key may have run.

See ``docs/AT-MOST-ONCE.md`` for the ways that were weighed.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable

import msgspec
from catkintiller import data, errors, keys, logclient

from . import endpoint, executor

logger = logging.getLogger("catkintiller.keys")

OUTCOME_GRACE_S = 5.0
CLAIM_TIMEOUT_S = 1.0
CLAIM_BATCH_DELAY_S = 0.005
READ_WAIT_MS = 10_000
FOLLOW_IDLE_TIMEOUT_S = 60.0

_claims_decoder = msgspec.msgpack.Decoder(tuple[data.Claim, ...])


class Redirected(errors.CatkintillerError):
    """Another incarnation may run the key; ``winner`` names it."""

    def __init__(self, winner: str) -> None:
        super().__init__(f"the key belongs to {winner}")
        self.winner = winner


class ClaimStream:
    """Claims plain keys of one service on the log, several in one record.

    The stream is read only while keys are claimed here, so nodes without plain
    keys cost the log nothing. A claim is decided only after everything up to it
    was read, so a late reader decides as everyone else.

    :param log: client of the log service.
    :param service: service whose keys are claimed.
    """

    def __init__(self, log: logclient.LogClient, service: str) -> None:
        self._log = log
        self._stream = f"claims.{service}"
        self._table = keys.ClaimTable()
        self._batch: list[data.Claim] = []
        self._batch_done: asyncio.Future[int] | None = None
        self._read = asyncio.Condition()
        self._rng = random.Random()
        self._appends = 0
        self._wanted = asyncio.Event()
        self._used = 0.0

    @property
    def table(self) -> keys.ClaimTable:
        """The claims read so far."""
        return self._table

    @property
    def appends(self) -> int:
        """Records that this node appended."""
        return self._appends

    async def claim(self, claim: data.Claim) -> data.Claim:
        """Claims a key and waits until the log tells who has it.

        :returns: the winning claim.
        :raises errors.LogUnavailable: if it does not become known in time.
        """
        self._used = time.monotonic()
        self._wanted.set()
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._claim_and_read(claim)
        except TimeoutError as error:
            raise errors.LogUnavailable("the claim was not read back") from error

    async def _claim_and_read(self, claim: data.Claim) -> data.Claim:
        try:
            offset = await self._append(claim)
        except errors.LogOutcomeUnknown:
            # It may have been taken; only the log can tell.
            offset = 0
        async with self._read:
            await self._read.wait_for(
                lambda: (
                    self._table.find_winner(claim.key) and self._table.offset >= offset
                )
            )
        return self._table.find_winner(claim.key)

    async def follow(self) -> None:
        """Reads the stream for as long as the node runs."""
        attempt = 0
        while True:
            if time.monotonic() - self._used > FOLLOW_IDLE_TIMEOUT_S:
                self._wanted.clear()
            await self._wanted.wait()
            start = self._table.offset + 1
            try:
                result = await self._log.read(self._stream, start, READ_WAIT_MS)
                attempt = 0
            except errors.LogTruncated as error:
                self._table.skip_to(error.first - 1)
                continue
            except errors.LogUnavailable:
                attempt += 1
                await logclient.sleep_backoff(attempt, self._rng)
                continue
            await self._apply(result.records)

    async def _apply(self, records: list[data.LogRecord]) -> None:
        now = time.monotonic()
        for record in records:
            try:
                claims = _claims_decoder.decode(record.body)
            except msgspec.DecodeError:
                logger.warning("keys: unreadable claim record at %d", record.offset)
                claims = ()
            self._table.apply(now, record.offset, claims)
        async with self._read:
            self._read.notify_all()

    async def _append(self, claim: data.Claim) -> int:
        self._batch.append(claim)
        if self._batch_done is None:
            self._batch_done = asyncio.ensure_future(self._append_batch())
        return await asyncio.shield(self._batch_done)

    async def _append_batch(self) -> int:
        await asyncio.sleep(CLAIM_BATCH_DELAY_S)
        batch, self._batch = tuple(self._batch), []
        self._batch_done = None
        self._appends += 1
        return await self._log.append(self._stream, msgspec.msgpack.encode(batch))


class KeyedExecutor:
    """Runs calls under idempotency keys.

    :param incarnation: this node's incarnation.
    :param choose_successor: names an incarnation that serves the same service,
        ``""`` if there is none.
    """

    def __init__(
        self,
        incarnation: str,
        server: executor.CallExecutor,
        log: logclient.LogClient,
        choose_successor: Callable[[], str],
    ) -> None:
        self._incarnation = incarnation
        self._choose_successor = choose_successor
        self._serving = server
        self._log = log
        self._keys = keys.KeyTable(incarnation, time.monotonic())
        self._claims: ClaimStream | None = None
        self._follower: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def table(self) -> keys.KeyTable:
        """Keys of this incarnation."""
        return self._keys

    @property
    def running(self) -> int:
        """Keys whose run has started and not ended."""
        return len(self._tasks)

    @property
    def claims(self) -> ClaimStream | None:
        """The claims of the endpoint's service, once it is announced."""
        return self._claims

    def set_service(self, service: str) -> None:
        """Starts to follow the claims of the endpoint's service."""
        if self._claims is None:
            self._claims = ClaimStream(self._log, service)
            self._follower = asyncio.ensure_future(self._claims.follow())

    def stop(self) -> None:
        """Stops following the claims."""
        if self._follower:
            self._follower.cancel()

    def issue_tickets(self, retention_s: float, count: int) -> list[str]:
        """Draws tickets that only this incarnation will run."""
        now = time.monotonic()
        return self._keys.draw_tickets(now, retention_s, count)

    async def serve(
        self, request: data.CallRequest, body: bytes, retention_s: float
    ) -> executor.ExecutedCall:
        """Runs a call unless its key ran before.

        :raises errors.CallRefused: if there is no whole answer.
        :raises Redirected: if another incarnation may run the key.
        """
        now = time.monotonic()
        self._sweep(now, retention_s)
        digest = keys.compute_digest(request.method, request.path, body)
        entry = self._keys.get(request.key)
        if entry is None:
            entry = self._add_entry(now, request, digest, retention_s)
        if entry.digest != digest:
            raise _refuse(data.Reason.KEY_REUSED, data.Ran.NO)
        if entry.state is keys.KeyState.READY and self._serving.draining:
            self._hand_over(entry)
        if entry.state is keys.KeyState.HANDED_OVER:
            raise Redirected(entry.successor)
        if entry.state in (keys.KeyState.READY, keys.KeyState.UNCLAIMED):
            task = self._start(entry, request, body)
            return await asyncio.shield(task)
        if not entry.done.is_set():
            await entry.done.wait()
        return _get_stored(entry, request)

    def _add_entry(
        self, now: float, request: data.CallRequest, digest: bytes, retention_s: float
    ) -> keys.KeyEntry:
        ticket = keys.parse_ticket(request.key)
        if ticket:
            handed = request.handed_by == ticket.incarnation
            if not handed and not self._keys.is_current(now, ticket):
                raise _refuse(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
            return self._keys.add(now, request.key, digest, retention_s)
        if self._claims is None or not self._serving.accepting:
            raise _refuse(data.Reason.LEAVING, data.Ran.UNKNOWN)
        winner = self._claims.table.find_winner(request.key)
        handed = winner is not None and request.handed_by == winner.incarnation
        if winner and not handed:
            self._refuse_lost_claim(winner, digest)
        entry = self._keys.add(now, request.key, digest, retention_s)
        if not handed:
            entry.state = keys.KeyState.UNCLAIMED
        return entry

    def _hand_over(self, entry: keys.KeyEntry) -> None:
        """Gives a key that has not run here to one other node, for good."""
        successor = self._choose_successor()
        if successor:
            entry.state = keys.KeyState.HANDED_OVER
            entry.successor = successor

    def _refuse_lost_claim(self, winner: data.Claim, digest: bytes) -> None:
        if winner.digest != digest:
            raise _refuse(data.Reason.KEY_REUSED, data.Ran.NO)
        if winner.incarnation == self._incarnation:
            # The claim outlived its entry, so what became of it is not known.
            raise _refuse(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
        raise Redirected(winner.incarnation)

    def _start(
        self, entry: keys.KeyEntry, request: data.CallRequest, body: bytes
    ) -> asyncio.Task[executor.ExecutedCall]:
        """Starts the only run of a key; it outlives the caller that asked."""
        ready = entry.state is keys.KeyState.READY
        entry.state = keys.KeyState.RUNNING
        entry.failure = None
        entry.done = asyncio.Event()
        task = asyncio.ensure_future(self._run(entry, request, body, ready))
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task[executor.ExecutedCall]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # The caller may have gone; its key's entry holds the failure.
            task.exception()

    async def _run(
        self,
        entry: keys.KeyEntry,
        request: data.CallRequest,
        body: bytes,
        ready: bool,
    ) -> executor.ExecutedCall:
        state = keys.KeyState.READY if ready else keys.KeyState.UNCLAIMED
        try:
            if not ready:
                await self._claim(request, entry)
            state = keys.KeyState.LOST
            served = await self._serving.serve(
                request, body, OUTCOME_GRACE_S, bound=True
            )
            state = keys.KeyState.FINISHED
            self._keys.store(entry, keys.StoredAnswer(*served.answer))
            return served
        except errors.CallRefused as error:
            entry.failure = error
            if error.refusal.ran is data.Ran.NO:
                state = keys.KeyState.READY
            raise
        except Redirected as error:
            entry.failure = error
            self._keys.remove(request.key)
            raise
        finally:
            entry.state = state
            entry.done.set()

    async def _claim(self, request: data.CallRequest, entry: keys.KeyEntry) -> None:
        try:
            claim = data.Claim(request.key, entry.digest, self._incarnation)
            winner = await self._claims.claim(claim)
        except errors.LogUnavailable as error:
            # Another node may have claimed and run the key unseen.
            raise _refuse(data.Reason.LOG_UNAVAILABLE, data.Ran.UNKNOWN) from error
        # The winner itself may have handed the key to this node.
        if winner.incarnation not in (self._incarnation, request.handed_by):
            self._refuse_lost_claim(winner, entry.digest)

    def _sweep(self, now: float, retention_s: float) -> None:
        self._keys.sweep(now, retention_s)
        if self._claims:
            self._claims.table.sweep(now, retention_s)


def _get_stored(
    entry: keys.KeyEntry, request: data.CallRequest
) -> executor.ExecutedCall:
    """Gets the outcome of a run that another request started."""
    if entry.state is keys.KeyState.FINISHED and entry.answer is None:
        raise _refuse(data.Reason.KEY_ANSWER_DROPPED, data.Ran.YES)
    if entry.state is keys.KeyState.FINISHED:
        answer = endpoint.EndpointAnswer(*entry.answer)
        return executor.ExecutedCall(answer, request.context.retries, 0.0, 0.0)
    if entry.failure and entry.state is not keys.KeyState.LOST:
        raise entry.failure
    raise _refuse(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)


def _refuse(reason: data.Reason, ran: data.Ran) -> errors.CallRefused:
    return errors.CallRefused(data.Refusal(reason, ran, "", executor.RETRY_AFTER_MS))
