"""Shares out what rate-limited replicas take: sends that routers may make, granted by the leader.

A rate-limited replica names what it takes from all routers together, and no router knows what the
others send. So the leader alone hands its requests out, a few at a time, to those that ask. A grant
runs out soon, so that what is granted in any span of time is close to what is sent in it. All of it
is soft state: routers tell all that they know with each heartbeat.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_limit import (
    ENDED_REPORTED_S,
    GRANT_VALIDITY_S,
    MAX_REPORTS,
    Incarnation,
    LimitReport,
    from_message,
    newest,
    to_message,
)
from heronladder_schema.v1 import control_pb2

from heronladder_control.daemon_session import DaemonSession

# Of what a replica takes; the rest is for sends that nobody granted: those under way when it first
# named its limit, and those of routers that are cut off.
_GRANTED_SHARE = 0.95
# So much is granted of any limit, 0 too: only an answer tells that the need has ended.
_LEAST_PER_S = 0.1
# What comes together in so long may be granted together: a heartbeat of each router.
_SAVED_S = 0.3
# A router that asked in vain within that time keeps its turn: until its next heartbeat, and a half
# . Only where a replica takes a request a heartbeat or more: below, a turn kept for callers
# that have given up costs others (virtual time, 30 gateways, 1.7 a second: 0.58 to 0.61 of it used,
# 0.72 to 0.75 without; 20 a second: least served gateway 0.19 to 0.21 of its requests, 0.06 to 0.12
# without turns).
_ASK_HOLDS_S = 0.45
_DROP_PAUSE_S = 1.0  # between two looks for replicas that nobody tells of
_UNREPORTED_S = 5.0  # nobody told of a replica for longer: it is forgotten
# Nobody heard of a replica for longer: sends granted there run out unused, at gateways that get too
# few requests. One that holds longer is granted now and then, so that the end of the need is
# noticed; two at most are out at a time.
_UNOBSERVED_S = 3.0
_LONG_HOLDS_S = 10.0
_LONG_PAUSE_S = 5.0


@dataclass(frozen=True)
class _Ask:
    """What a router asks for: sends at any of a service's rate-limited replicas."""

    asked_s: float
    service: str
    sends: int


@dataclass
class _Shared:
    """One rate-limited replica.

    Attributes:
        report: The newest report on it.
        version: Rises when what routers go by changes.
        reported_s: When a router told of it last.
        free: Sends that may be granted now.
        filled_s: When that was counted.
        asks: What each router asks for.
        waits_s: By router: since when it waits, from its first ask or its newest grant.
        long_s: When a send was granted last that holds longer.
    """

    report: LimitReport
    version: int
    reported_s: float
    free: float
    filled_s: float
    asks: dict[str, _Ask] = field(default_factory=dict)
    waits_s: dict[str, float] = field(default_factory=dict)
    long_s: float = float("-inf")

    @property
    def rate_per_s(self) -> float:
        """Sends granted in a second."""
        return max(_LEAST_PER_S, _GRANTED_SHARE * (self.report.per_s or 0.0))

    @property
    def most_saved(self) -> float:
        """Sends that may be granted together."""
        return max(1.0, self.rate_per_s * _SAVED_S)

    def fill(self, now_s: float) -> None:
        """Add what may be granted since it was counted last."""
        since_s = max(0.0, now_s - self.filled_s)
        self.free = min(self.most_saved, self.free + self.rate_per_s * since_s)
        self.filled_s = max(self.filled_s, now_s)

    def open_to(self, router: str, now_s: float) -> int:
        """Return how many sends a router may be granted now; those that waited longer go first."""
        self.fill(now_s)
        if router not in self.asks:
            return 0
        own = self._waited(router, now_s)
        before = sum(
            1
            for other, ask in self.asks.items()
            if now_s - ask.asked_s < _ASK_HOLDS_S and self._waited(other, now_s) > own
        )
        return max(0, int(self.free) - before)

    def _waited(self, router: str, now_s: float) -> float:
        return (now_s - self.waits_s[router]) * self.asks[router].sends

    def grant(self, router: str, sends: int, now_s: float) -> None:
        """Take sends for a router."""
        self.free -= sends
        self.waits_s[router] = now_s
        del self.asks[router]

    def leave_unserved(self, router: str) -> None:
        """Let go of a router's turn, unless turns are kept."""
        if self.most_saved <= 1:
            del self.asks[router]

    def holds_s(self, now_s: float) -> float:
        """Return how long a send that is granted now may be held."""
        if now_s - self.report.observed_s < _UNOBSERVED_S or now_s - self.long_s < _LONG_PAUSE_S:
            return GRANT_VALIDITY_S
        self.long_s = now_s
        return _LONG_HOLDS_S


class SharedReplicaLimits:
    """The limits of all rate-limited replicas, as the leader knows them.

    Args:
        environment: Time.
        term: Tells the leader's term.
        metrics: Where it counts.
        log: Where changes are reported.
    """

    def __init__(
        self,
        environment: Environment,
        term: Callable[[], int],
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._environment = environment
        self._term = term
        self._metrics = metrics
        self._log = log
        self._shared: dict[Incarnation, _Shared] = {}
        self._version = 0
        self._asked: dict[str, list[Incarnation]] = {}  # by router, with its newest heartbeat
        self._known_in_term = 0
        self._grants_from_s = 0.0
        self._next_drop_s = 0.0
        metrics.gauge("replicas_limited", lambda: len(self._shared))

    def _begin_term(self) -> None:
        """Begin anew: what an earlier term knew is void, what it granted may still be used."""
        if self._known_in_term == self._term():
            return
        self._known_in_term = self._term()
        self._shared.clear()
        self._asked.clear()
        self._grants_from_s = self._environment.monotonic() + GRANT_VALIDITY_S

    # ---- reports of routers -------------------------------------------------

    def observe(self, router: str, reports: Iterable[control_pb2.ReplicaLimit]) -> None:
        """Take in what a router knows of rate-limited replicas, and what it asks for."""
        self._begin_term()
        now_s = self._environment.monotonic()
        self._let_go(router)
        for message in reports:
            report = from_message(message, now_s)
            if report is None:
                self._metrics.add("replica_limits_malformed")
                continue
            incarnation = (message.replica, message.start_ms)
            shared = self._take(incarnation, report, router)
            shared.reported_s = now_s
            if message.wanted and not shared.report.ended:
                shared.asks[router] = _Ask(now_s, message.service, message.wanted)
                shared.waits_s.setdefault(router, now_s)
                self._asked.setdefault(router, []).append(incarnation)

    def _let_go(self, router: str) -> None:
        for incarnation in self._asked.pop(router, ()):
            if incarnation in self._shared:
                self._shared[incarnation].asks.pop(router, None)

    def _take(self, incarnation: Incarnation, report: LimitReport, router: str) -> _Shared:
        now_s = self._environment.monotonic()
        shared = self._shared.get(incarnation)
        if shared is None:
            shared = _Shared(report, 0, now_s, 0.0, now_s)
            self._shared[incarnation] = shared
            self._note_change(incarnation, shared, router)
            return shared
        earlier = shared.report
        shared.fill(now_s)
        shared.report = newest(earlier, report)
        if shared.report.per_s != earlier.per_s:
            self._note_change(incarnation, shared, router)
        return shared

    def _note_change(self, incarnation: Incarnation, shared: _Shared, router: str) -> None:
        self._version += 1
        shared.version = self._version
        if shared.report.ended:
            shared.asks.clear()
        self._metrics.add("replica_limits_changed")
        self._log.info(
            "replica_limit_shared",
            step="replica_limits",
            peer=incarnation[0],
            start_ms=incarnation[1],
            limit_per_s=shared.report.per_s,
            by=router,
            age_s=self._environment.monotonic() - shared.report.observed_s,
        )

    def forget(self, router: str) -> None:
        """Let go of a router's turns: its stream ended."""
        self._let_go(router)
        for shared in self._shared.values():
            shared.waits_s.pop(router, None)

    # ---- reports to routers -------------------------------------------------

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Tell a router what changed, and grant it sends; only with an acknowledged heartbeat."""
        self._begin_term()
        if not self._shared:
            return
        now_s = self._environment.monotonic()
        self._drop_old(now_s)
        self._tell_changes(session, frame, now_s)
        if now_s < self._grants_from_s:
            return
        self._grant(session.record.name, frame, now_s)

    def _grant(self, router: str, frame: control_pb2.ControlFrame, now_s: float) -> None:
        """Grant a router what it asked for, at the replicas of each service that have most left."""
        left: dict[str, int] = {}
        asked = [one for one in self._asked.get(router, ()) if one in self._shared]
        for incarnation in sorted(asked, key=lambda one: -self._shared[one].free):
            shared = self._shared[incarnation]
            ask = shared.asks.get(router)
            if ask is None:
                continue
            open_to = shared.open_to(router, now_s)
            sends = min(left.setdefault(ask.service, ask.sends), open_to)
            if sends <= 0:
                shared.leave_unserved(router)
                continue
            left[ask.service] -= sends
            shared.grant(router, sends, now_s)
            frame.replica_grants.add(
                replica=incarnation[0],
                start_ms=incarnation[1],
                sends=sends,
                holds_ms=int(shared.holds_s(now_s) * MILLISECONDS_PER_SECOND),
            )
            self._metrics.add("replica_sends_granted", amount=sends)

    def _tell_changes(
        self, session: DaemonSession, frame: control_pb2.ControlFrame, now_s: float
    ) -> None:
        told = session.sent_limits
        if told == self._version:
            return
        news = sorted(
            (shared.version, incarnation)
            for incarnation, shared in self._shared.items()
            if shared.version > told
        )
        for _, incarnation in news[:MAX_REPORTS]:
            report = self._shared[incarnation].report
            frame.replica_limits.append(to_message(incarnation, report, now_s))
        all_told = len(news) <= MAX_REPORTS
        session.sent_limits = self._version if all_told else news[MAX_REPORTS - 1][0]

    def _drop_old(self, now_s: float) -> None:
        if now_s < self._next_drop_s:
            return
        self._next_drop_s = now_s + _DROP_PAUSE_S
        old = [
            incarnation
            for incarnation, shared in self._shared.items()
            if now_s - shared.reported_s > _UNREPORTED_S
            or (shared.report.ended and now_s - shared.report.observed_s > 2 * ENDED_REPORTED_S)
        ]
        for incarnation in old:
            del self._shared[incarnation]
