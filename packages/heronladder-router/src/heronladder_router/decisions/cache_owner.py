"""Which replicas have cached the shared parts of a prompt, and which one is to cache them."""

import hashlib

from heronladder_router.replica_state import FleetReplica, RequestProfile


def cached_tokens(replica: FleetReplica, profile: RequestProfile, owner: str) -> int:
    """Return how many tokens of a prompt a replica is expected to have cached."""
    kept = replica.parts.cached_prefix_tokens(profile.parts)
    return max(kept, profile.shared_tokens) if replica.name == owner else kept


def cache_owner(profile: RequestProfile, pool: list[FleetReplica]) -> str:
    """Return the name of the replica that all gateways choose to cache the shared prompt parts.

    Returns:
        The name; empty if the prompt has no shared parts, or if this gateway knows of a replica
        that has cached them.
    """
    shared = profile.parts[:-1]
    if not shared or any(has_shared_parts(replica, profile) for replica in pool):
        return ""
    subject = shared[-1].identity.encode()
    return max(
        (replica.name for replica in pool), key=lambda name: rendezvous_weight(subject, name)
    )


def has_shared_parts(replica: FleetReplica, profile: RequestProfile) -> bool:
    """Return whether a replica is known to have cached all shared parts of a prompt.

    Returns False if the prompt has no shared parts.
    """
    shared = profile.shared_tokens
    return shared > 0 and replica.parts.cached_prefix_tokens(profile.parts[:-1]) == shared


def rendezvous_weight(subject: bytes, name: str) -> bytes:
    """Return the weight of a replica for a subject; the one with the largest is its owner."""
    return hashlib.blake2b(subject, key=name.encode()[:64], digest_size=8).digest()
