"""Simulation in virtual time of gateways, a leader and rate-limited replicas.

It uses the production decisions. Messages take up to 20 ms in each direction. The simulation
records every arrival at a replica and checks the totals against the limits.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.replica_limits import SharedReplicaLimits
from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.replica_limits import ReplicaLimits
from heronladder_router.replica_state import FleetReplica
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2
from limited_fleet import WINDOW_S, allowed

SERVICE = "app"
_HEARTBEAT_S = 0.3
_SHARED_S = 1.0  # time until all gateways know a new limit


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass
class LimitSimulation:
    """One simulation. All times are in seconds from its start.

    Attributes:
        gateways: Number of gateways.
        limits: Limit of each rate-limited replica, in requests per second.
        healthy: Number of replicas without a limit.
        per_s: Requests of all callers per second.
        seconds: Duration.
        seed: Seed of the random numbers.
        weights: Returns the relative rate of requests at a gateway.
        leaderless: Intervals without a leader.
        cut: Intervals in which gateways are disconnected from control, by gateway.
        changes: New limits of the first replica, by time.
        burst: Interval, and the factor by which it has more requests.
        frozen: Intervals in which gateways are suspended, by gateway.
        starts: Start times of gateways that start late.
    """

    gateways: int
    limits: list[float]
    healthy: int
    per_s: float
    seconds: float = 20.0
    seed: int = 1
    weights: Callable[[int], float] = lambda number: 1.0
    leaderless: list[tuple[float, float]] = field(default_factory=list)
    cut: dict[int, tuple[float, float]] = field(default_factory=dict)
    changes: dict[float, float | None] = field(default_factory=dict)
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    frozen: dict[int, tuple[float, float]] = field(default_factory=dict)
    starts: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)
        self.clock = _Clock()
        self.began_s = self.clock.now_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.arrivals: dict[str, list[tuple[float, int]]] = {}
        # Limits announced by each replica, with their start times.
        self.named: dict[str, list[tuple[float, float | None]]] = {}
        self.sent = self.refused = self.served_by_healthy = 0
        self.heartbeat_bytes = self.frame_bytes = 0
        self.limit_now: dict[str, float | None] = {
            f"r{number}": limit for number, limit in enumerate(self.limits)
        }
        for number in range(self.healthy):
            self.limit_now[f"s{number}"] = None
        self.term = 1
        self.leader = self._make_leader()
        self.sessions: dict[int, DaemonSession] = {}
        self.replicas: dict[int, dict[str, FleetReplica]] = {}
        self.observed_s: dict[int, float] = {}
        self.limited: dict[int, ReplicaLimits] = {}
        for number in range(self.gateways):
            self._add_gateway(number)

    # ---- setup ------------------------------------------------------------

    def _make_leader(self) -> SharedReplicaLimits:
        return SharedReplicaLimits(
            self.clock, lambda: self.term, Metrics(), EventLog("control", "c")
        )

    def _add_gateway(self, number: int) -> None:
        replicas = {
            name: FleetReplica(
                resources_pb2.Replica(id=name, service=SERVICE), CachedPromptParts(0)
            )
            for name in self.limit_now
        }
        limits = ReplicaLimits(
            replicas.get,
            lambda _service: list(replicas.values()),
            self.clock,
            Metrics(),
            EventLog("gateway", f"g{number}"),
        )
        limits.gateway = f"g{number}"
        names = frozenset(f"g{other}" for other in range(self.gateways))
        limits.gateways = lambda: KnownGateways(names, self.gateways)
        limits.last_leader_contact_s = lambda: self.observed_s[number]
        limits.send_heartbeat_now = lambda: self._schedule(
            0.0, lambda: self._send_heartbeat(number)
        )
        self.replicas[number], self.limited[number] = replicas, limits
        self.observed_s[number] = self.clock.now_s
        record = ledger_pb2.DaemonRecord(name=f"g{number}")
        self.sessions[number] = DaemonSession(control_pb2.Hello(daemon=record), 1)

    def _schedule(self, in_s: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now_s + in_s, next(self._order), what))

    @property
    def elapsed_s(self) -> float:
        return self.clock.now_s - self.began_s

    def _within(self, spans: list[tuple[float, float]]) -> bool:
        return any(from_s <= self.elapsed_s < to_s for from_s, to_s in spans)

    def _is_disconnected(self, number: int) -> bool:
        spans = [self.cut[number]] if number in self.cut else []
        return self._within(spans + self.leaderless) or self._is_frozen(number)

    def _is_frozen(self, number: int) -> bool:
        is_frozen = number in self.frozen and self._within([self.frozen[number]])
        return is_frozen or self.elapsed_s < self.starts.get(number, 0.0)

    # ---- events -----------------------------------------------------------

    def run(self) -> "LimitSimulation":
        """Run the simulation to its end."""
        for number in range(self.gateways):
            self._schedule(
                self.source.random() * _HEARTBEAT_S, lambda n=number: self._heartbeat_loop(n)
            )
        for at_s, limit in self.changes.items():
            self._schedule(at_s, lambda to=limit: self.limit_now.update(r0=to))
        for _, to_s in self.leaderless:
            self._schedule(to_s, self._elect)
        self._schedule(0.0, self._caller_request)
        while self._events and self.elapsed_s < self.seconds:
            self.clock.now_s, _, what = heapq.heappop(self._events)
            what()
        return self

    def _elect(self) -> None:
        self.term += 1
        for number in self.sessions:
            record = ledger_pb2.DaemonRecord(name=f"g{number}")
            self.sessions[number] = DaemonSession(control_pb2.Hello(daemon=record), 1)

    def _link_delay_s(self) -> float:
        return self.source.uniform(0.001, 0.02)

    def _heartbeat_loop(self, number: int) -> None:
        self._schedule(_HEARTBEAT_S, lambda: self._heartbeat_loop(number))
        self._send_heartbeat(number)

    def _send_heartbeat(self, number: int) -> None:
        if self._is_frozen(number):
            return
        heartbeat = control_pb2.Heartbeat()
        self.limited[number].fill_heartbeat(heartbeat)
        self.heartbeat_bytes += heartbeat.ByteSize()
        if not self._is_disconnected(number):
            sent_s = self.clock.now_s
            self._schedule(
                self._link_delay_s(), lambda: self._leader_respond(number, heartbeat, sent_s)
            )

    def _leader_respond(self, number: int, heartbeat: control_pb2.Heartbeat, sent_s: float) -> None:
        self.leader.observe(f"g{number}", heartbeat.replica_limits)
        frame = control_pb2.ControlFrame()
        self.leader.fill(self.sessions[number], frame)
        self.frame_bytes += frame.ByteSize()
        self._schedule(self._link_delay_s(), lambda: self._receive_frame(number, frame, sent_s))

    def _receive_frame(self, number: int, frame: control_pb2.ControlFrame, sent_s: float) -> None:
        if self._is_disconnected(number):
            return
        self.observed_s[number] = self.clock.now_s
        self.limited[number].apply_frame(frame, sent_s)

    def _caller_request(self) -> None:
        from_s, to_s, times = self.burst
        rate = self.per_s * (times if from_s <= self.elapsed_s < to_s else 1.0)
        self._schedule(self.source.expovariate(rate), self._caller_request)
        numbers = list(range(self.gateways))
        number = self.source.choices(numbers, [self.weights(one) for one in numbers])[0]
        if not self._is_frozen(number):
            self._send(number, may_wait=True)

    def _send(self, number: int, *, may_wait: bool) -> None:
        limits, replicas = self.limited[number], self.replicas[number]
        if may_wait:
            limits.requested(SERVICE)
        eligible = []
        for replica in replicas.values():
            verdict = limits.verdict(replica)
            if verdict is None or verdict.may_send:
                eligible.append(replica)
        if not eligible:
            if may_wait and limits.begin_wait(SERVICE):
                self._schedule(0.1, lambda: self._send_after_wait(number))
            else:
                self.refused += 1
                limits.caller_retry_after_s(SERVICE)
            return
        granted = [one for one in eligible if limits.verdict(one) is LimitVerdict.GRANTED]
        # Like placement among equal replicas, prefer one with a grant; here for half of them.
        prefers = granted and self.source.random() < 0.5
        replica = self.source.choice(granted if prefers else eligible)
        limits.sent(replica)
        self.sent += 1
        sent_s = self.clock.now_s
        self._schedule(self._link_delay_s(), lambda: self._arrive(number, replica, sent_s))

    def _send_after_wait(self, number: int) -> None:
        self.limited[number].end_wait(SERVICE)
        self._send(number, may_wait=False)

    def _arrive(self, number: int, replica: FleetReplica, sent_s: float) -> None:
        limit = self.limit_now[replica.name]
        self.arrivals.setdefault(replica.name, []).append((self.clock.now_s, number))
        named = self.named.setdefault(replica.name, [])
        if (named[-1][1] if named else None) != limit:
            named.append((self.clock.now_s, limit))
        text = None if limit is None else str(limit)
        took_s = self.source.uniform(0.02, 0.3)
        self._schedule(took_s, lambda: self._receive_response(number, replica, text, sent_s))

    def _receive_response(
        self, number: int, replica: FleetReplica, text: str | None, sent_s: float
    ) -> None:
        if not self._is_frozen(number):
            self.limited[number].observe(replica, text, sent_s)

    # ---- results ----------------------------------------------------------

    def _window_totals(self, name: str, excluded: frozenset[int]) -> list[tuple[float, int, float]]:
        """Return how many requests a replica got in the four seconds up to each arrival.

        A report reaches all gateways within a second. Therefore the larger limit applies while a
        limit changes, and nothing is checked until a second after a replica announced a limit.

        Returns:
            End of the window, number of requests in it, and the number allowed.
        """
        counted = [
            at_s
            for at_s, by in self.arrivals.get(name, [])
            if by not in excluded and self._is_limit_known(name, at_s)
        ]
        judged = []
        first = 0
        for last, end_s in enumerate(counted):
            while counted[first] <= end_s - WINDOW_S:
                first += 1
            limit = self._largest_limit(name, end_s - WINDOW_S - _SHARED_S, end_s)
            judged.append((end_s, last - first + 1, allowed(limit)))
        return judged

    def _is_limit_known(self, name: str, at_s: float) -> bool:
        """Return whether all gateways could know at a time that a replica has a limit."""
        named = [elapsed_s for elapsed_s, limit in self.named[name] if elapsed_s <= at_s]
        if not named or self.named[name][len(named) - 1][1] is None:
            return False
        began_s = named[-1]
        for elapsed_s, limit in reversed(self.named[name][: len(named)]):
            if limit is None:
                break
            began_s = elapsed_s
        return at_s >= began_s + _SHARED_S

    def _largest_limit(self, name: str, from_s: float, to_s: float) -> float:
        limits = [limit for elapsed_s, limit in self.named[name] if from_s <= elapsed_s <= to_s]
        before = [limit for elapsed_s, limit in self.named[name] if elapsed_s < from_s][-1:]
        return max(limit for limit in [*limits, *before, 0.0] if limit is not None)

    def most(self, name: str, excluded: frozenset[int] = frozenset()) -> int:
        """Return the most requests in four seconds, once all gateways could know the limit."""
        return max((got for _, got, _ in self._window_totals(name, excluded)), default=0)

    def violations(self, excluded: frozenset[int] = frozenset()) -> list[str]:
        """Return the replicas that got more than allowed, with the first time of each."""
        found = []
        for name in self.named:
            for end_s, got, may in self._window_totals(name, excluded):
                if got > may:
                    found.append(f"{name}: {got} of {may:g} at {end_s - self.began_s:.2f} s")
                    break
        return found

    def used_fraction(self, name: str) -> float:
        """Return the fraction of its limit that a replica got, after the first seconds."""
        limit = self.limit_now[name]
        assert limit
        from_s = self.named[name][0][0] + 2 * _SHARED_S
        got = sum(1 for at_s, _ in self.arrivals[name] if at_s >= from_s)
        return got / (limit * (self.clock.now_s - from_s))
