"""Limits what each gateway sends to a cold replica, so that all together stay below a bound.

When the replicas of a zone return after an outage or an evacuation, all of them are idle and cold.
Every gateway then estimates that they are the least loaded replicas, and no gateway learns within
a second what the others send.

Therefore only a few gateways send to a cold replica, with equal integer shares per second. They
are selected by ``sender_selection``. Two gateways with different membership views can select two
different groups of senders, so each group gets half of the bound.
"""

from collections.abc import Callable

from heronladder_router.decisions.sender_selection import (
    MEMBERSHIP_VIEWS,
    KnownGateways,
    selected_sender_share,
)

# Slightly longer than a second: requests that one machine sends a second apart can be closer
# together by the clock of another machine.
COLD_WINDOW_S = 1.05


def cold_bound_per_s(cold_capacity_per_s: float, capacity_factor: float, slack: float) -> float:
    """Return the upper bound on requests to a cold replica in any second.

    Args:
        cold_capacity_per_s: Requests per second that the replica can handle while it is cold.
        capacity_factor: Multiple of that capacity that is allowed.
        slack: Requests per second that are allowed in addition.
    """
    return cold_capacity_per_s * capacity_factor + slack


def share_per_s(replica: str, gateway: str, known: KnownGateways, bound: float) -> int:
    """Return how many requests a gateway may send to a cold replica in any second.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: Membership view of the gateway.
        bound: Upper bound on requests to the replica in any second, over all gateways.
    """
    return selected_sender_share(replica, gateway, known, int(bound / MEMBERSHIP_VIEWS))


class ColdLimits:
    """Shares of one gateway in the bounds of cold replicas.

    The shares are cached until the membership view changes.

    Args:
        gateway: Name of the gateway.
        capacity_factor: Multiple of the cold capacity of a replica that all gateways together may
            send.
        slack: Requests per second that they may send in addition.
        gateways: Returns the current membership view.
    """

    def __init__(
        self,
        gateway: str,
        capacity_factor: float,
        slack: float,
        gateways: Callable[[], KnownGateways],
    ) -> None:
        self._gateway = gateway
        self._capacity_factor = capacity_factor
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
            bound = cold_bound_per_s(cold_capacity_per_s, self._capacity_factor, self._slack)
            found = share_per_s(replica, self._gateway, known, bound)
            self._shares[key] = found
        return found
