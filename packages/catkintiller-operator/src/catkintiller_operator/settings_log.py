"""Reads the settings from the log and submits commits to it."""

import asyncio
import random
import uuid
from typing import NamedTuple

import aiohttp
from catkintiller import data, errors, fold, logclient

STREAM = "settings"
READ_BACK_TIMEOUT_S = 10.0


class CommitResult(NamedTuple):
    """What became of a commit; ``outcome`` is ``None`` if that is unknown."""

    commit_id: str
    outcome: data.Outcome | None


def load_state(log_url: str) -> data.SettingsState:
    """Folds everything that the log holds.

    :raises errors.LogUnavailable: if the log service does not answer.
    """

    async def load() -> data.SettingsState:
        async with aiohttp.ClientSession() as http:
            return await _load(logclient.HttpLogClient(http, log_url))

    return asyncio.run(load())


def build_commit(
    state: data.SettingsState,
    changes: tuple[data.Change, ...],
    author: str,
    message: str,
) -> data.Commit:
    """Makes a commit on top of ``state``."""
    paths = {change.path for change in changes}
    base = {path: state.versions.get(path, 0) for path in paths}
    return data.Commit(uuid.uuid4().hex[:12], author, message, base, changes)


def submit_commit(log_url: str, commit: data.Commit) -> CommitResult:
    """Appends a commit and reads back what became of it.

    A commit is only reported as accepted once it was read back and folded. When
    the answer to the append is lost, reading back settles it; sending again is
    harmless, since the first record of a commit decides.

    :raises errors.LogUnavailable: if the commit was certainly not taken.
    """

    async def submit() -> CommitResult:
        async with aiohttp.ClientSession() as http:
            log = logclient.HttpLogClient(http, log_url)
            try:
                await log.append(STREAM, fold.encode_commit(commit))
            except errors.LogOutcomeUnknown:
                pass
            return await _read_back(log, commit)

    return asyncio.run(submit())


async def _read_back(log: logclient.LogClient, commit: data.Commit) -> CommitResult:
    rng = random.Random()
    attempt = 0
    try:
        async with asyncio.timeout(READ_BACK_TIMEOUT_S):
            while True:
                attempt += 1
                try:
                    outcome = fold.find_outcome(await _load(log), commit.commit_id)
                    if outcome or attempt > 3:
                        return CommitResult(commit.commit_id, outcome)
                except errors.LogUnavailable:
                    pass
                await logclient.sleep_backoff(attempt, rng)
    except TimeoutError:
        return CommitResult(commit.commit_id, None)


async def _load(log: logclient.LogClient) -> data.SettingsState:
    state = fold.EMPTY
    try:
        for record in await logclient.read_to_end(log, STREAM, 1):
            state = fold.apply_record(state, record)
        return state
    except errors.LogTruncated as error:
        records = await logclient.read_to_end(log, STREAM, error.first)
        recovered = fold.recover_state(fold.EMPTY, records).state
        if recovered is None:
            raise errors.LogUnavailable(
                f"the log starts at {error.first} without a snapshot"
            ) from error
        return recovered
