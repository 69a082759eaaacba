"""Decides whether a node reads configs from the store or gets them from its peers.

If every node read the store, each change of the config would cost as many calls as
there are nodes. A few readers among the peers of each node are enough: a reader sends
its config version to its peers at once, and they request the config from it. A reader
that cannot reach the store counts only as a replacement that is being tried, so that a
store that refuses some nodes is read by others.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from .. import data

MIN_READER_COUNT = 4
SUFFICIENT_READER_COUNT = 6  # a margin, since several may stop reading at the same time
MAX_TRYING_COUNT = 12


class PeerReading(NamedTuple):
    """How a responsive peer gets its configs.

    :param address: address where it accepts connections of other nodes.
    """

    address: str
    reading: data.ConfigReading


def should_read_store(
    own_address: str, own_reading: data.ConfigReading, peers: Iterable[PeerReading]
) -> bool:
    """Returns whether this node should read configs from the store from now on.

    Of more readers than needed, those that come first in a fixed random order stay.

    :param own_reading: how this node gets its configs at present.
    :param peers: the responsive peers.
    """
    readers = []
    trying_count = 0
    for peer in peers:
        if peer.reading is data.ConfigReading.FROM_STORE:
            readers.append(peer.address)
        elif peer.reading is data.ConfigReading.STORE_UNREACHABLE:
            trying_count += 1
    if own_reading is data.ConfigReading.FROM_PEERS:
        is_short_of_readers = len(readers) < MIN_READER_COUNT
        return is_short_of_readers and len(readers) + trying_count < MAX_TRYING_COUNT
    if own_reading is data.ConfigReading.STORE_UNREACHABLE:
        return len(readers) < MIN_READER_COUNT
    own_position = get_position(own_address)
    preceding = [address for address in readers if get_position(address) < own_position]
    return len(preceding) < SUFFICIENT_READER_COUNT


def is_first_to_try(own_address: str, peers: Iterable[PeerReading]) -> bool:
    """Returns whether this node is among the first of those that try to read the store.

    These must notice soon that the store is back. The others are there in case that it
    refuses just the first ones, and may take longer.

    :param peers: the responsive peers.
    """
    own_position = get_position(own_address)
    preceding_count = sum(
        peer.reading is data.ConfigReading.STORE_UNREACHABLE
        and get_position(peer.address) < own_position
        for peer in peers
    )
    return preceding_count < MIN_READER_COUNT


@functools.lru_cache(maxsize=1024)
def get_position(address: str) -> bytes:
    """Returns the position of a node in a random order on which all nodes agree."""
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
