"""Chooses between the replicas of the local region and those of remote regions.

Regions are tens of milliseconds apart and connected by a link of small bandwidth whose traffic is
expensive. Most of the time each region has enough replicas for its own clients.

Therefore the local replicas are compared first. A remote replica is considered only if there is no
local replica, if all local replicas are suspects, or if the best local replica would begin later
than a remote one with the cost of the remote region added. In the last two cases the number of
requests that spill over is limited: otherwise a region whose replicas all rejected a request at
the same time would send all its traffic over that link. A zone whose region is unknown counts as
local.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from heronladder_router.replica_state import FleetReplica


class RegionChoice(Enum):
    """Whether a request goes to the local region or a remote one, and why."""

    LOCAL = "near"
    REMOTE_NO_LOCAL = "far_none_near"  # no local replica may be sent to
    REMOTE_LOCAL_BUSY = "far_near_busy"  # local replicas would begin later, remote cost included
    REMOTE_LOCAL_SUSPECT = "far_near_suspect"  # local replicas are full or failed recently
    LOCAL_SPILL_LIMIT = "near_spill_bound"  # as the two before, but the spillover limit is reached

    @property
    def is_remote(self) -> bool:
        """Whether the request goes to a remote region."""
        return self is RegionChoice.REMOTE_NO_LOCAL or self.is_spill

    @property
    def is_spill(self) -> bool:
        """Whether the request goes to a remote region although a local replica may be sent to."""
        return self in (RegionChoice.REMOTE_LOCAL_BUSY, RegionChoice.REMOTE_LOCAL_SUSPECT)


@dataclass(frozen=True)
class Candidate:
    """The best replica of a group.

    Attributes:
        replica: The replica.
        cost_ms: Estimated time until it begins its response, without the cost of a remote region.
        again_tokens: Tokens of shared prompt parts that it is expected to process again, although
            another replica has them cached.
        compared: Number of replicas that were compared.
    """

    replica: FleetReplica
    cost_ms: float
    again_tokens: int
    compared: int


def is_remote(zone: str, other: str, regions: Mapping[str, str]) -> bool:
    """Return whether two zones are known to be in different regions.

    Args:
        zone: First zone.
        other: Second zone.
        regions: Region of each zone.
    """
    if zone == other:
        return False
    own_region, other_region = regions.get(zone), regions.get(other)
    return own_region is not None and other_region is not None and own_region != other_region


def split_by_region(
    pool: list[FleetReplica], zone: str, regions: Mapping[str, str]
) -> tuple[list[FleetReplica], list[FleetReplica]]:
    """Split replicas into those of a zone's own region and those of other regions.

    Args:
        pool: The replicas.
        zone: Zone whose region counts as local.
        regions: Region of each zone.

    Returns:
        Local replicas and remote replicas.
    """
    local: list[FleetReplica] = []
    remote: list[FleetReplica] = []
    for replica in pool:
        (remote if is_remote(zone, replica.record.zone, regions) else local).append(replica)
    return local, remote


def choose_region(
    local: list[FleetReplica],
    remote: list[FleetReplica],
    best: Callable[[list[FleetReplica]], Candidate],
    remote_cost_ms: float,
    *,
    may_spill: bool,
    local_suspect: bool = False,
) -> tuple[Candidate, RegionChoice]:
    """Return the better one of the best local and the best remote replica.

    Args:
        local: Replicas of the local region.
        remote: Replicas of remote regions; at least one of the two lists must not be empty.
        best: Returns the best replica of a list.
        remote_cost_ms: Cost of an attempt in a remote region: its latency and its traffic, in ms.
        may_spill: Whether the spillover limit allows another request.
        local_suspect: Whether all local replicas are suspects while some remote ones are not.
    """
    if not local:
        return best(remote), RegionChoice.REMOTE_NO_LOCAL
    if local_suspect:
        if may_spill:
            return best(remote), RegionChoice.REMOTE_LOCAL_SUSPECT
        return best(local), RegionChoice.LOCAL_SPILL_LIMIT
    best_local = best(local)
    if not remote or best_local.cost_ms <= remote_cost_ms:
        return best_local, RegionChoice.LOCAL
    best_remote = best(remote)
    if best_remote.cost_ms + remote_cost_ms >= best_local.cost_ms:
        return best_local, RegionChoice.LOCAL
    return (
        (best_remote, RegionChoice.REMOTE_LOCAL_BUSY)
        if may_spill
        else (best_local, RegionChoice.LOCAL_SPILL_LIMIT)
    )
