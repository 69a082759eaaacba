"""Ranks: the order in which requests are admitted under overload.

A rank consists of the priority class, the depth in the call graph, and a bucket that
is derived from the trace ID, in descending order of significance. Higher ranks are
admitted first. Buckets make it possible to shed a part of a class. Since all nodes
compute the same bucket, they shed the same root requests, and all calls of one root
request are admitted or refused together.
"""

import zlib

DEPTH_COUNT = 4
BUCKET_COUNT = 16
RANKS_PER_CLASS = DEPTH_COUNT * BUCKET_COUNT

LOWEST = 0


def compute_rank(priority: int, depth: int, trace_id: str) -> int:
    """Computes the rank of a request; higher ranks are admitted first.

    :param priority: index of the priority class; 0 is the lowest.
    :param depth: number of calls between the root request and this one.
    :param trace_id: trace ID of the root request.
    """
    bucket = zlib.crc32(trace_id.encode()) % BUCKET_COUNT
    return (
        priority * RANKS_PER_CLASS + min(depth, DEPTH_COUNT - 1) * BUCKET_COUNT + bucket
    )


def get_priority(rank: int) -> int:
    """Returns the priority class of a rank."""
    return rank // RANKS_PER_CLASS
