"""Records that nodes write about themselves into the store.

Other writers may leave entries among them, so a record is only used if all its values
are possible ones.
"""

import math
from typing import NamedTuple

import msgspec

from .. import data, values
from ..routing import call_graph

MAX_INTEGER = 2**63 - 1  # integers travel between nodes in 64 bits


class StoredBlock(NamedTuple):
    """A request that is not run because it crashed endpoints.

    :param fingerprint: see :mod:`..crashes.fingerprint`.
    :param ends_at_ms: Unix time at which it may run once more, in milliseconds.
    :param count: how often it has been blocked.
    """

    fingerprint: bytes
    ends_at_ms: int
    count: int


class NodeRecord(NamedTuple):
    """Record that a node writes about itself into the store.

    :param address: address where it accepts connections of other nodes.
    :param service: service of its endpoint.
    :param boot_id: identity of this start of its process.
    :param edges: edges of the call graph that it counted; a node that starts reads
        them here.
    :param tombstones: instance IDs of endpoints that announced their departure to it,
        with the Unix times of their starts in milliseconds.
    :param blocks: requests that were blocked after a crash of its endpoint. Nodes of
        former versions cannot read a record with this field, so it is left out while
        it is empty.
    """

    address: str
    zone: str
    service: str
    boot_id: str
    edges: tuple[call_graph.Edge, ...] = ()
    tombstones: tuple[tuple[str, int], ...] = ()
    blocks: tuple[StoredBlock, ...] = ()


def encode_record(record: NodeRecord) -> bytes:
    """Encodes a node record, without its last field if that is empty."""
    return msgspec.msgpack.encode(record if record.blocks else tuple(record)[:-1])


def parse_record(raw: bytes) -> NodeRecord:
    """Parses a node record.

    :raises data.DecodeError: if it is not a record or has an impossible value; the
        message names the fault.
    """
    try:
        record = msgspec.msgpack.decode(raw, type=NodeRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise data.DecodeError(str(error)) from error
    if not values.is_address(record.address):
        raise data.DecodeError(f"invalid address {record.address!r}")
    for edge in record.edges:
        if not 0.0 <= edge.calls < math.inf:
            raise data.DecodeError(f"invalid number of calls {edge.calls}")
    for _, start_ms in record.tombstones:
        if not 0 <= start_ms <= MAX_INTEGER:
            raise data.DecodeError(f"invalid start {start_ms}")
    for block in record.blocks:
        if block.count < 1 or not 0 <= block.ends_at_ms <= MAX_INTEGER:
            raise data.DecodeError(f"invalid block {block}")
    return record
