"""Where a request may go by distance: the own region first, the others at a cost.

Load pattern: regions that are tens of milliseconds apart, over one thin link whose bytes are
dear, each with replicas enough for its own callers most of the time.

Way chosen: what stands in the own region is compared first. A replica elsewhere is looked at only
where there is none here, where all here are suspects, or where the best one here would begin
later than the way to another region costs. The last two are bound: a region whose replicas all
turned something away in the same moment sent all that it had over the thin link. A zone
whose region is not known is taken for one of the own region.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from heronladder_router.replica_state import FleetReplica


class Way(Enum):
    """Where a request goes, and why there."""

    NEAR = "near"  # the own region
    FAR_NONE_NEAR = "far_none_near"  # none of the own region may be sent to
    FAR_NEAR_BUSY = "far_near_busy"  # those would begin later, the way counted
    FAR_NEAR_SUSPECT = "far_near_suspect"  # those have no room or failed a moment ago
    NEAR_SPILL_BOUND = "near_spill_bound"  # one of both, but as many as may went elsewhere

    @property
    def is_far(self) -> bool:
        """Whether it leads to another region."""
        return self is Way.FAR_NONE_NEAR or self.is_spill

    @property
    def is_spill(self) -> bool:
        """Whether it leads there although the own region has a replica that may be sent to."""
        return self in (Way.FAR_NEAR_BUSY, Way.FAR_NEAR_SUSPECT)


@dataclass(frozen=True)
class Offer:
    """The best replica among some.

    Attributes:
        replica: It.
        cost_ms: Estimated time until it begins the answer, the way there not counted.
        again_tokens: Tokens of shared parts that it is expected to read again.
        compared: How many replicas were compared.
    """

    replica: FleetReplica
    cost_ms: float
    again_tokens: int
    compared: int


def is_far(zone: str, other: str, regions: Mapping[str, str]) -> bool:
    """Whether two zones are in different regions, as far as is known."""
    if zone == other:
        return False
    own_region, other_region = regions.get(zone), regions.get(other)
    return own_region is not None and other_region is not None and own_region != other_region


def split(
    pool: list[FleetReplica], zone: str, regions: Mapping[str, str]
) -> tuple[list[FleetReplica], list[FleetReplica]]:
    """Return the replicas of a zone's own region, and those of others."""
    near: list[FleetReplica] = []
    far: list[FleetReplica] = []
    for replica in pool:
        (far if is_far(zone, replica.record.zone, regions) else near).append(replica)
    return near, far


def choose(
    near: list[FleetReplica],
    far: list[FleetReplica],
    best: Callable[[list[FleetReplica]], Offer],
    far_cost_ms: float,
    *,
    may_spill: bool,
    near_suspect: bool = False,
) -> tuple[Offer, Way]:
    """Return the better offer of the own region and the others; there must be one.

    Args:
        near: Replicas of the own region.
        far: Replicas of others.
        best: Finds the best of some.
        far_cost_ms: What a send to another region costs: the way, and its bytes.
        may_spill: Whether more may go there while there are replicas here.
        near_suspect: Whether all of the own region are suspects, and others are not.
    """
    if not near:
        return best(far), Way.FAR_NONE_NEAR
    if near_suspect:
        if may_spill:
            return best(far), Way.FAR_NEAR_SUSPECT
        return best(near), Way.NEAR_SPILL_BOUND
    here = best(near)
    if not far or here.cost_ms <= far_cost_ms:
        return here, Way.NEAR
    there = best(far)
    if there.cost_ms + far_cost_ms >= here.cost_ms:
        return here, Way.NEAR
    return (there, Way.FAR_NEAR_BUSY) if may_spill else (here, Way.NEAR_SPILL_BOUND)
