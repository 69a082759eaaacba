"""Reads the settings from the log service and appends commits to it."""

import asyncio
import random
import uuid
from typing import NamedTuple

import aiohttp
from catkintiller import data, errors, fold, logclient

SETTINGS_STREAM = "settings"
READ_BACK_TIMEOUT_S = 10.0


class CommitResult(NamedTuple):
    """Result of submitting a commit; ``outcome`` is ``None`` if it is unknown."""

    commit_id: str
    outcome: data.Outcome | None


def load_state(log_url: str) -> data.SettingsState:
    """Reads the settings stream to its end and folds its records.

    :param log_url: base URL of the log service.
    :raises errors.LogUnavailable: if the log service does not respond.
    """

    async def load() -> data.SettingsState:
        async with aiohttp.ClientSession() as http:
            return await _load_state(logclient.HttpLogClient(http, log_url))

    return asyncio.run(load())


def build_commit(
    state: data.SettingsState,
    changes: tuple[data.Change, ...],
    author: str,
    message: str,
) -> data.Commit:
    """Builds a commit that is based on ``state``."""
    paths = {change.path for change in changes}
    base = {path: state.versions.get(path, 0) for path in paths}
    return data.Commit(uuid.uuid4().hex[:12], author, message, base, changes)


def submit_commit(log_url: str, commit: data.Commit) -> CommitResult:
    """Appends a commit and reads its outcome back.

    A commit is reported as accepted only after it has been read back and folded. If
    the response to the append is lost, reading back shows whether the commit was
    appended. Submitting it again is safe, since only the first record of a commit ID
    takes effect.

    :raises errors.LogUnavailable: if the commit was certainly not appended.
    """

    async def submit() -> CommitResult:
        async with aiohttp.ClientSession() as http:
            log = logclient.HttpLogClient(http, log_url)
            try:
                await log.append(SETTINGS_STREAM, fold.encode_commit(commit))
            except errors.LogOutcomeUnknown:
                pass
            return await _wait_for_outcome(log, commit)

    return asyncio.run(submit())


async def _wait_for_outcome(
    log: logclient.LogClient, commit: data.Commit
) -> CommitResult:
    rng = random.Random()
    attempt = 0
    try:
        async with asyncio.timeout(READ_BACK_TIMEOUT_S):
            while True:
                attempt += 1
                try:
                    outcome = fold.find_outcome(
                        await _load_state(log), commit.commit_id
                    )
                    if outcome or attempt > 3:
                        return CommitResult(commit.commit_id, outcome)
                except errors.LogUnavailable:
                    pass
                await logclient.sleep_backoff(attempt, rng)
    except TimeoutError:
        return CommitResult(commit.commit_id, None)


async def _load_state(log: logclient.LogClient) -> data.SettingsState:
    state = fold.EMPTY
    try:
        for record in await logclient.read_to_end(log, SETTINGS_STREAM, 1):
            state = fold.apply_record(state, record)
        return state
    except errors.LogTruncated as error:
        records = await logclient.read_to_end(log, SETTINGS_STREAM, error.first)
        recovered_state = fold.recover_state(fold.EMPTY, records).state
        if recovered_state is None:
            raise errors.LogUnavailable(
                f"the log starts at offset {error.first} and holds no usable snapshot"
            ) from error
        return recovered_state
