"""How much one gateway may send to a cold replica, so that all together stay below its bound.

Load pattern: a zone of replicas comes back, or was evacuated, and all its replicas stand idle
and cold. Each gateway finds them the least loaded of all, and no gateway hears of the others'
sends within a second.

Way chosen: the few senders of ``sender_selection``, with equal whole shares a second. Two views of who
the gateways are may name two groups of senders, so each group gets half of the bound.
"""

from collections.abc import Callable

from heronladder_router.decisions.sender_selection import (
    MEMBERSHIP_VIEWS,
    KnownGateways,
    selected_sender_share,
)

# Sends are counted over a second and a bit: what one machine sends a second apart may be closer
# together by another's clock.
COLD_WINDOW_S = 1.05


def cold_bound_per_s(cold_capacity_per_s: float, over: float, slack: float) -> float:
    """Return the most requests that a cold replica may get in any second.

    Args:
        cold_capacity_per_s: Requests a second that it bears.
        over: How many times that it may get.
        slack: Requests that it may get besides.
    """
    return cold_capacity_per_s * over + slack


def share_per_s(replica: str, gateway: str, known: KnownGateways, bound: float) -> int:
    """Return how many requests a gateway may send to a cold replica in any second.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: All gateways.
        bound: Most requests that the replica may get in any second, from all gateways.
    """
    return selected_sender_share(replica, gateway, known, int(bound / MEMBERSHIP_VIEWS))


class ColdLimits:
    """The shares of one gateway.

    Args:
        gateway: Its name.
        over: What all gateways may send to a cold replica, in multiples of what it bears.
        slack: Requests a second that they may send to it besides.
        gateways: Tells what is known of all gateways.
    """

    def __init__(
        self, gateway: str, over: float, slack: float, gateways: Callable[[], KnownGateways]
    ) -> None:
        self._gateway = gateway
        self._over = over
        self._slack = slack
        self._gateways = gateways
        self._known = KnownGateways((), 0)
        self._shares: dict[tuple[str, float], int] = {}

    def share(self, replica: str, cold_capacity_per_s: float) -> int:
        """Return how many requests the gateway may send to a cold replica in any second."""
        known = self._gateways()
        if known != self._known:
            self._known = known
            self._shares.clear()
        key = (replica, cold_capacity_per_s)
        found = self._shares.get(key)
        if found is None:
            bound = cold_bound_per_s(cold_capacity_per_s, self._over, self._slack)
            found = share_per_s(replica, self._gateway, known, bound)
            self._shares[key] = found
        return found
