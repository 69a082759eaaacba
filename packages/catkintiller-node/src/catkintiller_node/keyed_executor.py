"""Executes calls with idempotency keys, each key at most once.

The refusal of a call with a key carries ``ran: no`` only if this node is the one
that may run the key and has not run it. Every other refusal carries ``unknown``,
since an earlier request with the same key may have run.

``docs/AT-MOST-ONCE.md`` compares the designs that were considered.
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
FOLLOW_IDLE_TIMEOUT_S = 60.0

_claims_decoder = msgspec.msgpack.Decoder(tuple[data.Claim, ...])


class Redirected(errors.CatkintillerError):
    """Raised if only the incarnation ``winner`` may run the key."""

    def __init__(self, winner: str) -> None:
        super().__init__(f"the key may run only at incarnation {winner}")
        self.winner = winner


class ClaimStream:
    """Claims plain keys (not tickets) of one service on the log.

    Claims that arrive together are appended as one record. The stream is read
    only while this node claims keys, so nodes without plain keys put no load on
    the log. A claim is decided only after all records up to it have been read, so
    every reader comes to the same decision, however late it reads.

    :param log: client of the log service.
    :param service: service whose keys are claimed.
    """

    def __init__(self, log: logclient.LogClient, service: str) -> None:
        self._log = log
        self._stream = f"claims.{service}"
        self._table = keys.ClaimTable()
        self._batch: list[data.Claim] = []
        self._batch_done: asyncio.Future[int] | None = None
        self._table_updated = asyncio.Condition()
        self._rng = random.Random()
        self._appends = 0
        self._follow_enabled = asyncio.Event()
        self._last_claim_at = 0.0

    @property
    def table(self) -> keys.ClaimTable:
        """The claims read from the log so far."""
        return self._table

    @property
    def appends(self) -> int:
        """Number of records that this node appended."""
        return self._appends

    async def claim(self, claim: data.Claim) -> data.Claim:
        """Claims a key and waits until the winning claim is read from the log.

        :returns: the winning claim.
        :raises errors.LogUnavailable: if the winner is not read in time.
        """
        self._last_claim_at = time.monotonic()
        self._follow_enabled.set()
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._append_and_await_winner(claim)
        except TimeoutError as error:
            raise errors.LogUnavailable(
                "the claim was not read back from the log in time"
            ) from error

    async def _append_and_await_winner(self, claim: data.Claim) -> data.Claim:
        try:
            offset = await self._append(claim)
        except errors.LogOutcomeUnknown:
            # The log may hold the record; any winner that is read decides.
            offset = 0
        async with self._table_updated:
            await self._table_updated.wait_for(
                lambda: (
                    self._table.get_winner(claim.key) and self._table.offset >= offset
                )
            )
        return self._table.get_winner(claim.key)

    async def follow(self) -> None:
        """Reads the stream until cancelled, while keys are claimed here."""
        failure_count = 0
        while True:
            if time.monotonic() - self._last_claim_at > FOLLOW_IDLE_TIMEOUT_S:
                self._follow_enabled.clear()
            await self._follow_enabled.wait()
            start_offset = self._table.offset + 1
            try:
                wait_ms = logclient.get_poll_wait_ms(failure_count)
                result = await self._log.read(self._stream, start_offset, wait_ms)
                failure_count = 0
            except errors.LogTruncated as error:
                self._table.skip_to_offset(error.first - 1)
                continue
            except errors.LogUnavailable:
                failure_count += 1
                await logclient.sleep_backoff(failure_count, self._rng)
                continue
            await self._apply(result.records)

    async def _apply(self, records: list[data.LogRecord]) -> None:
        now = time.monotonic()
        for record in records:
            try:
                claims = _claims_decoder.decode(record.body)
            except msgspec.DecodeError:
                logger.warning(
                    "keys: claim record at offset %d cannot be decoded, ignored",
                    record.offset,
                )
                claims = ()
            self._table.apply(now, record.offset, claims)
        async with self._table_updated:
            self._table_updated.notify_all()

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
    """Executes calls with idempotency keys.

    :param incarnation: this node's incarnation.
    :param choose_successor: returns another incarnation that serves the same
        service, ``""`` if there is none.
    """

    def __init__(
        self,
        incarnation: str,
        call_executor: executor.CallExecutor,
        log: logclient.LogClient,
        choose_successor: Callable[[], str],
    ) -> None:
        self._incarnation = incarnation
        self._choose_successor = choose_successor
        self._executor = call_executor
        self._log = log
        self._key_table = keys.KeyTable(incarnation, time.monotonic())
        self._claims: ClaimStream | None = None
        self._follow_task: asyncio.Task | None = None
        self._run_tasks: set[asyncio.Task] = set()

    @property
    def table(self) -> keys.KeyTable:
        """The keys that this incarnation may run or has run."""
        return self._key_table

    @property
    def running(self) -> int:
        """Number of keys whose run has started and not ended."""
        return len(self._run_tasks)

    @property
    def claims(self) -> ClaimStream | None:
        """The claims of the endpoint's service, ``None`` until it is announced."""
        return self._claims

    def set_service(self, service: str) -> None:
        """Starts to follow the claims of the endpoint's service, if not started."""
        if self._claims is None:
            self._claims = ClaimStream(self._log, service)
            self._follow_task = asyncio.ensure_future(self._claims.follow())

    def stop(self) -> None:
        """Stops following the claims."""
        if self._follow_task:
            self._follow_task.cancel()

    def issue_tickets(self, retention_s: float, count: int) -> list[str]:
        """Issues tickets that only this incarnation may run.

        :param retention_s: seconds for which the tickets are valid.
        """
        now = time.monotonic()
        return self._key_table.issue_tickets(now, retention_s, count)

    async def execute(
        self, request: data.CallRequest, body: bytes, retention_s: float
    ) -> executor.ExecutedCall:
        """Executes a call, or returns the stored response if its key has run.

        :param retention_s: seconds for which the key is kept.
        :raises errors.CallRefused: if there is no complete response.
        :raises Redirected: if another incarnation may run the key.
        """
        now = time.monotonic()
        self._remove_expired(now, retention_s)
        digest = keys.compute_digest(request.method, request.path, body)
        entry = self._key_table.get(request.key)
        if entry is None:
            entry = self._add_entry(now, request, digest, retention_s)
        if entry.digest != digest:
            raise _build_refusal(data.Reason.KEY_REUSED, data.Ran.NO)
        if entry.state is keys.KeyState.READY and self._executor.draining:
            self._hand_over(entry)
        if entry.state is keys.KeyState.HANDED_OVER:
            raise Redirected(entry.successor)
        if entry.state in (keys.KeyState.READY, keys.KeyState.UNCLAIMED):
            task = self._start_run(entry, request, body)
            return await asyncio.shield(task)
        if not entry.done.is_set():
            await entry.done.wait()
        return _get_outcome(entry, request)

    def _add_entry(
        self, now: float, request: data.CallRequest, digest: bytes, retention_s: float
    ) -> keys.KeyEntry:
        ticket = keys.parse_ticket(request.key)
        if ticket:
            is_handed_over = request.handed_over_by == ticket.incarnation
            if not is_handed_over and not self._key_table.is_redeemable(now, ticket):
                raise _build_refusal(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
            return self._key_table.add(now, request.key, digest, retention_s)
        if self._claims is None or not self._executor.accepting:
            raise _build_refusal(data.Reason.LEAVING, data.Ran.UNKNOWN)
        winner = self._claims.table.get_winner(request.key)
        is_handed_over = (
            winner is not None and request.handed_over_by == winner.incarnation
        )
        if winner and not is_handed_over:
            self._raise_lost_claim(winner, digest)
        entry = self._key_table.add(now, request.key, digest, retention_s)
        if not is_handed_over:
            entry.state = keys.KeyState.UNCLAIMED
        return entry

    def _hand_over(self, entry: keys.KeyEntry) -> None:
        """Hands a key that has not run here over to another node, permanently."""
        successor = self._choose_successor()
        if successor:
            entry.state = keys.KeyState.HANDED_OVER
            entry.successor = successor

    def _raise_lost_claim(self, winner: data.Claim, digest: bytes) -> None:
        if winner.digest != digest:
            raise _build_refusal(data.Reason.KEY_REUSED, data.Ran.NO)
        if winner.incarnation == self._incarnation:
            # The key's entry has been removed, so its outcome is unknown.
            raise _build_refusal(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)
        raise Redirected(winner.incarnation)

    def _start_run(
        self, entry: keys.KeyEntry, request: data.CallRequest, body: bytes
    ) -> asyncio.Task[executor.ExecutedCall]:
        """Starts the only run of a key, which continues if the caller disconnects."""
        is_ready = entry.state is keys.KeyState.READY
        entry.state = keys.KeyState.RUNNING
        entry.failure = None
        entry.done = asyncio.Event()
        task = asyncio.ensure_future(self._run_key(entry, request, body, is_ready))
        self._run_tasks.add(task)
        task.add_done_callback(self._on_run_done)
        return task

    def _on_run_done(self, task: asyncio.Task[executor.ExecutedCall]) -> None:
        self._run_tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it: the caller
            # may have disconnected, and the key's entry holds the failure.
            task.exception()

    async def _run_key(
        self,
        entry: keys.KeyEntry,
        request: data.CallRequest,
        body: bytes,
        is_ready: bool,
    ) -> executor.ExecutedCall:
        end_state = keys.KeyState.READY if is_ready else keys.KeyState.UNCLAIMED
        try:
            if not is_ready:
                await self._claim(request, entry)
            end_state = keys.KeyState.LOST
            executed = await self._executor.execute(
                request, body, OUTCOME_GRACE_S, pinned=True
            )
            end_state = keys.KeyState.FINISHED
            self._key_table.store(entry, keys.StoredResponse(*executed.response))
            return executed
        except errors.CallRefused as error:
            entry.failure = error
            if error.refusal.ran is data.Ran.NO:
                end_state = keys.KeyState.READY
            raise
        except Redirected as error:
            entry.failure = error
            self._key_table.remove(request.key)
            raise
        finally:
            entry.state = end_state
            entry.done.set()

    async def _claim(self, request: data.CallRequest, entry: keys.KeyEntry) -> None:
        try:
            claim = data.Claim(request.key, entry.digest, self._incarnation)
            winner = await self._claims.claim(claim)
        except errors.LogUnavailable as error:
            # Another node may have claimed and run the key without this node
            # having read the claim.
            raise _build_refusal(
                data.Reason.LOG_UNAVAILABLE, data.Ran.UNKNOWN
            ) from error
        # The winner may have handed the key over to this node.
        if winner.incarnation not in (self._incarnation, request.handed_over_by):
            self._raise_lost_claim(winner, entry.digest)

    def _remove_expired(self, now: float, retention_s: float) -> None:
        self._key_table.remove_expired(now, retention_s)
        if self._claims:
            self._claims.table.remove_expired(now, retention_s)


def _get_outcome(
    entry: keys.KeyEntry, request: data.CallRequest
) -> executor.ExecutedCall:
    """Returns the outcome of a run that another request started.

    :raises errors.CallRefused: if the run left no complete response.
    """
    if entry.state is keys.KeyState.FINISHED and entry.response is None:
        raise _build_refusal(data.Reason.KEY_ANSWER_DROPPED, data.Ran.YES)
    if entry.state is keys.KeyState.FINISHED:
        response = endpoint.EndpointResponse(*entry.response)
        return executor.ExecutedCall(response, request.context.retries, 0.0, 0.0)
    if entry.failure and entry.state is not keys.KeyState.LOST:
        raise entry.failure
    raise _build_refusal(data.Reason.KEY_OUTCOME_LOST, data.Ran.UNKNOWN)


def _build_refusal(reason: data.Reason, ran: data.Ran) -> errors.CallRefused:
    return errors.CallRefused(data.Refusal(reason, ran, "", executor.RETRY_AFTER_MS))
