"""An event loop in virtual time, used by tests of timers: it never waits."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

Result = TypeVar("Result")


class _SkippingSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting.

    :ivar now: virtual time, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the time by the timeout; there are no events."""
        if timeout is None:
            raise RuntimeError("all tasks wait for ever")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances to the next timer at once."""

    def __init__(self) -> None:
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._skipping_selector.now


def run(main: Coroutine[None, None, Result]) -> Result:
    """Runs a coroutine in virtual time, and cancels the tasks that it leaves."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


class TestVirtualTime:
    """Waiting takes no time, but the clock advances."""

    def test_sleep_advances_the_clock(self) -> None:
        async def sleep() -> float:
            await asyncio.sleep(1000.0)
            return asyncio.get_running_loop().time()

        assert 1000.0 <= run(sleep()) < 1001.0

    def test_timeout_ends_a_wait(self) -> None:
        async def wait() -> bool:
            try:
                async with asyncio.timeout(5.0):
                    await asyncio.Event().wait()
            except TimeoutError:
                return True
            return False

        assert run(wait())
