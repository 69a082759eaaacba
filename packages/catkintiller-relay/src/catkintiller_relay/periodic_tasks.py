"""Runs the short tasks of a node that recur, each at its own interval."""

import asyncio
from collections.abc import Callable

TICK_INTERVAL_S = 0.05
EVERY_TICK_S = 0.0

Run = Callable[[float, float], None]


class PeriodicTask:
    """A task with the times of its last and its next run.

    :param interval_s: time between two runs, in seconds.
    :param run: called with the time of the event loop and the time since its last run,
        both in seconds.
    :param now: time of the event loop, in seconds.
    """

    def __init__(self, interval_s: float, run: Run, now: float) -> None:
        self._interval_s = interval_s
        self._run = run
        self._last_run_at = now
        self._due_at = now

    def run_if_due(self, now: float) -> None:
        """Runs the task if its interval has passed."""
        if now < self._due_at:
            return
        elapsed_s, self._last_run_at = now - self._last_run_at, now
        self._due_at = now + self._interval_s
        self._run(now, elapsed_s)


class PeriodicTasks:
    """The periodic tasks of a node; those that are due run in the order of adding."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: list[PeriodicTask] = []

    def add(self, interval_s: float, run: Run) -> None:
        """Adds a task.

        :param interval_s: time between two runs, in seconds.
        :param run: see :class:`PeriodicTask`.
        """
        self._tasks.append(PeriodicTask(interval_s, run, self._loop.time()))

    async def run(self) -> None:
        """Runs the tasks until it is cancelled.

        :raises Exception: the exception of a task.
        """
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._loop.time()
            for task in self._tasks:
                task.run_if_due(now)
