"""How much one gateway may send to a cold replica, so that all together stay below its bound.

Load pattern: a zone of replicas comes back, or was evacuated, and all its replicas stand idle
and cold. Each gateway finds them the least loaded of all, and no gateway hears of the others'
sends within a second.

Way chosen: a few gateways for each replica, by rendezvous hash over stable names, have equal
whole shares a second, and the others none. A share of a rate for every gateway is less than one
request a second where there are many, and its chances add up: with 30 gateways at half a request
a second each, one second in forty has over 20. Two views of who the gateways are may name two
groups of senders, so each group gets half of the bound.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import xxhash

# Groups of gateways, by two views of who there are, that may send at the same time (chosen).
_VIEWS = 2
# Sends are counted over a second and a bit: what one machine sends a second apart may be closer
# together by another's clock (chosen).
WINDOW_S = 1.05


@dataclass(frozen=True)
class GatewaysKnown:
    """What a gateway knows of all gateways.

    Attributes:
        names: Their names, with its own; empty if only their number is known.
        count: How many there are.
    """

    names: Collection[str]
    count: int


def bound_per_s(bears_per_s: float, over: float, slack: float) -> float:
    """Return the most requests that a cold replica may get in any second.

    Args:
        bears_per_s: Requests a second that it bears.
        over: How many times that it may get.
        slack: Requests that it may get besides.
    """
    return bears_per_s * over + slack


def share_per_s(replica: str, gateway: str, known: GatewaysKnown, bound: float) -> int:
    """Return how many requests a gateway may send to a cold replica in any second.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: All gateways.
        bound: Most requests that the replica may get in any second, from all gateways.
    """
    total = int(bound / _VIEWS)
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


_WEIGHTS = 1 << 64


def _weight(replica: str, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{replica}\0{gateway}".encode())


class ColdLimits:
    """The shares of one gateway.

    Args:
        gateway: Its name.
        over: What all gateways may send to a cold replica, in multiples of what it bears.
        slack: Requests a second that they may send to it besides.
        gateways: Tells what is known of all gateways.
    """

    def __init__(
        self, gateway: str, over: float, slack: float, gateways: Callable[[], GatewaysKnown]
    ) -> None:
        self._gateway = gateway
        self._over = over
        self._slack = slack
        self._gateways = gateways
        self._known = GatewaysKnown((), 0)
        self._shares: dict[tuple[str, float], int] = {}

    def share(self, replica: str, bears_per_s: float) -> int:
        """Return how many requests the gateway may send to a cold replica in any second."""
        known = self._gateways()
        if known != self._known:
            self._known = known
            self._shares.clear()
        key = (replica, bears_per_s)
        found = self._shares.get(key)
        if found is None:
            bound = bound_per_s(bears_per_s, self._over, self._slack)
            found = share_per_s(replica, self._gateway, known, bound)
            self._shares[key] = found
        return found
