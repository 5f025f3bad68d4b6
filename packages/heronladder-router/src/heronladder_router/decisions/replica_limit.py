"""Whether this gateway may send to a rate-limited replica, and how much of its limit it asks for.

A rate-limited replica names what it takes from all gateways together. Load pattern: some or all
replicas of a service are; callers are uneven, and each gateway sees a part of the answers only.

Way chosen, of three that were compared (docs/design/shared-bounds.md): the leader grants sends that
run out within a second. While no leader is heard, a few gateways share half of the limit, each of
two views of who they are; even parts of a small limit are less than one request a gateway, and
their chances add up beyond it.
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

#: Sends without a grant are counted over so long: the span over which users judge them.
LIMIT_WINDOW_S = 4.0
#: Without a leader's word for longer, gateways go by what they share without one: the newest
#: grants have run out by then.
LEADER_SILENCE_LIMIT_S = 1.0
#: A gateway asks for what it would have sent in so long: until the answer to its next heartbeat
#: but one.
DEMAND_WINDOW_S = 0.6
_MOST_ASKED = 512  # at one service; far beyond what one gateway sends in that time


class LimitVerdict(Enum):
    """Whether a rate-limited replica may be sent to, and why."""

    GRANTED = "granted"
    NOT_GRANTED = "not_granted"
    WITHIN_SHARE = "one_of_few"
    NO_SHARE_LEFT = "none_of_few"

    @property
    def may_send(self) -> bool:
        """Whether it may be sent to."""
        return self in (LimitVerdict.GRANTED, LimitVerdict.WITHIN_SHARE)


@dataclass(frozen=True)
class LimitView:
    """What is known when a rate-limited replica may be chosen.

    Attributes:
        replica: Its identity.
        per_s: Requests a second that it takes from all gateways.
        now_s: Time.
        grants_s: Until when each send may be made that the leader granted.
        sends_s: When this gateway sent to it, over ``LIMIT_WINDOW_S`` at least.
        silent_s: How long no leader was heard.
        gateway: Name of this gateway.
        known: All gateways.
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
    """Return whether a rate-limited replica may be sent to."""
    if any(until_s > view.now_s for until_s in view.grants_s):
        return LimitVerdict.GRANTED
    if view.silent_s < LEADER_SILENCE_LIMIT_S:
        return LimitVerdict.NOT_GRANTED
    sent = sum(1 for moment_s in view.sends_s if moment_s > view.now_s - LIMIT_WINDOW_S)
    may_send = sent < share_without_leader(view.replica, view.gateway, view.known, view.per_s)
    return LimitVerdict.WITHIN_SHARE if may_send else LimitVerdict.NO_SHARE_LEFT


def share_without_leader(replica: str, gateway: str, known: KnownGateways, per_s: float) -> int:
    """Return the sends that a gateway may make in any ``LIMIT_WINDOW_S`` without a grant.

    Args:
        replica: Identity of the replica.
        gateway: Name of the gateway.
        known: All gateways.
        per_s: Requests a second that the replica takes from all gateways.
    """
    # One at least: only an answer tells that the need has ended.
    total = max(1, int(per_s * LIMIT_WINDOW_S / MEMBERSHIP_VIEWS))
    return selected_sender_share(replica, gateway, known, total)


def sends_wanted(requests: int, waiting: int, limited: int, usable: int, held: int) -> int:
    """Return how many sends to ask the leader for, at all rate-limited replicas of a service.

    A send that is granted and not made is lost to all gateways. So where all replicas are
    rate-limited one is asked for as its request comes, and ahead of it only as far as requests
    come surely.

    Args:
        requests: Requests for the service in the last ``DEMAND_WINDOW_S``.
        waiting: Requests that wait for a grant.
        limited: Replicas of the service that are rate-limited.
        usable: All replicas of the service.
        held: Sends that are granted and not made yet.
    """
    all_limited = limited >= usable
    ahead = requests - 1 if all_limited else math.ceil(requests * limited / usable)
    return min(_MOST_ASKED, max(0, waiting + ahead - held))
