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


class RegionChoice(Enum):
    """Where a request goes, and why there."""

    LOCAL = "near"  # the own region
    REMOTE_NO_LOCAL = "far_none_near"  # none of the own region may be sent to
    REMOTE_LOCAL_BUSY = "far_near_busy"  # those would begin later, the way counted
    REMOTE_LOCAL_SUSPECT = "far_near_suspect"  # those have no room or failed a moment ago
    LOCAL_SPILL_LIMIT = "near_spill_bound"  # one of both, but as many as may went elsewhere

    @property
    def is_remote(self) -> bool:
        """Whether it leads to another region."""
        return self is RegionChoice.REMOTE_NO_LOCAL or self.is_spill

    @property
    def is_spill(self) -> bool:
        """Whether it leads there although the own region has a replica that may be sent to."""
        return self in (RegionChoice.REMOTE_LOCAL_BUSY, RegionChoice.REMOTE_LOCAL_SUSPECT)


@dataclass(frozen=True)
class Candidate:
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


def is_remote(zone: str, other: str, regions: Mapping[str, str]) -> bool:
    """Whether two zones are in different regions, as far as is known."""
    if zone == other:
        return False
    own_region, other_region = regions.get(zone), regions.get(other)
    return own_region is not None and other_region is not None and own_region != other_region


def split_by_region(
    pool: list[FleetReplica], zone: str, regions: Mapping[str, str]
) -> tuple[list[FleetReplica], list[FleetReplica]]:
    """Return the replicas of a zone's own region, and those of others."""
    near: list[FleetReplica] = []
    far: list[FleetReplica] = []
    for replica in pool:
        (far if is_remote(zone, replica.record.zone, regions) else near).append(replica)
    return near, far


def choose_region(
    near: list[FleetReplica],
    far: list[FleetReplica],
    best: Callable[[list[FleetReplica]], Candidate],
    remote_cost_ms: float,
    *,
    may_spill: bool,
    local_suspect: bool = False,
) -> tuple[Candidate, RegionChoice]:
    """Return the better offer of the own region and the others; there must be one.

    Args:
        near: Replicas of the own region.
        far: Replicas of others.
        best: Finds the best of some.
        remote_cost_ms: What a send to another region costs: the way, and its bytes.
        may_spill: Whether more may go there while there are replicas here.
        local_suspect: Whether all of the own region are suspects, and others are not.
    """
    if not near:
        return best(far), RegionChoice.REMOTE_NO_LOCAL
    if local_suspect:
        if may_spill:
            return best(far), RegionChoice.REMOTE_LOCAL_SUSPECT
        return best(near), RegionChoice.LOCAL_SPILL_LIMIT
    here = best(near)
    if not far or here.cost_ms <= remote_cost_ms:
        return here, RegionChoice.LOCAL
    there = best(far)
    if there.cost_ms + remote_cost_ms >= here.cost_ms:
        return here, RegionChoice.LOCAL
    return (
        (there, RegionChoice.REMOTE_LOCAL_BUSY)
        if may_spill
        else (here, RegionChoice.LOCAL_SPILL_LIMIT)
    )
