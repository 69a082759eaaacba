"""Selects the nodes that a node keeps connections to.

A connection to every other node costs each node more with every node that is added.
Each node therefore connects only to a bounded subset of the nodes beside each service's
endpoints, and to all of them if the service is small. Rendezvous hashing gives every
pair of nodes a fixed random weight: the subsets of different nodes are spread evenly,
and a node that joins or leaves changes few of them.

Handles deployments of any size, and the simultaneous loss of many nodes.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

SUBSET_SIZE = 24
SAME_ZONE_SIZE = 14


class Member(NamedTuple):
    """A node as listed in the store or as it introduced itself.

    :param address: address where it accepts connections of other nodes.
    :param service: service of its endpoint; empty if not known yet.
    """

    address: str
    zone: str
    service: str


def compute_weight(own_address: str, address: str) -> int:
    """Computes the rendezvous weight of a node for this node."""
    key = f"{own_address}|{address}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def select_subset(
    members: Iterable[Member],
    weights: Mapping[str, int],
    zone: str,
    unreachable: Iterable[str] = (),
) -> list[Member]:
    """Selects the members of one service to connect to.

    Members of the own zone come first. An unreachable member that would be selected
    stays selected, so that its return is noticed, and another one is added.

    :param members: nodes beside the endpoints of one service.
    :param weights: rendezvous weights of the members by address.
    :param zone: availability zone of this node.
    :param unreachable: addresses that this node cannot reach.
    """
    lost = set(unreachable)
    ordered = sorted(members, key=lambda member: weights[member.address], reverse=True)
    if sum(member.address not in lost for member in ordered) <= SUBSET_SIZE:
        return ordered
    same_zone = [member for member in ordered if member.zone == zone]
    other_zone = [member for member in ordered if member.zone != zone]
    selected, reachable_count = _take(same_zone, SAME_ZONE_SIZE, lost)
    rest, rest_count = _take(other_zone, SUBSET_SIZE - reachable_count, lost)
    selected += rest
    reachable_count += rest_count
    if reachable_count < SUBSET_SIZE:
        remaining = [member for member in same_zone if member not in selected]
        selected += _take(remaining, SUBSET_SIZE - reachable_count, lost)[0]
    return selected


def _take(
    ordered: list[Member], count: int, lost: set[str]
) -> tuple[list[Member], int]:
    """Takes members from the start until ``count`` of them are reachable.

    :returns: the members, and how many of them are reachable.
    """
    taken: list[Member] = []
    reachable_count = 0
    for member in ordered:
        if reachable_count >= count:
            break
        taken.append(member)
        reachable_count += member.address not in lost
    return taken, reachable_count
