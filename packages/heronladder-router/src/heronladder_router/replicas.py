"""Replicas of services: which there are, and how each is doing."""

from dataclasses import dataclass

import xxhash
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import agent_pb2, control_pb2, resources_pb2

_EJECT_FAILURES = 3
_EJECT_FIRST_S = 2.0
_EJECT_LONGEST_S = 60.0
_SLOW_START_S = 10.0
_SLOW_START_LEAST = 0.1
_LEAVING_MEMORY_S = 10.0


@dataclass
class Replica:
    """One back end and its agent, as this router sees them.

    Attributes:
        name: Name of the Backend resource.
        spec: The Backend.
        incarnation: Incarnation of its agent; empty while it is not known.
        outstanding: Requests that this router has there now.
        reported_running: Requests running there when it last answered.
        reported_queued: Requests waiting there when it last answered.
        failures: Failures in a row.
        ejections: Ejections in a row; each lasts twice as long as the one before.
        ejected_until_s: When it may be tried again.
        leaving_until_s: It said that it leaves; believed until then.
        platform_leaving: The platform's list says that its machine leaves.
        started_s: When it came, or came back; its load is raised slowly from then.
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
        """Whether new work may be sent to it."""
        return (
            bool(self.incarnation)
            and not self.spec.draining
            and not self.platform_leaving
            and now_s >= self.ejected_until_s
            and now_s >= self.leaving_until_s
        )

    def load(self, now_s: float) -> float:
        """Return its load as a share of what it can run at once."""
        others = max(0, self.reported_running + self.reported_queued - self.outstanding)
        share = (self.outstanding + others) / max(1, self.spec.concurrency)
        age_s = now_s - self.started_s
        if self.started_s and age_s < _SLOW_START_S:
            share /= max(_SLOW_START_LEAST, age_s / _SLOW_START_S)
        return share


class ReplicaDirectory:
    """All replicas, kept up to date from configuration, notices and answers.

    Args:
        configuration: The router's configuration.
        environment: Time.
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
        """Take in control's word on an agent's incarnation."""
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
                self._start_anew(replica)
        self.changed.notify_waiters()

    def _start_anew(self, replica: Replica) -> None:
        replica.failures = 0
        replica.ejections = 0
        replica.ejected_until_s = 0.0
        replica.leaving_until_s = 0.0
        replica.reported_running = 0
        replica.reported_queued = 0
        replica.started_s = self._environment.monotonic()

    def platform_says(self, leaving: set[str]) -> None:
        """Take in the platform's word: the agents whose machines are leaving."""
        self._platform_leaving = leaving
        for replica in self._replicas.values():
            replica.platform_leaving = replica.spec.agent in leaving

    # ---- reading ----------------------------------------------------------

    def get(self, name: str) -> Replica | None:
        """Return a replica by the name of its Backend."""
        return self._replicas.get(name)

    def incarnation(self, agent: str) -> str:
        """Return the current incarnation of an agent, or "" if it is gone or unknown."""
        return self._incarnations.get(agent, "")

    def of_service(self, service: str) -> list[Replica]:
        """Return all replicas of a service."""
        return self._by_service.get(service, [])

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be sent new work."""
        now = self._environment.monotonic()
        return [replica for replica in self.of_service(service) if replica.usable(now)]

    def all_usable(self) -> list[Replica]:
        """Return the replicas of all services that may be sent new work."""
        now = self._environment.monotonic()
        return [replica for replica in self._replicas.values() if replica.usable(now)]

    def subset(self, replicas: list[Replica], router: str, size: int) -> list[Replica]:
        """Return the part of the replicas that a router looks at.

        Each router takes the ``size`` replicas with the highest hash of router
        and replica: even over routers, and little changed when one comes or goes.
        """
        if size == 0 or len(replicas) <= size:
            return replicas
        return sorted(replicas, key=lambda replica: hash_pair(router, replica.name))[-size:]

    # ---- what attempts tell -----------------------------------------------

    def sent(self, replica: Replica) -> None:
        """Note that an attempt goes to a replica."""
        replica.outstanding += 1

    def ended(self, replica: Replica) -> None:
        """Note that an attempt at a replica is over."""
        replica.outstanding -= 1
        self.changed.notify_waiters()

    def answered(self, replica: Replica, head: agent_pb2.AnswerHead) -> None:
        """Take in what an agent said of itself with its answer."""
        replica.reported_running = head.running
        replica.reported_queued = head.queued
        if head.leaving:
            now = self._environment.monotonic()
            replica.leaving_until_s = now + _LEAVING_MEMORY_S

    def succeeded(self, replica: Replica) -> None:
        """Note a whole answer."""
        replica.failures = 0
        replica.ejections = 0

    def failed(self, replica: Replica, *, certain: bool = False) -> None:
        """Note a failure; several in a row, or a certain one, eject the replica.

        Args:
            replica: The replica.
            certain: It took no connection, so that more tries prove nothing.
        """
        replica.failures += 1
        if replica.failures < _EJECT_FAILURES and not certain:
            return
        pause_s = min(_EJECT_FIRST_S * 2**replica.ejections, _EJECT_LONGEST_S)
        now = self._environment.monotonic()
        replica.ejections += 1
        replica.failures = 0
        replica.ejected_until_s = now + self._environment.jitter(pause_s)
        replica.started_s = replica.ejected_until_s


def hash_pair(first: str, second: str) -> int:
    """Return a hash of two names that is the same in every process."""
    return int(xxhash.xxh3_64_intdigest(f"{first}\n{second}".encode()))
