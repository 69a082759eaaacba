"""Memory limit that all bodies at a node share, whether received, held or being sent.

Handles many large bodies that arrive at the same time, some of them slowly: without a
common limit, each of them is small enough and together they exceed the memory.
"""

# Part of the memory limit of the process that bodies may take.
MEMORY_SHARE = 0.25
# Part of the budget that clients' requests leave to bodies from peers and to responses.
# Nodes whose budgets are full of their own clients' bodies could otherwise not take
# bodies from each other until those requests time out.
CLIENT_SHARE = 0.8
# Part that bodies of clients and peers leave to responses, whose requests have run.
PEER_SHARE = 0.9
# Bodies up to this size may take the whole budget: calls between services are not
# refused because of uploads.
SMALL_BODY_BYTES = 4096
BYTES_PER_MB = 1024 * 1024


class BodyBudget:
    """Bytes that bodies take, with a limit.

    :ivar limit_bytes: bytes that all bodies may take together.
    :ivar used_bytes: bytes that they take now.
    :ivar refused_count: reservations that were refused.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.refused_count = 0

    @property
    def peer_limit_bytes(self) -> int:
        """Bytes up to which bodies from peers are taken."""
        return int(self.limit_bytes * PEER_SHARE)

    def reserve(self, count: int) -> bool:
        """Reserves room; returns whether there was enough.

        :param count: number of bytes.
        """
        return self._reserve_up_to(count, self.limit_bytes)

    def reserve_for_client(self, count: int, total_bytes: int) -> bool:
        """Reserves room for a body of a client; a part is left for other bodies.

        :param count: number of bytes.
        :param total_bytes: size of the body with them.
        """
        if total_bytes <= SMALL_BODY_BYTES:
            return self.reserve(count)
        return self._reserve_up_to(count, int(self.limit_bytes * CLIENT_SHARE))

    def reserve_for_peer(self, count: int) -> bool:
        """Reserves room for a body from a peer; a part is left for responses.

        :param count: number of bytes; at most ``peer_limit_bytes``.
        """
        return self._reserve_up_to(count, self.peer_limit_bytes)

    def take(self, count: int) -> None:
        """Counts a body that is in memory already, even above the limit.

        :param count: number of bytes.
        """
        self.used_bytes += count

    def release(self, count: int) -> None:
        """Gives room back.

        :param count: number of bytes.
        """
        self.used_bytes -= count

    def _reserve_up_to(self, count: int, limit_bytes: int) -> bool:
        if self.used_bytes + count > limit_bytes:
            self.refused_count += 1
            return False
        self.used_bytes += count
        return True


def create_budget(memory_mb: int) -> BodyBudget:
    """Creates the budget of all bodies of a process.

    :param memory_mb: memory limit of the process, in megabytes.
    """
    return BodyBudget(int(memory_mb * BYTES_PER_MB * MEMORY_SHARE))
