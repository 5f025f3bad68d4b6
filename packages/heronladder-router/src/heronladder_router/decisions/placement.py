"""Which replica a request goes to.

Load patterns: requests with prompts that share parts, long prompts beside short ones, and many
gateways that see a small part of the load each. The cost of a replica is an estimate of when it
would begin the answer; the least cost is chosen among a few drawn at random where all gateways
hear the same sums of load, and among all otherwise. What may not be sent to at all is left out
first: evacuated zones, other regions than the request's, replicas that asked for back-off, and
those that are cold or rate-limited beyond this gateway's share.
"""

import hashlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.cold_limit import WINDOW_S
from heronladder_router.decisions.distance import Offer, Way, choose, split
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.decisions.speed import Speed
from heronladder_router.replica_state import FleetReplica, RequestProfile

_OTHER_ZONE_COST_MS = 4.0
_READ_AGAIN_COST_MS = 0.15  # for each token of a shared part that another replica keeps
_MOST_READ_AGAIN_COST_MS = 600.0  # a keeper's queue may be so much longer
_CHOICES = 4  # replicas compared at random where gateways share their load
# A rate-limited replica goes before its equals while a send there is granted: unused, it runs out
# and is lost to all gateways. Less than the cost of another zone.
_GRANTED_GAIN_MS = 2.0
_SLOT_COST_MS = 30.0  # for each slot that is taken, at a plain service


class Randomness(Protocol):
    """Where random numbers come from; the caller brings it."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def sample(self, population: list[FleetReplica], k: int) -> list[FleetReplica]:
        """Return ``k`` different ones."""


class Reason(Enum):
    """Why a replica was chosen, or none was."""

    SOUND = "sound"
    SUSPECT = "only_suspects"
    NONE_KNOWN = "none_known"
    EVACUATED = "evacuated"
    OTHER_REGION = "other_region"
    VERSION = "version_not_admitted"
    COLD = "cold"
    LIMITED = "limited"
    BACKING_OFF = "backing_off"
    LEAVING = "leaving"
    TRIED = "all_tried"


@dataclass(frozen=True)
class PlacementView:
    """What is known when a replica is chosen.

    Attributes:
        replicas: Those of the service that are not leaving.
        now_s: Time.
        zone: Zone of the gateway.
        zone_regions: Region of each zone.
        evacuated: Zones to which nothing may go.
        bears_per_s: Requests a second that a cold replica of the service bears; 0: any number.
        cold_share: Requests that this gateway may send to a cold replica in any second.
        permits: Whether a replica's version may be sent to.
        limit_verdict: Whether a replica that named a limit may be sent to; None: it named none.
        availability: Whether a replica takes new requests, by what it said of itself.
        is_window_full: Whether a replica that is back from a back-off has as much of this gateway
            as it gets at first.
        connection_share: Connections that may be open to each replica; None: any number.
        shares_load: Whether what other gateways have under way is known.
        far_cost_ms: What a send to another region costs, in ms.
        may_spill: Whether more may go there while there are replicas here.
        speed: Measured speed of the service's replicas.
    """

    replicas: list[FleetReplica]
    now_s: float
    zone: str
    zone_regions: Mapping[str, str]
    evacuated: Collection[str]
    bears_per_s: float
    cold_share: Callable[[str, float], int]
    shares_load: bool
    far_cost_ms: float = 0.0
    may_spill: bool = True
    speed: Speed = field(default_factory=Speed)
    permits: Callable[[FleetReplica], bool] = lambda _replica: True
    limit_verdict: Callable[[FleetReplica], LimitVerdict | None] = lambda _replica: None
    availability: Callable[[FleetReplica], Availability] = lambda _replica: Availability.AVAILABLE
    is_window_full: Callable[[FleetReplica], bool] = lambda _replica: False
    connection_share: int | None = None


@dataclass(frozen=True)
class Placement:
    """The replica chosen, or none, and why.

    Attributes:
        replica: The replica; None if none may be sent to.
        reason: Why.
        cost_ms: Estimated time until it begins the answer, with what reading again costs.
        again_tokens: Tokens of shared parts that it is expected to read again.
        compared: How many replicas were compared.
        way: Where it stands, and why there.
    """

    replica: FleetReplica | None
    reason: Reason
    cost_ms: float = 0.0
    again_tokens: int = 0
    compared: int = 0
    way: Way = Way.NEAR


def place(
    view: PlacementView, profile: RequestProfile, tried: Collection[str], source: Randomness
) -> Placement:
    """Return the replica that would begin first.

    Suspected replicas come only after all others of their region, and after those of other
    regions as far as more may go there.

    Args:
        view: What is known.
        profile: What is asked.
        tried: Replicas that the request was sent to before.
        source: Randomnessness.
    """
    pool, lacking = _permitted(view, profile, tried)
    if not pool:
        return Placement(None, lacking)
    # One where nothing listens is none that may be sent to: it looks idle, and while it stood for a
    # replica of the own region, what may go to others was bound (stand-ins, the region's three
    # replicas crash, others idle: 12 to 25 refusals in each of ten runs, 1 to 4 without).
    pool = [replica for replica in pool if not replica.refuses_connections] or pool
    if profile.isolation_key:
        pool = [_picked(profile.isolation_key, _sound(view, pool) or pool)]
    near, far = split(pool, view.zone, view.zone_regions)
    sound_near, sound_far = _sound(view, near), _sound(view, far)

    def best(some: list[FleetReplica]) -> Offer:
        return _best(view, profile, some, source)

    offer, way = choose(
        sound_near or near,
        sound_far if sound_near or sound_far else far,
        best,
        view.far_cost_ms,
        may_spill=view.may_spill,
        near_suspect=bool(sound_far) and not sound_near,
    )
    suspect = offer.replica.suspect_until_s > view.now_s
    reason = Reason.SUSPECT if suspect else Reason.SOUND
    cost_ms = offer.cost_ms + (view.far_cost_ms if way.is_far else 0.0)
    return Placement(offer.replica, reason, cost_ms, offer.again_tokens, offer.compared, way)


def _sound(view: PlacementView, pool: list[FleetReplica]) -> list[FleetReplica]:
    return [
        replica
        for replica in pool
        if replica.suspect_until_s <= view.now_s and not is_saturated(view, replica)
    ]


def _best(
    view: PlacementView, profile: RequestProfile, pool: list[FleetReplica], source: Randomness
) -> Offer:
    """Return the replica of one region that would begin first.

    What keeps shared parts, and the sample, are drawn within it: parts are kept once in each.
    """
    keeper = _keeper(profile, pool)
    if view.shares_load:
        pool = _sample(view, profile, pool, keeper, source)
    costs = [_cost_ms(view, replica, profile, keeper, source) for replica in pool]
    least = min(range(len(pool)), key=lambda number: costs[number])
    chosen = pool[least]
    again = profile.shared_tokens - _kept_tokens(chosen, profile, keeper)
    return Offer(chosen, costs[least], max(0, again), len(pool))


def _permitted(
    view: PlacementView, profile: RequestProfile, tried: Collection[str]
) -> tuple[list[FleetReplica], Reason]:
    """Return the replicas that may be sent to; if none, what kept the last ones out."""
    filters: tuple[tuple[Reason, Callable[[FleetReplica], bool]], ...] = (
        (Reason.EVACUATED, lambda replica: replica.record.zone not in view.evacuated),
        (Reason.OTHER_REGION, lambda replica: is_at_home(view, profile, replica)),
        (Reason.VERSION, view.permits),
        (Reason.TRIED, lambda replica: replica.name not in tried),
        (Reason.BACKING_OFF, lambda replica: is_available(view, replica)),
        (Reason.COLD, lambda replica: may_take_more(view, replica)),
        (Reason.LIMITED, lambda replica: is_within_limit(view, replica)),
    )
    pool = view.replicas
    lacking = Reason.NONE_KNOWN
    for reason, allows in filters:
        if not pool:
            break
        pool = [replica for replica in pool if allows(replica)]
        lacking = reason
    return pool, lacking


def is_at_home(view: PlacementView, profile: RequestProfile, replica: FleetReplica) -> bool:
    """Whether a replica is in a region in which the request may be served."""
    if profile.regions is None:
        return True
    return view.zone_regions.get(replica.record.zone) in profile.regions


def is_saturated(view: PlacementView, replica: FleetReplica) -> bool:
    """Whether others are preferred: a replica has as much of this gateway as it gets by now."""
    share = view.connection_share
    return (share is not None and replica.in_flight >= share) or view.is_window_full(replica)


def is_available(view: PlacementView, replica: FleetReplica) -> bool:
    """Whether a replica takes new requests, by what it said of itself."""
    return view.availability(replica) is Availability.AVAILABLE


def is_cold(view: PlacementView, replica: FleetReplica) -> bool:
    """Whether sends to a replica are limited."""
    return view.bears_per_s > 0 and replica.cold_until_s > view.now_s


def may_take_more(view: PlacementView, replica: FleetReplica) -> bool:
    """Whether this gateway's share of a cold replica is not used up; True for a warm one."""
    if not is_cold(view, replica):
        return True
    since_s = view.now_s - WINDOW_S
    sent = sum(1 for moment_s in replica.cold_sends_s if moment_s > since_s)
    return sent < view.cold_share(replica.name, view.bears_per_s)


def is_within_limit(view: PlacementView, replica: FleetReplica) -> bool:
    """Whether a replica may be sent to, as far as the limit goes that it named; True for none."""
    verdict = view.limit_verdict(replica)
    return verdict is None or verdict.may_send


def _is_granted(view: PlacementView, replica: FleetReplica) -> bool:
    return view.limit_verdict(replica) is LimitVerdict.GRANTED


def _sample(
    view: PlacementView,
    profile: RequestProfile,
    pool: list[FleetReplica],
    keeper: str,
    source: Randomness,
) -> list[FleetReplica]:
    """Return some replicas at random, those that keep parts of the prompt, and granted ones.

    All gateways hear the same sums, some 0.3 s old: if each took the least
    loaded of all, they would all take the same one until they hear again.
    """
    chosen = source.sample(pool, min(_CHOICES, len(pool)))
    names = {replica.name for replica in chosen}
    for replica in pool:
        if replica.name in names:
            continue
        if replica.name == keeper or _keeps(replica, profile) or _is_granted(view, replica):
            chosen.append(replica)
    return chosen


def _cost_ms(
    view: PlacementView,
    replica: FleetReplica,
    profile: RequestProfile,
    keeper: str,
    source: Randomness,
) -> float:
    """Estimate when a replica would begin the answer, in ms; with a random tie-break."""
    cost = source.random()
    in_flight = replica.in_flight
    unread = replica.unread_tokens
    if view.shares_load:
        in_flight += replica.others_in_flight
        unread += replica.others_unread_tokens
    if replica.record.zone != view.zone:
        cost += _OTHER_ZONE_COST_MS
    if _is_granted(view, replica):
        cost -= _GRANTED_GAIN_MS
    if not profile.prompt_tokens:
        return cost + in_flight * _SLOT_COST_MS
    kept = _kept_tokens(replica, profile, keeper)
    again = max(0, profile.shared_tokens - kept)
    cost += min(_MOST_READ_AGAIN_COST_MS, again * _READ_AGAIN_COST_MS)
    unread += max(0, profile.prompt_tokens - kept)
    slow = replica.pace.factor(view.now_s)
    return cost + slow * view.speed.first_event_ms(unread, in_flight)


def _kept_tokens(replica: FleetReplica, profile: RequestProfile, keeper: str) -> int:
    """Return the tokens of a prompt that a replica is expected to keep."""
    kept = replica.parts.kept_tokens(profile.parts)
    return max(kept, profile.shared_tokens) if replica.name == keeper else kept


def _keeper(profile: RequestProfile, pool: list[FleetReplica]) -> str:
    """Return the replica at which all gateways expect the shared parts to be kept.

    None is expected if this gateway knows of one that keeps them.
    """
    shared = profile.parts[:-1]
    if not shared or any(_keeps(replica, profile) for replica in pool):
        return ""
    subject = shared[-1].identity.encode()
    return max((replica.name for replica in pool), key=lambda name: _rank(subject, name))


def _picked(fingerprint: str, pool: list[FleetReplica]) -> FleetReplica:
    """Return the replica that all gateways with the same pool send a suspected request to."""
    subject = fingerprint.encode()
    return max(pool, key=lambda replica: _rank(subject, replica.name))


def _keeps(replica: FleetReplica, profile: RequestProfile) -> bool:
    """Whether a replica is known to keep all shared parts of a prompt, and there are some."""
    shared = profile.shared_tokens
    return shared > 0 and replica.parts.kept_tokens(profile.parts[:-1]) == shared


def _rank(subject: bytes, name: str) -> bytes:
    return hashlib.blake2b(subject, key=name.encode()[:64], digest_size=8).digest()
