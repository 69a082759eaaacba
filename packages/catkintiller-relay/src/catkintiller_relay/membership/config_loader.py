"""Prepares configs and puts them in force in the order of their versions.

A config with thousands of customers takes longer to parse than the event loop may be
blocked. It is prepared in slices, between which requests are handled by the config in
force, and is put in force as a whole. A config with few customers is put in force at
once.
"""

import asyncio
from collections.abc import Callable, Generator

from .. import data, interfaces
from ..telemetry import events


class _Preparation:
    """A config that is being prepared.

    :param slices: yields the version between slices and returns the config.
    :param raw: bytes of the config.
    :param source: where it came from.
    :ivar version: its version, known after the first slice.
    """

    def __init__(
        self, slices: Generator[int, None, data.Config], raw: bytes, source: str
    ) -> None:
        self.slices = slices
        self.raw = raw
        self.source = source
        self.version = 0


class ConfigLoader:
    """The config in force, and those that are being prepared.

    A preparation that has begun is completed. Of those that wait then, the newest is
    next; an older one is only needed if that is invalid.

    :param platform: parses the configs.
    :param apply: called with each config that comes into force and its source.
    :param on_task_done: called with the task of the preparations when it has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        platform: interfaces.Platform,
        log: events.EventLog,
        apply: Callable[[data.Config, str], None],
        on_task_done: Callable[[asyncio.Task], None],
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._log = log
        self._apply = apply
        self._on_task_done = on_task_done
        self._config: data.Config | None = None
        self._preparations: list[_Preparation] = []
        self._task: asyncio.Task | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def config(self) -> data.Config | None:
        """The config in force; None without one."""
        return self._config

    @property
    def version(self) -> int:
        """Version of the config in force; 0 without one."""
        return self._config.version if self._config is not None else 0

    @property
    def newest_version(self) -> int:
        """Newest version that is in force or being prepared; 0 without one."""
        return max([self.version, *(each.version for each in self._preparations)])

    def load(self, raw: bytes, source: str) -> None:
        """Puts a config in force if it is newer, at once unless it is large.

        :param source: where it came from, for the log.
        """
        if any(each.raw == raw for each in self._preparations):
            return
        slices = self._platform.parse_config_in_slices(raw, self._config)
        preparation = _Preparation(slices, raw, source)
        if self._advance(preparation):
            return
        self._preparations.append(preparation)
        if self._idle.is_set():
            self._idle.clear()
            self._task = self._loop.create_task(self._run_preparations())
            self._task.add_done_callback(self._on_task_done)

    async def load_and_wait(self, raw: bytes, source: str) -> None:
        """Loads a config; returns when it and all others are in force or refused."""
        self.load(raw, source)
        await self._idle.wait()

    def close(self) -> None:
        """Ends the preparations."""
        if self._task is not None:
            self._task.cancel()

    async def _run_preparations(self) -> None:
        while self._preparations:
            newest = max(self._preparations, key=lambda each: each.version)
            has_ended = False
            while not has_ended:
                await asyncio.sleep(0)
                has_ended = self._advance(newest)
            self._preparations.remove(newest)
        self._idle.set()

    def _advance(self, preparation: _Preparation) -> bool:
        """Runs one slice.

        :returns: whether the preparation has ended: the config is in force, invalid or
            not newer than the one in force.
        """
        try:
            preparation.version = next(preparation.slices)
        except StopIteration as end:
            self._put_in_force(end.value, preparation.source)
            return True
        except data.DecodeError as error:
            self._log.write(
                "config", "Config ignored: it is not valid.", why=str(error)
            )
            return True
        return not self._is_newer(preparation.version)

    def _is_newer(self, version: int) -> bool:
        return self._config is None or version > self._config.version

    def _put_in_force(self, config: data.Config, source: str) -> None:
        if not self._is_newer(config.version):
            return
        self._config = config
        self._apply(config, source)
