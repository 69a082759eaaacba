"""Ranks: the order in which calls are admitted under overload.

A rank is the priority class, then the depth in the chain, then a bucket derived
from the trace identity. The bucket lets a node shed a part of a class, and sheds
the same root requests at every node of the chain, so that one request's calls
are admitted together or refused together.
"""

import zlib

DEPTH_COUNT = 4
BUCKET_COUNT = 16
RANKS_PER_CLASS = DEPTH_COUNT * BUCKET_COUNT

LOWEST = 0


def compute_rank(priority: int, depth: int, trace_id: str) -> int:
    """Computes the rank of a call; higher is admitted first."""
    bucket = zlib.crc32(trace_id.encode()) % BUCKET_COUNT
    return (
        priority * RANKS_PER_CLASS + min(depth, DEPTH_COUNT - 1) * BUCKET_COUNT + bucket
    )


def get_priority(rank: int) -> int:
    """Gets the priority class of a rank."""
    return rank // RANKS_PER_CLASS
