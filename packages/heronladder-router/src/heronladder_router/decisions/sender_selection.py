"""Selects the few gateways that send to a replica of small capacity, without coordination.

If a small rate were divided among all gateways, each share would be less than one request per
second, and random variation would add up: with 30 gateways at 0.5 requests per second each, the
total exceeds 20 in one of 40 seconds. Therefore a few gateways send and the others do not. They
are selected by rendezvous hashing over stable names.

Two gateways with different membership views can select different groups of senders, so each group
gets half of the total.
"""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

MEMBERSHIP_VIEWS = 2  # groups of selected gateways that may send at the same time
_HASH_RANGE = 1 << 64


@dataclass(frozen=True)
class KnownGateways:
    """Membership view: what one gateway knows of all gateways.

    Attributes:
        names: Names of all gateways, including its own; empty if only their number is known.
        count: Number of gateways.
    """

    names: Collection[str]
    count: int


def selected_sender_share(replica: str, gateway: str, known: KnownGateways, total: int) -> int:
    """Return a gateway's integer share of a total that a few selected gateways divide equally.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: Membership view of the gateway.
        total: Total over all gateways.

    Returns:
        The share; 0 if the gateway is not selected.
    """
    if gateway in known.names:
        senders = max(1, min(total, len(known.names)))
        own = _weight(replica, gateway)
        before = sum(1 for name in known.names if _weight(replica, name) > own)
        return total // senders if before < senders else 0
    # Only the number of gateways is known: each selects itself with the probability that gives
    # the same expected number of senders.
    chance = total / max(1, known.count)
    if chance >= 1:
        return int(chance)
    return 1 if _weight(replica, gateway) < chance * _HASH_RANGE else 0


def _weight(replica: str, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{replica}\0{gateway}".encode())
