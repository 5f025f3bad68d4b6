"""Simulation in virtual time of gateways and overloaded replicas, with the production decisions.

All replicas of a service reject requests for three seconds and ask for back-off. After that they
reject only requests that exceed their slots and a short queue. A refused caller retries once, at
the time that it was given. Links delay each direction by a millisecond. Gateways do not know each
other's load.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.placement import PlacementView, place
from heronladder_router.replica_availability import ReplicaAvailability
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_router.response_signals import ResponseSignals
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import resources_pb2

SERVICE = "app"
OVERLOAD_S = (2.0, 5.0)
IN_FLIGHT_S = 0.5
_LINK_DELAY_S = 0.001
_SERVICE_TIME_S = 0.1
_MAX_QUEUED = 6
_MAX_ATTEMPTS = 3
_MAX_TRIES = 2
_FULL_BACK_OFF_S = 0.5


class Clock(Environment):
    """Virtual time."""

    now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass
class _Replica:
    """A simulated replica.

    Attributes:
        name: Its id.
        slots: Requests that it runs at once.
        running: Requests that run now.
        waiting: Queued requests with their gateways.
        asked: Rejections: time, gateway and requested back-off in seconds.
        arrivals: Time and gateway of each request that arrived.
    """

    name: str
    slots: int
    running: int = 0
    waiting: list[tuple["_Gateway", "_Request"]] = field(default_factory=list)
    asked: list[tuple[float, str, float]] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)


@dataclass
class _Gateway:
    """A simulated gateway and its state."""

    name: str
    availability: ReplicaAvailability
    replicas: dict[str, FleetReplica]


@dataclass
class _Request:
    """One try of a caller: a request, with its attempts at replicas."""

    number: int
    tries: int = 1
    sends: int = 0
    tried: set[str] = field(default_factory=set)


@dataclass
class BackOffSimulation:
    """One simulation.

    Attributes:
        gateways: Number of gateways.
        replicas: Number of replicas.
        slots: Requests that a replica runs at once.
        load: Rate of new requests, as a fraction of the capacity of the replicas.
        requested_back_off_s: Back-off that overloaded replicas ask for.
        seconds: Time during which new requests arrive.
        seed: Seed of the random numbers.
        spreads_retries: Whether refused callers get different retry times, and a replica gets one
            request at first after its back-off.
        respects_back_off: Whether gateways respect back-off at all.
    """

    gateways: int = 6
    replicas: int = 6
    slots: int = 6
    load: float = 0.7
    requested_back_off_s: float = 3.0
    seconds: float = 12.0
    seed: int = 1
    spreads_retries: bool = True
    respects_back_off: bool = True

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)
        self.clock = Clock(random=self.source)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._numbers = count()
        self.all = {
            f"r{number}": _Replica(f"r{number}", self.slots) for number in range(self.replicas)
        }
        self.fleet = [self._gateway(f"g{number}") for number in range(self.gateways)]
        self.served_s: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self.rejected_after_overload = 0

    def _gateway(self, name: str) -> _Gateway:
        availability = ReplicaAvailability(self.clock, Metrics(), EventLog("gateway", name))
        availability.gateways = lambda: self.gateways
        records = (
            resources_pb2.Replica(id=one, service=SERVICE, zone="z", slots=self.slots)
            for one in self.all
        )
        replicas = {record.id: FleetReplica(record, CachedPromptParts(0)) for record in records}
        return _Gateway(name, availability, replicas)

    @property
    def per_s(self) -> float:
        """New requests per second, without retries."""
        return self.load * self.replicas * self.slots / _SERVICE_TIME_S

    # ---- time -------------------------------------------------------------

    def _schedule(self, after_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now_s + after_s, next(self._order), event))

    def run(self) -> "BackOffSimulation":
        """Run the simulation until no events are left."""
        self._arrive()
        while self._events:
            self.clock.now_s, _, event = heapq.heappop(self._events)
            event()
        return self

    # ---- callers ----------------------------------------------------------

    def _arrive(self) -> None:
        if self.clock.now_s > self.seconds:
            return
        self._try(_Request(next(self._numbers)))
        self._schedule(self.source.expovariate(self.per_s), self._arrive)

    def _try(self, request: _Request) -> None:
        self._send(self.source.choice(self.fleet), request)

    def _refuse(self, request: _Request, after_s: float) -> None:
        if request.tries >= _MAX_TRIES:
            self.outcomes["refused"] += 1
            return
        again = _Request(request.number, request.tries + 1)
        self._schedule(after_s, lambda: self._try(again))

    # ---- a gateway --------------------------------------------------------

    def _send(self, gateway: _Gateway, request: _Request) -> None:
        view = PlacementView(
            replicas=list(gateway.replicas.values()),
            now_s=self.clock.now_s,
            zone="z",
            zone_regions={"z": "r"},
            evacuated=(),
            cold_capacity_per_s=0.0,
            cold_share=lambda *_: 0,
            shares_load=False,
            availability=self._verdict(gateway),
            is_window_full=self._is_window_full(gateway),
        )
        chosen = place(view, RequestProfile(SERVICE), request.tried, self.source).replica
        if chosen is None or request.sends >= _MAX_ATTEMPTS:
            self._refuse(request, self._retry_after_s(gateway))
            return
        request.sends += 1
        request.tried.add(chosen.name)
        chosen.in_flight += 1
        self._schedule(
            _LINK_DELAY_S, lambda: self._receive_request(self.all[chosen.name], gateway, request)
        )

    def _verdict(self, gateway: _Gateway) -> Callable[[FleetReplica], Availability]:
        if not self.respects_back_off:
            return lambda _replica: Availability.AVAILABLE
        return gateway.availability.verdict

    def _is_window_full(self, gateway: _Gateway) -> Callable[[FleetReplica], bool]:
        if not (self.respects_back_off and self.spreads_retries):
            return lambda _replica: False
        return gateway.availability.is_window_full

    def _retry_after_s(self, gateway: _Gateway) -> float:
        retry_after_s = gateway.availability.caller_retry_after_s(
            SERVICE, gateway.replicas.values()
        )
        if retry_after_s is None or not self.respects_back_off:
            return 0.3
        if self.spreads_retries:
            return retry_after_s
        records = gateway.availability._records.values()
        now_s = self.clock.now_s
        return min(one.back_off_until_s for one in records if one.back_off_until_s > now_s) - now_s

    # ---- a replica --------------------------------------------------------

    def _receive_request(self, replica: _Replica, gateway: _Gateway, request: _Request) -> None:
        now_s = self.clock.now_s
        replica.arrivals.append((now_s, gateway.name))
        if OVERLOAD_S[0] <= now_s < OVERLOAD_S[1]:
            self._reject(replica, gateway, request, self.requested_back_off_s)
        elif replica.running < replica.slots:
            self._start(replica, gateway, request)
        elif len(replica.waiting) < _MAX_QUEUED:
            replica.waiting.append((gateway, request))
        else:
            self._reject(replica, gateway, request, _FULL_BACK_OFF_S)

    def _reject(
        self, replica: _Replica, gateway: _Gateway, request: _Request, requested_back_off_s: float
    ) -> None:
        self.rejected_after_overload += self.clock.now_s >= OVERLOAD_S[1]
        replica.asked.append((self.clock.now_s, gateway.name, requested_back_off_s))
        self._schedule(
            _LINK_DELAY_S,
            lambda: self._receive_rejection(replica, gateway, request, requested_back_off_s),
        )

    def _receive_rejection(
        self, replica: _Replica, gateway: _Gateway, request: _Request, requested_back_off_s: float
    ) -> None:
        known = gateway.replicas[replica.name]
        known.in_flight -= 1
        signals = ResponseSignals(not_run=True, back_off_s=requested_back_off_s)
        gateway.availability.observe(known, signals, str(request.number))
        self._send(gateway, request)

    def _start(self, replica: _Replica, gateway: _Gateway, request: _Request) -> None:
        replica.running += 1
        took_s = _SERVICE_TIME_S * self.source.uniform(0.8, 1.2)
        self._schedule(took_s, lambda: self._finish(replica, gateway, request))

    def _finish(self, replica: _Replica, gateway: _Gateway, request: _Request) -> None:
        replica.running -= 1
        known = gateway.replicas[replica.name]
        known.in_flight -= 1
        gateway.availability.succeeded(known)
        self.outcomes["served"] += 1
        self.served_s.append(self.clock.now_s)
        if replica.waiting:
            self._start(replica, *replica.waiting.pop(0))

    # ---- results ----------------------------------------------------------

    def max_attempts_during_back_off(self) -> int:
        """Return the largest number of attempts of one gateway during one requested back-off."""
        return max(
            (
                self._attempts_during(replica, *asked)
                for replica in self.all.values()
                for asked in replica.asked
            ),
            default=0,
        )

    @staticmethod
    def _attempts_during(
        replica: _Replica, at_s: float, gateway: str, requested_back_off_s: float
    ) -> int:
        return sum(
            1
            for arrived_s, by in replica.arrivals
            if by == gateway and at_s + IN_FLIGHT_S < arrived_s < at_s + requested_back_off_s
        )

    def recovery_s(self, share: float = 0.9) -> float:
        """Return the time from the end of the overload until ``share`` of the load is served."""
        for step in range(80):
            from_s = OVERLOAD_S[1] + step * 0.1
            served = sum(1 for served_s in self.served_s if from_s <= served_s < from_s + 0.5)
            if served >= share * self.per_s * 0.5:
                return step * 0.1
        return float("inf")
