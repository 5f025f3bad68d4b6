"""Ways to choose among the replicas of a service."""

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

import xxhash

from heronladder_router.replicas import Replica, rendezvous_hash

DEFAULT_BALANCER = "prefix_affinity"
_DEFAULT_PREFIX_BYTES = 1_024
_DEFAULT_BOUND_PERCENT = 150
_PERCENT = 100
_LEAST_BOUND = 0.25  # share of a replica's slots under which affinity always holds


@dataclass(frozen=True)
class Choice:
    """What a balancer may look at.

    Attributes:
        replicas: Usable replicas, at least one, in the order of their names.
        prefix: Tenant and beginning of the prompt.
        now_s: The loop's clock.
    """

    replicas: list[Replica]
    prefix: bytes
    now_s: float


class Balancer(ABC):
    """Chooses one replica."""

    @abstractmethod
    def choose(self, choice: Choice) -> Replica:
        """Return the replica that a request goes to."""


class RoundRobin(Balancer):
    """Each replica in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, choice: Choice) -> Replica:
        """Return the next replica."""
        self._turn += 1
        return choice.replicas[self._turn % len(choice.replicas)]


class LeastOutstanding(Balancer):
    """The replica with the least load; ties by name."""

    def choose(self, choice: Choice) -> Replica:
        """Return the least loaded replica."""
        return min(choice.replicas, key=lambda replica: replica.load(choice.now_s))


class PowerOfTwo(Balancer):
    """The less loaded of two replicas drawn at random.

    Args:
        source: Source of random choices.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(self, choice: Choice) -> Replica:
        """Return the less loaded of two."""
        if len(choice.replicas) == 1:
            return choice.replicas[0]
        first, second = self._source.sample(choice.replicas, 2)
        return first if first.load(choice.now_s) <= second.load(choice.now_s) else second


class PrefixAffinity(Balancer):
    """Rendezvous hashing of the prompt's beginning, bounded by load.

    Replicas are ranked by a hash of prefix and replica name, so that equal
    prefixes meet the same cache, whichever router they come through. A replica
    whose load is over the bound is passed by.

    Args:
        bound_percent: How far over the mean a replica's load may be.
    """

    def __init__(self, bound_percent: int) -> None:
        self._bound = (bound_percent or _DEFAULT_BOUND_PERCENT) / _PERCENT

    def choose(self, choice: Choice) -> Replica:
        """Return the first replica in the prefix's ranking that is under the bound."""
        loads = {replica.name: replica.load(choice.now_s) for replica in choice.replicas}
        mean = sum(loads.values()) / len(loads)
        limit = max(mean * self._bound, _LEAST_BOUND)
        prefix_hash = xxhash.xxh3_64_hexdigest(choice.prefix)
        ranking = sorted(
            choice.replicas,
            key=lambda replica: rendezvous_hash(prefix_hash, replica.name),
            reverse=True,
        )
        for replica in ranking:
            if loads[replica.name] <= limit:
                return replica
        return min(ranking, key=lambda replica: loads[replica.name])


def make_balancer(name: str, bound_percent: int, source: random.Random) -> Balancer:
    """Return a balancer by the name it has in a RoutingPolicy."""
    match name or DEFAULT_BALANCER:
        case "round_robin":
            return RoundRobin()
        case "least_outstanding":
            return LeastOutstanding()
        case "power_of_two":
            return PowerOfTwo(source)
    return PrefixAffinity(bound_percent)


def prefix_of(tenant: str, prompt: bytes, block_bytes: int) -> bytes:
    """Return what affinity hashes: the tenant and the prompt's leading bytes."""
    return tenant.encode() + b"\n" + prompt[: block_bytes or _DEFAULT_PREFIX_BYTES]
