"""Records about a crash of an endpoint."""

import hashlib
from typing import NamedTuple

CRASH_ID_BYTES = 8


class CrashedRun(NamedTuple):
    """A request that ran when an endpoint crashed, or shortly before.

    :param fingerprint: see :mod:`.fingerprint`.
    :param running_s: time since it was sent to the endpoint, in seconds.
    :param is_only_suspect: whether it ran as a suspect of an earlier crash, and no
        other request did.
    """

    request_id: bytes
    fingerprint: bytes
    running_s: float
    is_only_suspect: bool


class EndpointCrash(NamedTuple):
    """A crash of the endpoint beside this node.

    :param instance: instance ID of the endpoint.
    :param start_ms: Unix time of the start that ended, in milliseconds.
    :param runs: requests that ran, the one that was sent last first, and then those
        that were cancelled shortly before.
    """

    instance: str
    start_ms: int
    service: str
    runs: tuple[CrashedRun, ...]

    @property
    def crash_id(self) -> bytes:
        """Identity of the crash: an endpoint crashes once in each of its starts."""
        start = f"{self.instance}|{self.start_ms}".encode()
        return hashlib.blake2b(start, digest_size=CRASH_ID_BYTES).digest()
