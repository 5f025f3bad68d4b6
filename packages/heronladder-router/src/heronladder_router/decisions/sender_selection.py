"""Which few gateways send to a replica that bears little, where nobody shares it out.

A share of a rate for every gateway is less than one request a second where there are many, and its
chances add up: with 30 gateways at half a request a second each, one second in forty has over 20.
So a few gateways send, by rendezvous hash over stable names, and the others do not. Two views of
who the gateways are may name two groups of senders: each group gets half of what may be sent.
"""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

MEMBERSHIP_VIEWS = 2  # groups of gateways that may send at the same time
_WEIGHTS = 1 << 64


@dataclass(frozen=True)
class KnownGateways:
    """What a gateway knows of all gateways.

    Attributes:
        names: Their names, with its own; empty if only their number is known.
        count: How many there are.
    """

    names: Collection[str]
    count: int


def selected_sender_share(replica: str, gateway: str, known: KnownGateways, total: int) -> int:
    """Return a gateway's whole share of a number that few gateways have in equal parts.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: All gateways.
        total: What all together have.
    """
    if gateway in known.names:
        senders = max(1, min(total, len(known.names)))
        own = _weight(replica, gateway)
        before = sum(1 for name in known.names if _weight(replica, name) > own)
        return total // senders if before < senders else 0
    # Only their number is known: each sends with the chance that makes as many senders.
    chance = total / max(1, known.count)
    if chance >= 1:
        return int(chance)
    return 1 if _weight(replica, gateway) < chance * _WEIGHTS else 0


def _weight(replica: str, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{replica}\0{gateway}".encode())
