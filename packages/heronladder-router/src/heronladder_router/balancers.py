"""Load-balancing algorithms that select one replica of a service.

Each algorithm works only on the candidates and loads that it is given. Filtering the
candidates by health, subset and zone is done in ``selection``.
"""

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

import xxhash

from heronladder_router.replicas import Replica, rendezvous_hash

DEFAULT_BALANCER = "prefix_affinity"
_DEFAULT_PREFIX_BYTES = 1_024
_DEFAULT_LOAD_BOUND_PERCENT = 150
_PERCENT = 100
# A replica with less load than this, as a ratio of its slots, is never skipped: while loads are
# low, small differences between replicas do not break prefix affinity.
_MIN_LOAD_BOUND_RATIO = 0.25


@dataclass(frozen=True)
class BalancingContext:
    """Inputs of one balancing decision.

    Attributes:
        replicas: Usable replicas, at least one, in a stable order: by name, or by hash if the
            routing policy limits the subset size.
        prefix: Tenant and leading bytes of the prompt, from ``affinity_prefix``.
        now_s: Current time on the event loop's clock, in seconds.
    """

    replicas: list[Replica]
    prefix: bytes
    now_s: float


class Balancer(ABC):
    """Interface of a load-balancing algorithm."""

    @abstractmethod
    def choose(self, context: BalancingContext) -> Replica:
        """Return the replica to send a request to."""


class RoundRobin(Balancer):
    """Selects the replicas in rotation."""

    def __init__(self) -> None:
        self._selection_count = 0

    def choose(self, context: BalancingContext) -> Replica:
        """Return the next replica."""
        self._selection_count += 1
        return context.replicas[self._selection_count % len(context.replicas)]


class LeastOutstanding(Balancer):
    """Selects the replica with the least load; the first in order wins a tie."""

    def choose(self, context: BalancingContext) -> Replica:
        """Return the least loaded replica."""
        return min(context.replicas, key=lambda replica: replica.load(context.now_s))


class PowerOfTwo(Balancer):
    """Selects the less loaded of two random replicas.

    Args:
        random_source: Random number generator for the two picks.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source

    def choose(self, context: BalancingContext) -> Replica:
        """Return the less loaded of two random replicas."""
        if len(context.replicas) == 1:
            return context.replicas[0]
        first, second = self._random_source.sample(context.replicas, 2)
        return first if first.load(context.now_s) <= second.load(context.now_s) else second


class PrefixAffinity(Balancer):
    """Rendezvous hashing of the prompt prefix with bounded loads.

    Replicas are ranked by a hash of the prefix and the replica name. Requests with the
    same prefix therefore reach the same replica and its prefix cache, whichever router
    they pass through. Replicas whose load is over the bound are skipped.

    Args:
        bound_percent: Upper bound of a replica's load, as a percentage of the mean load;
            0 stands for the default.
    """

    def __init__(self, bound_percent: int) -> None:
        self._load_bound_ratio = (bound_percent or _DEFAULT_LOAD_BOUND_PERCENT) / _PERCENT

    def choose(self, context: BalancingContext) -> Replica:
        """Return the highest ranked replica within the load bound, else the least loaded."""
        loads = {replica.name: replica.load(context.now_s) for replica in context.replicas}
        mean = sum(loads.values()) / len(loads)
        limit = max(mean * self._load_bound_ratio, _MIN_LOAD_BOUND_RATIO)
        prefix_hash = xxhash.xxh3_64_hexdigest(context.prefix)
        ranking = sorted(
            context.replicas,
            key=lambda replica: rendezvous_hash(prefix_hash, replica.name),
            reverse=True,
        )
        for replica in ranking:
            if loads[replica.name] <= limit:
                return replica
        return min(ranking, key=lambda replica: loads[replica.name])


def make_balancer(name: str, bound_percent: int, random_source: random.Random) -> Balancer:
    """Return the balancer that a routing policy names.

    Args:
        name: Value of ``RoutingPolicy.balancer``; empty for the default. Unknown names
            also give the default.
        bound_percent: Load bound of ``PrefixAffinity``, as a percentage of the mean load;
            0 stands for the default.
        random_source: Random number generator of ``PowerOfTwo``.
    """
    match name or DEFAULT_BALANCER:
        case "round_robin":
            return RoundRobin()
        case "least_outstanding":
            return LeastOutstanding()
        case "power_of_two":
            return PowerOfTwo(random_source)
    return PrefixAffinity(bound_percent)


def affinity_prefix(tenant: str, prompt: bytes, block_bytes: int) -> bytes:
    """Return the bytes that prefix affinity hashes: the tenant and the start of the prompt.

    Args:
        tenant: Name of the tenant.
        prompt: Encoded prompt.
        block_bytes: Number of leading prompt bytes to include; 0 stands for the default.
    """
    return tenant.encode() + b"\n" + prompt[: block_bytes or _DEFAULT_PREFIX_BYTES]
