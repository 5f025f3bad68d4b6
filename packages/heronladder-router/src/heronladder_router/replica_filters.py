"""Filters of the replicas that a request may be sent to by their software version."""

from collections.abc import Collection

from heronladder_router.origins.known_versions import KnownVersions
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_router.rollouts.version_gates import ReplicaFilter, VersionGates


def version_filters(
    profile: RequestProfile,
    tried: Collection[str],
    usable: list[FleetReplica],
    gates: VersionGates,
    versions: KnownVersions,
) -> tuple[ReplicaFilter, ...]:
    """Return filters in order of preference.

    A request that goes on with a stream may be sent to a version that takes no new ones, unless
    that was rolled back.

    Args:
        profile: Properties of the request.
        tried: Replicas to which the request was already sent.
        usable: Replicas of its service that are not leaving.
        gates: Gates of the services with a rollout record.
        versions: Versions of each service.
    """
    if profile.origin is not None:
        return (gates.continuation_filter(profile.service),)
    filters = gates.candidate_filters(profile.service, profile.route, tried, usable)
    if not profile.begins_stream:
        return filters
    waiting = versions.not_in_force(
        profile.service, (replica.record.software for replica in usable)
    )
    if not waiting:
        return filters
    return tuple(_without_versions(permits, waiting) for permits in filters)


def _without_versions(permits: ReplicaFilter, versions: Collection[str]) -> ReplicaFilter:
    return lambda replica: replica.record.software not in versions and permits(replica)
