"""The record of a run: what was sent, answered and run, with times in seconds."""

import time


class Record:
    """Writes lines to a file, each with the time since the start of the run."""

    def __init__(self, path: str) -> None:
        self._stream = open(path, "w", buffering=1)  # noqa: SIM115
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes a line."""
        self._stream.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._stream.close()
