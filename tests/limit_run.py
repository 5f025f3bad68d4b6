"""Gateways, a leader and rate-limited replicas in virtual time, with the product's own decisions.

Way there and back take some milliseconds; the book counts what each replica gets in sum.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.replica_limits import SharedReplicaLimits
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.kept_parts import KeptParts
from heronladder_router.replica_limits import ReplicaLimits
from heronladder_router.replica_state import FleetReplica
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2
from limited_fleet import WINDOW_S, allowed

SERVICE = "app"
_HEARTBEAT_S = 0.3
_SHARED_S = 1.0


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass
class LimitRun:
    """One run.

    Attributes:
        gateways: How many.
        limits: Requests a second of each replica that is rate-limited.
        healthy: Replicas beside them.
        per_s: Requests of all callers a second.
        seconds: How long.
        seed: Of all choices.
        weights: Gives the part of the requests that a gateway gets.
        leaderless: Spans without a leader, in seconds from the start.
        cut: Gateways that are cut from control, and from when to when.
        changes: New limits of the first replica, by when.
        burst: Times as many requests, from when to when.
        wakes: Gateways that stand still, and from when to when.
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
        self.named: dict[str, list[tuple[float, float | None]]] = {}  # since when which limit
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

    # ---- parts ------------------------------------------------------------

    def _make_leader(self) -> SharedReplicaLimits:
        return SharedReplicaLimits(
            self.clock, lambda: self.term, Metrics(), EventLog("control", "c")
        )

    def _add_gateway(self, number: int) -> None:
        replicas = {
            name: FleetReplica(resources_pb2.Replica(id=name, service=SERVICE), KeptParts(0))
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
        limits.gateways = lambda: GatewaysKnown(names, self.gateways)
        limits.leader_heard_s = lambda: self.observed_s[number]
        limits.send_heartbeat_now = lambda: self._at(0.0, lambda: self._beat(number))
        self.replicas[number], self.limited[number] = replicas, limits
        self.observed_s[number] = self.clock.now_s
        record = ledger_pb2.DaemonRecord(name=f"g{number}")
        self.sessions[number] = DaemonSession(control_pb2.Hello(daemon=record))

    def _at(self, in_s: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now_s + in_s, next(self._order), what))

    @property
    def since_s(self) -> float:
        return self.clock.now_s - self.began_s

    def _within(self, spans: list[tuple[float, float]]) -> bool:
        return any(from_s <= self.since_s < to_s for from_s, to_s in spans)

    def _is_away(self, number: int) -> bool:
        spans = [self.cut[number]] if number in self.cut else []
        return self._within(spans + self.leaderless) or self._is_still(number)

    def _is_still(self, number: int) -> bool:
        stands = number in self.frozen and self._within([self.frozen[number]])
        return stands or self.since_s < self.starts.get(number, 0.0)

    # ---- what happens -----------------------------------------------------

    def run(self) -> "LimitRun":
        """Play it."""
        for number in range(self.gateways):
            self._at(self.source.random() * _HEARTBEAT_S, lambda n=number: self._beats(n))
        for at_s, limit in self.changes.items():
            self._at(at_s, lambda to=limit: self.limit_now.update(r0=to))
        for _, to_s in self.leaderless:
            self._at(to_s, self._elect)
        self._at(0.0, self._request)
        while self._events and self.since_s < self.seconds:
            self.clock.now_s, _, what = heapq.heappop(self._events)
            what()
        return self

    def _elect(self) -> None:
        self.term += 1
        for number in self.sessions:
            record = ledger_pb2.DaemonRecord(name=f"g{number}")
            self.sessions[number] = DaemonSession(control_pb2.Hello(daemon=record))

    def _way_s(self) -> float:
        return self.source.uniform(0.001, 0.02)

    def _beats(self, number: int) -> None:
        self._at(_HEARTBEAT_S, lambda: self._beats(number))
        self._beat(number)

    def _beat(self, number: int) -> None:
        if self._is_still(number):
            return
        heartbeat = control_pb2.Heartbeat()
        self.limited[number].fill_heartbeat(heartbeat)
        self.heartbeat_bytes += heartbeat.ByteSize()
        if not self._is_away(number):
            sent_s = self.clock.now_s
            self._at(self._way_s(), lambda: self._answer(number, heartbeat, sent_s))

    def _answer(self, number: int, heartbeat: control_pb2.Heartbeat, sent_s: float) -> None:
        self.leader.observe(f"g{number}", heartbeat.replica_limits)
        frame = control_pb2.ControlFrame()
        self.leader.fill(self.sessions[number], frame)
        self.frame_bytes += frame.ByteSize()
        self._at(self._way_s(), lambda: self._take(number, frame, sent_s))

    def _take(self, number: int, frame: control_pb2.ControlFrame, sent_s: float) -> None:
        if self._is_away(number):
            return
        self.observed_s[number] = self.clock.now_s
        self.limited[number].take(frame, sent_s)

    def _request(self) -> None:
        from_s, to_s, times = self.burst
        rate = self.per_s * (times if from_s <= self.since_s < to_s else 1.0)
        self._at(self.source.expovariate(rate), self._request)
        numbers = list(range(self.gateways))
        number = self.source.choices(numbers, [self.weights(one) for one in numbers])[0]
        if not self._is_still(number):
            self._send(number, may_wait=True)

    def _send(self, number: int, *, may_wait: bool) -> None:
        limits, replicas = self.limited[number], self.replicas[number]
        if may_wait:
            limits.requested(SERVICE)
        open_to = []
        for replica in replicas.values():
            verdict = limits.verdict(replica)
            if verdict is None or verdict.may_send:
                open_to.append(replica)
        if not open_to:
            if may_wait and limits.begin_wait(SERVICE):
                self._at(0.1, lambda: self._send_at_last(number))
            else:
                self.refused += 1
                limits.come_back_s(SERVICE)
            return
        granted = [one for one in open_to if limits.verdict(one) is LimitVerdict.GRANTED]
        # As placement does among equals: here at half of the requests that could.
        prefers = granted and self.source.random() < 0.5
        replica = self.source.choice(granted if prefers else open_to)
        limits.sent(replica)
        self.sent += 1
        sent_s = self.clock.now_s
        self._at(self._way_s(), lambda: self._arrive(number, replica, sent_s))

    def _send_at_last(self, number: int) -> None:
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
        self._at(took_s, lambda: self._hear(number, replica, text, sent_s))

    def _hear(self, number: int, replica: FleetReplica, text: str | None, sent_s: float) -> None:
        if not self._is_still(number):
            self.limited[number].observe(replica, text, sent_s)

    # ---- the book ---------------------------------------------------------

    def _judged(self, name: str, excused: frozenset[int]) -> list[tuple[float, int, float]]:
        """Return what a replica got in the four seconds up to each send, and what it may get.

        A report takes a second to come round. So while it changes the larger limit counts, and
        nothing is judged until a second after the replica named one again.
        """
        counted = [
            at_s
            for at_s, by in self.arrivals.get(name, [])
            if by not in excused and self._bound_since(name, at_s)
        ]
        judged = []
        first = 0
        for last, end_s in enumerate(counted):
            while counted[first] <= end_s - WINDOW_S:
                first += 1
            limit = self._largest(name, end_s - WINDOW_S - _SHARED_S, end_s)
            judged.append((end_s, last - first + 1, allowed(limit)))
        return judged

    def _bound_since(self, name: str, at_s: float) -> bool:
        """Whether all gateways could know at a moment that a replica names a limit."""
        named = [since_s for since_s, limit in self.named[name] if since_s <= at_s]
        if not named or self.named[name][len(named) - 1][1] is None:
            return False
        began_s = named[-1]
        for since_s, limit in reversed(self.named[name][: len(named)]):
            if limit is None:
                break
            began_s = since_s
        return at_s >= began_s + _SHARED_S

    def _largest(self, name: str, from_s: float, to_s: float) -> float:
        limits = [limit for since_s, limit in self.named[name] if from_s <= since_s <= to_s]
        before = [limit for since_s, limit in self.named[name] if since_s < from_s][-1:]
        return max(limit for limit in [*limits, *before, 0.0] if limit is not None)

    def most(self, name: str, excused: frozenset[int] = frozenset()) -> int:
        """Return the most that a replica got in four seconds, once its report could be round."""
        return max((got for _, got, _ in self._judged(name, excused)), default=0)

    def broken(self, excused: frozenset[int] = frozenset()) -> list[str]:
        """Return which replicas got more than they may, with the first time each."""
        found = []
        for name in self.named:
            for end_s, got, may in self._judged(name, excused):
                if got > may:
                    found.append(f"{name}: {got} of {may:g} at {end_s - self.began_s:.2f} s")
                    break
        return found

    def used_share(self, name: str) -> float:
        """Return what part of its limit a replica got, after the first seconds."""
        limit = self.limit_now[name]
        assert limit
        from_s = self.named[name][0][0] + 2 * _SHARED_S
        got = sum(1 for at_s, _ in self.arrivals[name] if at_s >= from_s)
        return got / (limit * (self.clock.now_s - from_s))
