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
    GRANT_HOLDS_S,
    MOST_REPORTS,
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
_GRANTED_FRACTION = 0.95
# So much is granted of any limit, 0 too: only an answer tells that the need has ended.
_MIN_RATE_PER_S = 0.1
# What comes together in so long may be granted together: a heartbeat of each router.
_BURST_S = 0.3
# A router that asked in vain within that time keeps its turn: until its next heartbeat, and a half
# . Only where a replica takes a request a heartbeat or more: below, a turn kept for callers
# that have given up costs others (virtual time, 30 gateways, 1.7 a second: 0.58 to 0.61 of it used,
# 0.72 to 0.75 without; 20 a second: least served gateway 0.19 to 0.21 of its requests, 0.06 to 0.12
# without turns).
_REQUEST_VALID_S = 0.45
_PRUNE_INTERVAL_S = 1.0  # between two looks for replicas that nobody tells of
_REPORT_TIMEOUT_S = 5.0  # nobody told of a replica for longer: it is forgotten
# Nobody heard of a replica for longer: sends granted there run out unused, at gateways that get too
# few requests. One that holds longer is granted now and then, so that the end of the need is
# noticed; two at most are out at a time.
_STALE_OBSERVATION_S = 3.0
_LONG_GRANT_S = 10.0
_LONG_GRANT_INTERVAL_S = 5.0


@dataclass(frozen=True)
class _GrantRequest:
    """What a router asks for: sends at any of a service's rate-limited replicas."""

    requested_s: float
    service: str
    sends: int


@dataclass
class _SharedLimit:
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
    refilled_s: float
    requests: dict[str, _GrantRequest] = field(default_factory=dict)
    waiting_since_s: dict[str, float] = field(default_factory=dict)
    last_long_grant_s: float = float("-inf")

    @property
    def rate_per_s(self) -> float:
        """Sends granted in a second."""
        return max(_MIN_RATE_PER_S, _GRANTED_FRACTION * (self.report.per_s or 0.0))

    @property
    def burst_limit(self) -> float:
        """Sends that may be granted together."""
        return max(1.0, self.rate_per_s * _BURST_S)

    def fill(self, now_s: float) -> None:
        """Add what may be granted since it was counted last."""
        since_s = max(0.0, now_s - self.refilled_s)
        self.free = min(self.burst_limit, self.free + self.rate_per_s * since_s)
        self.refilled_s = max(self.refilled_s, now_s)

    def grantable_to(self, router: str, now_s: float) -> int:
        """Return how many sends a router may be granted now; those that waited longer go first."""
        self.fill(now_s)
        if router not in self.requests:
            return 0
        own = self._weighted_wait(router, now_s)
        before = sum(
            1
            for other, request in self.requests.items()
            if now_s - request.requested_s < _REQUEST_VALID_S
            and self._weighted_wait(other, now_s) > own
        )
        return max(0, int(self.free) - before)

    def _weighted_wait(self, router: str, now_s: float) -> float:
        return (now_s - self.waiting_since_s[router]) * self.requests[router].sends

    def grant(self, router: str, sends: int, now_s: float) -> None:
        """Take sends for a router."""
        self.free -= sends
        self.waiting_since_s[router] = now_s
        del self.requests[router]

    def drop_unserved_request(self, router: str) -> None:
        """Let go of a router's turn, unless turns are kept."""
        if self.burst_limit <= 1:
            del self.requests[router]

    def take_grant_lifetime_s(self, now_s: float) -> float:
        """Return how long a send that is granted now may be held."""
        if (
            now_s - self.report.observed_s < _STALE_OBSERVATION_S
            or now_s - self.last_long_grant_s < _LONG_GRANT_INTERVAL_S
        ):
            return GRANT_HOLDS_S
        self.last_long_grant_s = now_s
        return _LONG_GRANT_S


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
        self._limits: dict[Incarnation, _SharedLimit] = {}
        self._version = 0
        self._requested: dict[str, list[Incarnation]] = {}  # by router, with its newest heartbeat
        self._current_term = 0
        self._grants_start_s = 0.0
        self._next_prune_s = 0.0
        metrics.gauge("replicas_limited", lambda: len(self._limits))

    def _begin_term(self) -> None:
        """Begin anew: what an earlier term knew is void, what it granted may still be used."""
        if self._current_term == self._term():
            return
        self._current_term = self._term()
        self._limits.clear()
        self._requested.clear()
        self._grants_start_s = self._environment.monotonic() + GRANT_HOLDS_S

    # ---- reports of routers -------------------------------------------------

    def observe(self, router: str, reports: Iterable[control_pb2.ReplicaLimit]) -> None:
        """Take in what a router knows of rate-limited replicas, and what it asks for."""
        self._begin_term()
        now_s = self._environment.monotonic()
        self._drop_requests(router)
        for message in reports:
            report = from_message(message, now_s)
            if report is None:
                self._metrics.add("replica_limits_malformed")
                continue
            incarnation = (message.replica, message.start_ms)
            limit = self._update_limit(incarnation, report, router)
            limit.reported_s = now_s
            if message.wanted and not limit.report.ended:
                limit.requests[router] = _GrantRequest(now_s, message.service, message.wanted)
                limit.waiting_since_s.setdefault(router, now_s)
                self._requested.setdefault(router, []).append(incarnation)

    def _drop_requests(self, router: str) -> None:
        for incarnation in self._requested.pop(router, ()):
            if incarnation in self._limits:
                self._limits[incarnation].requests.pop(router, None)

    def _update_limit(
        self, incarnation: Incarnation, report: LimitReport, router: str
    ) -> _SharedLimit:
        now_s = self._environment.monotonic()
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = _SharedLimit(report, 0, now_s, 0.0, now_s)
            self._limits[incarnation] = limit
            self._note_change(incarnation, limit, router)
            return limit
        earlier = limit.report
        limit.fill(now_s)
        limit.report = newest(earlier, report)
        if limit.report.per_s != earlier.per_s:
            self._note_change(incarnation, limit, router)
        return limit

    def _note_change(self, incarnation: Incarnation, limit: _SharedLimit, router: str) -> None:
        self._version += 1
        limit.version = self._version
        if limit.report.ended:
            limit.requests.clear()
        self._metrics.add("replica_limits_changed")
        self._log.info(
            "replica_limit_shared",
            step="replica_limits",
            peer=incarnation[0],
            start_ms=incarnation[1],
            limit_per_s=limit.report.per_s,
            by=router,
            age_s=self._environment.monotonic() - limit.report.observed_s,
        )

    def forget(self, router: str) -> None:
        """Let go of a router's turns: its stream ended."""
        self._drop_requests(router)
        for limit in self._limits.values():
            limit.waiting_since_s.pop(router, None)

    # ---- reports to routers -------------------------------------------------

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Tell a router what changed, and grant it sends; only with an acknowledged heartbeat."""
        self._begin_term()
        if not self._limits:
            return
        now_s = self._environment.monotonic()
        self._prune(now_s)
        self._add_changes(session, frame, now_s)
        if now_s < self._grants_start_s:
            return
        self._grant(session.record.name, frame, now_s)

    def _grant(self, router: str, frame: control_pb2.ControlFrame, now_s: float) -> None:
        """Grant a router what it asked for, at the replicas of each service that have most left."""
        left: dict[str, int] = {}
        asked = [one for one in self._requested.get(router, ()) if one in self._limits]
        for incarnation in sorted(asked, key=lambda one: -self._limits[one].free):
            limit = self._limits[incarnation]
            request = limit.requests.get(router)
            if request is None:
                continue
            grantable_to = limit.grantable_to(router, now_s)
            sends = min(left.setdefault(request.service, request.sends), grantable_to)
            if sends <= 0:
                limit.drop_unserved_request(router)
                continue
            left[request.service] -= sends
            limit.grant(router, sends, now_s)
            frame.replica_grants.add(
                replica=incarnation[0],
                start_ms=incarnation[1],
                sends=sends,
                holds_ms=int(limit.take_grant_lifetime_s(now_s) * MILLISECONDS_PER_SECOND),
            )
            self._metrics.add("replica_sends_granted", amount=sends)

    def _add_changes(
        self, session: DaemonSession, frame: control_pb2.ControlFrame, now_s: float
    ) -> None:
        told = session.sent_limits
        if told == self._version:
            return
        news = sorted(
            (limit.version, incarnation)
            for incarnation, limit in self._limits.items()
            if limit.version > told
        )
        for _, incarnation in news[:MOST_REPORTS]:
            report = self._limits[incarnation].report
            frame.replica_limits.append(to_message(incarnation, report, now_s))
        all_told = len(news) <= MOST_REPORTS
        session.sent_limits = self._version if all_told else news[MOST_REPORTS - 1][0]

    def _prune(self, now_s: float) -> None:
        if now_s < self._next_prune_s:
            return
        self._next_prune_s = now_s + _PRUNE_INTERVAL_S
        old = [
            incarnation
            for incarnation, limit in self._limits.items()
            if now_s - limit.reported_s > _REPORT_TIMEOUT_S
            or (limit.report.ended and now_s - limit.report.observed_s > 2 * ENDED_REPORTED_S)
        ]
        for incarnation in old:
            del self._limits[incarnation]
