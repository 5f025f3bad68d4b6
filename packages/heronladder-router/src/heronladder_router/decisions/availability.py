"""Whether a replica takes new requests of this gateway, by what it said of itself.

It is asked twice: when a replica is chosen, and when the head of a request is about to be written.
In between a request may have waited for a connection, and the replica may have answered another
one.
"""

import math
from dataclasses import dataclass
from enum import Enum


class Availability(Enum):
    """Whether a replica may be sent new requests, and why not."""

    AVAILABLE = "available"
    BACKING_OFF = "backing_off"
    LEAVING = "leaving"
    MISDIRECTED = "misdirected"
    UNREGISTERED = "unregistered"


@dataclass(frozen=True)
class AvailabilityView:
    """What is known when a replica may be sent to.

    Attributes:
        now_s: Time, on a clock that goes on while the machine is suspended.
        registered: Whether the incarnation is registered and not draining.
        back_off_until_s: Until when it wants no requests of this gateway.
        leaving: Whether it said that it leaves; for the rest of its life, whatever its heartbeats
            say.
        misdirected: Whether its address answered a moment ago that it is another's.
    """

    now_s: float
    registered: bool = True
    back_off_until_s: float = -math.inf
    leaving: bool = False
    misdirected: bool = False


def check_availability(view: AvailabilityView) -> Availability:
    """Return whether a replica may be sent new requests."""
    if not view.registered:
        return Availability.UNREGISTERED
    if view.leaving:
        return Availability.LEAVING
    if view.misdirected:
        return Availability.MISDIRECTED
    if view.now_s < view.back_off_until_s:
        return Availability.BACKING_OFF
    return Availability.AVAILABLE
