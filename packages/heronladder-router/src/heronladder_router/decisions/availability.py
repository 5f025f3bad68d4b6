"""Decides whether a replica accepts new requests, from what it has reported about itself.

The gateway checks availability twice: when it chooses a replica, and just before it writes the
head of a request. In between, the request may have waited for a connection, and the replica may
have changed its state in a response to another request.
"""

import math
from dataclasses import dataclass
from enum import Enum


class Availability(Enum):
    """Whether new requests may be sent to a replica, and if not, why."""

    AVAILABLE = "available"
    BACKING_OFF = "backing_off"
    LEAVING = "leaving"
    MISDIRECTED = "misdirected"
    UNREGISTERED = "unregistered"


@dataclass(frozen=True)
class AvailabilityView:
    """State from which the availability of a replica is decided.

    Attributes:
        now_s: Current time in seconds, on a clock that continues while the machine is suspended.
        registered: Whether this incarnation of the replica is registered and not draining.
        back_off_until_s: Time until which the replica asked this gateway to send no requests.
        leaving: Whether the replica announced that it is leaving. This holds for the rest of the
            incarnation, whatever later heartbeats report.
        misdirected: Whether a process at the replica's address recently answered that it is a
            different replica.
    """

    now_s: float
    registered: bool = True
    back_off_until_s: float = -math.inf
    leaving: bool = False
    misdirected: bool = False


def check_availability(view: AvailabilityView) -> Availability:
    """Return whether new requests may be sent to a replica."""
    if not view.registered:
        return Availability.UNREGISTERED
    if view.leaving:
        return Availability.LEAVING
    if view.misdirected:
        return Availability.MISDIRECTED
    if view.now_s < view.back_off_until_s:
        return Availability.BACKING_OFF
    return Availability.AVAILABLE
