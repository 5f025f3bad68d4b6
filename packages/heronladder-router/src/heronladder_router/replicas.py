"""Directory of the backends of all services, with the health and load of each.

The router's selection, forwarding and admission share it. It is updated from the configuration,
from control's notices, from the platform's list of machines, and from the results of attempts.
"""

from dataclasses import dataclass

import xxhash
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import agent_pb2, control_pb2, resources_pb2

_EJECTION_FAILURES = 3
_MIN_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
_SLOW_START_S = 10.0
_SLOW_START_MIN_FRACTION = 0.1
_LEAVING_REPORT_VALID_S = 10.0


@dataclass
class Replica:
    """State of one backend and its agent, as known to this router.

    Attributes:
        name: Name of the Backend resource.
        spec: Specification of the Backend resource.
        incarnation: Incarnation of its agent; empty while unknown.
        outstanding: Number of requests that this router has in flight there.
        reported_running: Number of running requests in its last response.
        reported_queued: Number of queued requests in its last response.
        failures: Number of consecutive failures.
        ejections: Number of consecutive ejections; each lasts twice as long as the one before.
        ejected_until_s: End of its ejection, in seconds on the event loop's clock.
        leaving_until_s: Time until which the agent's report that it leaves is valid, in seconds
            on the event loop's clock.
        started_s: Time at which its agent (re)started or its last ejection ends, in seconds on
            the event loop's clock; slow start begins then.
        platform_leaving: Whether the platform lists its machine as leaving.
    """

    name: str
    spec: resources_pb2.Backend
    incarnation: str = ""
    outstanding: int = 0
    reported_running: int = 0
    reported_queued: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    leaving_until_s: float = 0.0
    started_s: float = 0.0
    platform_leaving: bool = False

    def usable(self, now_s: float) -> bool:
        """Return whether new requests may be sent to this backend."""
        return (
            bool(self.incarnation)
            and not self.spec.draining
            and not self.platform_leaving
            and now_s >= self.ejected_until_s
            and now_s >= self.leaving_until_s
        )

    def load(self, now_s: float) -> float:
        """Return the load as a fraction of the requests that the backend can run concurrently.

        During slow start the load is scaled up, so that a restarted backend gets fewer requests.

        Args:
            now_s: Current time, in seconds on the event loop's clock.
        """
        others_load = max(0, self.reported_running + self.reported_queued - self.outstanding)
        load = (self.outstanding + others_load) / max(1, self.spec.concurrency)
        age_s = now_s - self.started_s
        if self.started_s and age_s < _SLOW_START_S:
            load /= max(_SLOW_START_MIN_FRACTION, age_s / _SLOW_START_S)
        return load


class ReplicaDirectory:
    """All replicas, updated from configuration, control's notices and responses of agents.

    Args:
        configuration: The router's configuration.
        environment: Clock and random numbers.
    """

    def __init__(self, configuration: ConfigurationStore, environment: Environment) -> None:
        self._configuration = configuration
        self._environment = environment
        self._replicas: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._incarnations: dict[str, str] = {}
        self._platform_leaving: set[str] = set()
        self.changed = ChangeSignal()
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        replicas: dict[str, Replica] = {}
        by_service: dict[str, list[Replica]] = {}
        for name, resource in sorted(self._configuration.backends().items()):
            spec = resource.backend
            replica = self._replicas.get(name) or Replica(name, spec)
            replica.spec = spec
            replica.incarnation = self._incarnations.get(spec.agent, "")
            replica.platform_leaving = spec.agent in self._platform_leaving
            replicas[name] = replica
            by_service.setdefault(spec.service, []).append(replica)
        self._replicas = replicas
        self._by_service = by_service
        self.changed.notify_waiters()

    def notice(self, notice: control_pb2.DaemonNotice) -> None:
        """Apply a notice from control that an agent started or is gone."""
        if notice.gone:
            if self._incarnations.get(notice.name) == notice.incarnation:
                self._incarnations[notice.name] = ""
        else:
            self._incarnations[notice.name] = notice.incarnation
        for replica in self._replicas.values():
            if replica.spec.agent != notice.name:
                continue
            incarnation = self._incarnations.get(notice.name, "")
            if incarnation != replica.incarnation:
                replica.incarnation = incarnation
                self._reset(replica)
        self.changed.notify_waiters()

    def _reset(self, replica: Replica) -> None:
        replica.failures = 0
        replica.ejections = 0
        replica.ejected_until_s = 0.0
        replica.leaving_until_s = 0.0
        replica.reported_running = 0
        replica.reported_queued = 0
        replica.started_s = self._environment.monotonic()

    def set_platform_leaving(self, leaving: set[str]) -> None:
        """Replace the set of agents whose machines the platform lists as leaving.

        Args:
            leaving: Names of these agents.
        """
        self._platform_leaving = leaving
        for replica in self._replicas.values():
            replica.platform_leaving = replica.spec.agent in leaving

    # ---- queries ----------------------------------------------------------

    def get(self, name: str) -> Replica | None:
        """Return a replica by the name of its Backend resource, or None."""
        return self._replicas.get(name)

    def incarnation(self, agent: str) -> str:
        """Return the current incarnation of an agent, or "" if the agent is gone or unknown."""
        return self._incarnations.get(agent, "")

    def of_service(self, service: str) -> list[Replica]:
        """Return all replicas of a service."""
        return self._by_service.get(service, [])

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that new requests may be sent to."""
        now = self._environment.monotonic()
        return [replica for replica in self.of_service(service) if replica.usable(now)]

    def all_usable(self) -> list[Replica]:
        """Return the replicas of all services that new requests may be sent to."""
        now = self._environment.monotonic()
        return [replica for replica in self._replicas.values() if replica.usable(now)]

    def subset(self, replicas: list[Replica], router: str, size: int) -> list[Replica]:
        """Return the subset of replicas that a router uses.

        Each router uses the ``size`` replicas with the highest hash of router and replica
        (rendezvous hashing). This spreads the replicas evenly over routers and changes few
        assignments when a replica is added or removed.

        Args:
            replicas: Replicas to choose from.
            router: Name of the router.
            size: Size of the subset; 0 for all replicas.
        """
        if size == 0 or len(replicas) <= size:
            return replicas
        return sorted(replicas, key=lambda replica: rendezvous_hash(router, replica.name))[-size:]

    # ---- results of attempts ----------------------------------------------

    def record_attempt_sent(self, replica: Replica) -> None:
        """Record that an attempt is sent to a replica."""
        replica.outstanding += 1

    def record_attempt_ended(self, replica: Replica) -> None:
        """Record that an attempt at a replica has ended."""
        replica.outstanding -= 1
        self.changed.notify_waiters()

    def record_response_head(self, replica: Replica, head: agent_pb2.AnswerHead) -> None:
        """Record the load and leaving state that an agent reports in a response header."""
        replica.reported_running = head.running
        replica.reported_queued = head.queued
        if head.leaving:
            now = self._environment.monotonic()
            replica.leaving_until_s = now + _LEAVING_REPORT_VALID_S

    def record_success(self, replica: Replica) -> None:
        """Record a complete response; resets the counts of failures and ejections."""
        replica.failures = 0
        replica.ejections = 0

    def record_failure(self, replica: Replica, *, certain: bool = False) -> None:
        """Record a failure; three consecutive failures eject the replica.

        Args:
            replica: Replica that failed.
            certain: Whether the replica accepted no connection; then a single failure ejects it,
                because further attempts would give no more information.
        """
        replica.failures += 1
        if replica.failures < _EJECTION_FAILURES and not certain:
            return
        pause_s = min(_MIN_EJECTION_S * 2**replica.ejections, _MAX_EJECTION_S)
        now = self._environment.monotonic()
        replica.ejections += 1
        replica.failures = 0
        replica.ejected_until_s = now + self._environment.jitter(pause_s)
        replica.started_s = replica.ejected_until_s


def rendezvous_hash(first: str, second: str) -> int:
    """Return a hash of two names that is the same in all processes."""
    return int(xxhash.xxh3_64_intdigest(f"{first}\n{second}".encode()))
