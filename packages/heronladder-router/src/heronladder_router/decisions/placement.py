"""Chooses the replica for a request.

The choice handles prompts that share parts, long prompts among short ones, and many gateways of
which each sees a small part of the load.

Replicas that may not be sent to are excluded first: those in evacuated zones, in regions in which
the request may not be served, of a version that is not admitted or did not begin the stream, those
that were tried before or asked for back-off, and cold or rate-limited replicas beyond this
gateway's share. The cost of each remaining replica is an estimate of when it would begin its
response, and the replica of the least cost is chosen. If all gateways know the same load totals,
only a random sample is compared, so that they do not all choose the same one; otherwise all are.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.cache_owner import (
    cache_owner,
    cached_tokens,
    has_shared_parts,
    rendezvous_weight,
)
from heronladder_router.decisions.cold_limit import COLD_WINDOW_S
from heronladder_router.decisions.region_choice import (
    Candidate,
    RegionChoice,
    choose_region,
    split_by_region,
)
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.decisions.speed import Speed
from heronladder_router.replica_state import FleetReplica, RequestProfile

_REMOTE_ZONE_COST_MS = 4.0
# Cost of each token of a shared prompt part that another replica has cached.
_REPROCESS_COST_MS_PER_TOKEN = 0.15
# Upper bound on that cost: how much longer the queue of the replica with the cached part may be.
_MAX_REPROCESS_COST_MS = 600.0
_SAMPLE_SIZE = 4  # replicas compared when the gateways know each other's load
# Preference for a rate-limited replica for which this gateway holds a grant, since an unused grant
# expires and is lost to all gateways. Less than the cost of a remote zone.
_GRANT_BONUS_MS = 2.0
_IN_FLIGHT_COST_MS = 30.0  # per request in flight, for plain requests (without a prompt)


class RandomSource(Protocol):
    """Source of random numbers, passed in by the caller."""

    def random(self) -> float:
        """Return a number from 0 (included) to 1 (excluded)."""

    def sample(self, population: list[FleetReplica], k: int) -> list[FleetReplica]:
        """Return ``k`` different replicas."""


class PlacementReason(Enum):
    """Why a replica was chosen, or why none was."""

    HEALTHY = "sound"
    SUSPECT = "only_suspects"
    NO_RETRY_LEFT = "no_retry_left"
    NONE_KNOWN = "none_known"
    EVACUATED = "evacuated"
    OTHER_REGION = "other_region"
    VERSION = "version_not_admitted"
    ORIGIN = "not_the_streams_version"
    COLD = "cold"
    RATE_LIMITED = "limited"
    BACKING_OFF = "backing_off"
    LEAVING = "leaving"
    ALL_TRIED = "all_tried"


@dataclass(frozen=True)
class PlacementView:
    """State from which a replica is chosen.

    Attributes:
        replicas: Replicas of the service that are not leaving.
        now_s: Current time in seconds.
        zone: Zone of the gateway.
        zone_regions: Region of each zone.
        evacuated: Zones to which no request may be sent.
        cold_capacity_per_s: Requests per second that a cold replica of the service can handle; 0
            for no limit.
        cold_share: Returns how many requests this gateway may send to a cold replica in any
            second, from the name of the replica and its cold capacity.
        shares_load: Whether the requests in flight from other gateways are known.
        remote_cost_ms: Cost of an attempt in a remote region, in ms.
        may_spill: Whether the spillover limit allows another request to a remote region while
            there are local replicas.
        speed: Measured speed of the replicas of the service.
        permits: Returns whether the version of a replica may be sent to.
        limit_verdict: Returns whether a rate-limited replica may be sent to; None if the replica
            reported no limit.
        availability: Returns whether a replica accepts new requests, from its own reports.
        is_window_full: Returns whether a replica that recently ended a back-off has as many
            requests of this gateway in flight as it may get at first.
        connection_share: Connections that this gateway may have open to each replica; None for no
            limit.
        has_retries: Returns whether the retry budget allows a number of attempts after the one to
            be placed.
    """

    replicas: list[FleetReplica]
    now_s: float
    zone: str
    zone_regions: Mapping[str, str]
    evacuated: Collection[str]
    cold_capacity_per_s: float
    cold_share: Callable[[str, float], int]
    shares_load: bool
    remote_cost_ms: float = 0.0
    may_spill: bool = True
    speed: Speed = field(default_factory=Speed)
    permits: Callable[[FleetReplica], bool] = lambda _replica: True
    limit_verdict: Callable[[FleetReplica], LimitVerdict | None] = lambda _replica: None
    availability: Callable[[FleetReplica], Availability] = lambda _replica: Availability.AVAILABLE
    is_window_full: Callable[[FleetReplica], bool] = lambda _replica: False
    connection_share: int | None = None
    has_retries: Callable[[int], bool] = lambda _count: True


@dataclass(frozen=True)
class Placement:
    """The chosen replica and the reason for the choice.

    Attributes:
        replica: The replica; None if no replica may be sent to.
        reason: Why it was chosen, or why there is none.
        cost_ms: Estimated time in ms until it begins its response, with the costs that are added
            for reprocessing cached tokens and for a remote region.
        again_tokens: Tokens of shared prompt parts that it is expected to process again, although
            another replica has them cached.
        compared: Number of replicas that were compared.
        way: Whether it is in the local region or a remote one, and why. The log uses this name.
    """

    replica: FleetReplica | None
    reason: PlacementReason
    cost_ms: float = 0.0
    again_tokens: int = 0
    compared: int = 0
    way: RegionChoice = RegionChoice.LOCAL


def place(
    view: PlacementView,
    profile: RequestProfile,
    tried: Collection[str],
    random_source: RandomSource,
) -> Placement:
    """Choose the replica that is expected to begin its response first.

    Suspected replicas are chosen only after all other replicas of their region, and after healthy
    replicas of remote regions as far as the spillover limit allows. A request that would be
    refused if its replica fails, since no retry is left, goes to one that is not doubtful.

    Args:
        view: State from which the replica is chosen.
        profile: Properties of the request.
        tried: Names of the replicas to which the request was already sent.
        random_source: Source of random numbers.
    """
    pool, exclusion = _allowed_replicas(view, profile, tried)
    if not pool:
        return Placement(None, exclusion)
    # A replica that refuses connections has crashed, but looks idle. If it counted as a replica of
    # the local region, requests to idle remote regions would remain subject to the spillover limit:
    # with all three local replicas crashed, that caused 12 to 25 rejections instead of 1 to 4.
    pool = [replica for replica in pool if not replica.refuses_connections] or pool
    lacks_retry = _lacks_retry(view, pool)

    def preferred(some: list[FleetReplica]) -> list[FleetReplica]:
        healthy = _healthy(view, some)
        if not lacks_retry:
            return healthy
        return [replica for replica in healthy if not _is_doubtful(replica)] or healthy

    if profile.isolation_key:
        pool = [_pinned_replica(profile.isolation_key, preferred(pool) or pool)]
    local, remote = split_by_region(pool, view.zone, view.zone_regions)
    healthy_local, healthy_remote = preferred(local), preferred(remote)

    def best(some: list[FleetReplica]) -> Candidate:
        return _best(view, profile, some, random_source)

    best_candidate, region = choose_region(
        healthy_local or local,
        healthy_remote if healthy_local or healthy_remote else remote,
        best,
        view.remote_cost_ms,
        may_spill=view.may_spill,
        local_suspect=bool(healthy_remote) and not healthy_local,
    )
    suspect = best_candidate.replica.suspect_until_s > view.now_s
    reason = PlacementReason.SUSPECT if suspect else PlacementReason.HEALTHY
    if lacks_retry and not _is_doubtful(best_candidate.replica):
        reason = PlacementReason.NO_RETRY_LEFT
    cost_ms = best_candidate.cost_ms + (view.remote_cost_ms if region.is_remote else 0.0)
    return Placement(
        best_candidate.replica,
        reason,
        cost_ms,
        best_candidate.again_tokens,
        best_candidate.compared,
        region,
    )


def _healthy(view: PlacementView, pool: list[FleetReplica]) -> list[FleetReplica]:
    return [
        replica
        for replica in pool
        if replica.suspect_until_s <= view.now_s and not is_saturated(view, replica)
    ]


def _lacks_retry(view: PlacementView, pool: list[FleetReplica]) -> bool:
    """Return whether a request that its replica fails is refused, where that can be avoided.

    Requests in flight at doubtful replicas may need a retry as well.
    """
    doubtful = sum(_is_doubtful(replica) for replica in pool)
    # If most replicas are doubtful, all gateways together would overload the others.
    if not doubtful or doubtful > len(pool) / 2:
        return False
    at_risk = sum(replica.in_flight for replica in view.replicas if _is_doubtful(replica))
    return not view.has_retries(1 + at_risk)


def _is_doubtful(replica: FleetReplica) -> bool:
    """Return whether the last request to a replica failed or was rejected."""
    return replica.rejections > 0 or replica.failures > 0


def _best(
    view: PlacementView,
    profile: RequestProfile,
    pool: list[FleetReplica],
    random_source: RandomSource,
) -> Candidate:
    """Return the replica of one region that is expected to begin its response first.

    The sample and the owner of the shared prompt parts are chosen within the region, so each
    region caches the parts once.
    """
    owner = cache_owner(profile, pool)
    if view.shares_load:
        pool = _sample(view, profile, pool, owner, random_source)
    costs = [_cost_ms(view, replica, profile, owner, random_source) for replica in pool]
    least = min(range(len(pool)), key=lambda number: costs[number])
    chosen = pool[least]
    again = profile.shared_tokens - cached_tokens(chosen, profile, owner)
    return Candidate(chosen, costs[least], max(0, again), len(pool))


def _allowed_replicas(
    view: PlacementView, profile: RequestProfile, tried: Collection[str]
) -> tuple[list[FleetReplica], PlacementReason]:
    """Return the replicas that may be sent to, and the last reason for which any was excluded."""
    filters: tuple[tuple[PlacementReason, Callable[[FleetReplica], bool]], ...] = (
        (PlacementReason.EVACUATED, lambda replica: replica.record.zone not in view.evacuated),
        (
            PlacementReason.OTHER_REGION,
            lambda replica: is_in_allowed_region(view, profile, replica),
        ),
        (PlacementReason.VERSION, view.permits),
        (PlacementReason.ORIGIN, lambda replica: is_of_origin(profile, replica)),
        (PlacementReason.ALL_TRIED, lambda replica: replica.name not in tried),
        (PlacementReason.BACKING_OFF, lambda replica: is_available(view, replica)),
        (PlacementReason.COLD, lambda replica: has_cold_budget(view, replica)),
        (PlacementReason.RATE_LIMITED, lambda replica: is_within_limit(view, replica)),
    )
    pool = view.replicas
    exclusion = PlacementReason.NONE_KNOWN
    for reason, allows in filters:
        if not pool:
            break
        pool = [replica for replica in pool if allows(replica)]
        exclusion = reason
    return pool, exclusion


def is_in_allowed_region(
    view: PlacementView, profile: RequestProfile, replica: FleetReplica
) -> bool:
    """Return whether a replica is in a region in which the request may be served."""
    if profile.regions is None:
        return True
    return view.zone_regions.get(replica.record.zone) in profile.regions


def is_of_origin(profile: RequestProfile, replica: FleetReplica) -> bool:
    """Return whether a replica has the software version that began the stream, if any did."""
    return profile.origin is None or replica.record.software == profile.origin.software


def is_saturated(view: PlacementView, replica: FleetReplica) -> bool:
    """Return whether a replica has as many requests of this gateway in flight as it may get.

    Other replicas are then preferred.
    """
    share = view.connection_share
    return (share is not None and replica.in_flight >= share) or view.is_window_full(replica)


def is_available(view: PlacementView, replica: FleetReplica) -> bool:
    """Return whether a replica accepts new requests, from its own reports."""
    return view.availability(replica) is Availability.AVAILABLE


def is_cold(view: PlacementView, replica: FleetReplica) -> bool:
    """Return whether a replica is cold, so that requests to it are limited."""
    return view.cold_capacity_per_s > 0 and replica.cold_until_s > view.now_s


def has_cold_budget(view: PlacementView, replica: FleetReplica) -> bool:
    """Return whether this gateway may send more to a cold replica; True for a warm one."""
    if not is_cold(view, replica):
        return True
    since_s = view.now_s - COLD_WINDOW_S
    sent = sum(1 for sent_s in replica.cold_sends_s if sent_s > since_s)
    return sent < view.cold_share(replica.name, view.cold_capacity_per_s)


def is_within_limit(view: PlacementView, replica: FleetReplica) -> bool:
    """Return whether the rate limit of a replica allows a request; True without a limit."""
    verdict = view.limit_verdict(replica)
    return verdict is None or verdict.may_send


def _is_granted(view: PlacementView, replica: FleetReplica) -> bool:
    return view.limit_verdict(replica) is LimitVerdict.GRANTED


def _sample(
    view: PlacementView,
    profile: RequestProfile,
    pool: list[FleetReplica],
    owner: str,
    random_source: RandomSource,
) -> list[FleetReplica]:
    """Return a random sample, with all replicas that have cached parts or hold a grant added.

    All gateways know the same load totals, which are about 0.3 s old. If each chose the least
    loaded of all replicas, all would choose the same one until the next totals arrive.
    """
    chosen = random_source.sample(pool, min(_SAMPLE_SIZE, len(pool)))
    names = {replica.name for replica in chosen}
    for replica in pool:
        if replica.name in names:
            continue
        if (
            replica.name == owner
            or has_shared_parts(replica, profile)
            or _is_granted(view, replica)
        ):
            chosen.append(replica)
    return chosen


def _cost_ms(
    view: PlacementView,
    replica: FleetReplica,
    profile: RequestProfile,
    owner: str,
    random_source: RandomSource,
) -> float:
    """Estimate when a replica would begin its response, in ms, with a random tie-break."""
    cost = random_source.random()
    in_flight = replica.in_flight
    unread = replica.unread_tokens
    if view.shares_load:
        in_flight += replica.others_in_flight
        unread += replica.others_unread_tokens
    if replica.record.zone != view.zone:
        cost += _REMOTE_ZONE_COST_MS
    if _is_granted(view, replica):
        cost -= _GRANT_BONUS_MS
    if not profile.prompt_tokens:
        return cost + in_flight * _IN_FLIGHT_COST_MS
    kept = cached_tokens(replica, profile, owner)
    again = max(0, profile.shared_tokens - kept)
    cost += min(_MAX_REPROCESS_COST_MS, again * _REPROCESS_COST_MS_PER_TOKEN)
    unread += max(0, profile.prompt_tokens - kept)
    slow = replica.pace.factor(view.now_s)
    return cost + slow * view.speed.first_event_ms(unread, in_flight)


def _pinned_replica(fingerprint: str, pool: list[FleetReplica]) -> FleetReplica:
    """Return the replica to which all gateways with the same pool send a request.

    Used for a request that is suspected to crash replicas, so that it puts only one at risk.
    """
    subject = fingerprint.encode()
    return max(pool, key=lambda replica: rendezvous_weight(subject, replica.name))
