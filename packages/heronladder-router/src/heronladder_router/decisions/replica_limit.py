"""Decides whether a gateway may send to a rate-limited replica, and how many grants it requests.

A rate-limited replica reports a limit that applies to all gateways together. Clients are
distributed unevenly over the gateways, and each gateway sees only a part of the responses.

The leader therefore grants single sends, which expire within a second (the alternatives are
compared in docs/design/shared-bounds.md). While no leader is heard, a few selected gateways share
the limit, half of it for each of two membership views. Dividing it among all gateways does not
work: each share of a small limit would be less than one request, and random variation would add up
to more than the limit.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from heronladder_router.decisions.sender_selection import (
    MEMBERSHIP_VIEWS,
    KnownGateways,
    selected_sender_share,
)

#: Window over which sends without a grant are counted. Compliance with a replica's limit is judged
#: over the same window.
LIMIT_WINDOW_S = 4.0
#: When no leader has been heard for longer, gateways use their shares without a leader. The latest
#: grants have expired by then.
LEADER_SILENCE_LIMIT_S = 1.0
#: Window over which a gateway measures its demand. It lasts until the second next heartbeat is
#: answered.
DEMAND_WINDOW_S = 0.6
_MAX_REQUESTED_SENDS = 512  # per service; far more than one gateway sends in DEMAND_WINDOW_S


class LimitVerdict(Enum):
    """Whether a rate-limited replica may be sent to, and why.

    Attributes:
        GRANTED: This gateway holds a grant of the leader.
        NOT_GRANTED: A leader is heard, and this gateway holds no grant.
        WITHIN_SHARE: No leader is heard, and the share of this gateway is not used up.
        NO_SHARE_LEFT: No leader is heard, and this gateway has no share or has used it up.
    """

    GRANTED = "granted"
    NOT_GRANTED = "not_granted"
    WITHIN_SHARE = "one_of_few"
    NO_SHARE_LEFT = "none_of_few"

    @property
    def may_send(self) -> bool:
        """Whether the replica may be sent to."""
        return self in (LimitVerdict.GRANTED, LimitVerdict.WITHIN_SHARE)


@dataclass(frozen=True)
class LimitView:
    """State from which it is decided whether a rate-limited replica may be sent to.

    Attributes:
        replica: Identity of the replica.
        per_s: Requests per second that it accepts from all gateways together.
        now_s: Current time in seconds.
        grants_s: Expiry times of the grants that this gateway holds.
        sends_s: Times at which this gateway sent to the replica, over at least the last
            ``LIMIT_WINDOW_S``.
        silent_s: Time since a leader was last heard, in seconds.
        gateway: Name of this gateway.
        known: Membership view of this gateway.
    """

    replica: str
    per_s: float
    now_s: float
    grants_s: Sequence[float]
    sends_s: Sequence[float]
    silent_s: float
    gateway: str
    known: KnownGateways


def check_limit(view: LimitView) -> LimitVerdict:
    """Return whether a rate-limited replica may be sent to, and why."""
    if any(until_s > view.now_s for until_s in view.grants_s):
        return LimitVerdict.GRANTED
    if view.silent_s < LEADER_SILENCE_LIMIT_S:
        return LimitVerdict.NOT_GRANTED
    sent = sum(1 for sent_s in view.sends_s if sent_s > view.now_s - LIMIT_WINDOW_S)
    may_send = sent < share_without_leader(view.replica, view.gateway, view.known, view.per_s)
    return LimitVerdict.WITHIN_SHARE if may_send else LimitVerdict.NO_SHARE_LEFT


def share_without_leader(replica: str, gateway: str, known: KnownGateways, per_s: float) -> int:
    """Return how many sends a gateway may make in any ``LIMIT_WINDOW_S`` without a grant.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: Membership view of the gateway.
        per_s: Requests per second that the replica accepts from all gateways together.
    """
    # At least one send is allowed, because only a response shows that the limit no longer applies.
    total = max(1, int(per_s * LIMIT_WINDOW_S / MEMBERSHIP_VIEWS))
    return selected_sender_share(replica, gateway, known, total)


def sends_wanted(requests: int, waiting: int, limited: int, usable: int, held: int) -> int:
    """Return how many grants to request for all rate-limited replicas of a service.

    A grant that is not used is lost to all gateways. Therefore, if all replicas are rate-limited, a
    grant is requested when its request arrives, and in advance only for one request fewer than
    arrived in the last window. If only some replicas are rate-limited, grants are requested for
    their proportion of the requests.

    Args:
        requests: Requests for the service in the last ``DEMAND_WINDOW_S``.
        waiting: Requests that wait for a grant.
        limited: Number of replicas of the service that are rate-limited.
        usable: Number of replicas of the service.
        held: Grants that are held and not used yet.
    """
    all_limited = limited >= usable
    ahead = requests - 1 if all_limited else math.ceil(requests * limited / usable)
    return min(_MAX_REQUESTED_SENDS, max(0, waiting + ahead - held))
