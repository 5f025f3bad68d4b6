"""Distribution of the request rate of rate-limited replicas among routers.

A rate-limited replica states the rate that it accepts from all routers together, and no router
knows what the others send. Therefore the leader alone grants sends, a few at a time, to the routers
that request them. Grants expire soon, so the sends granted in any time span are close to those made
in it. All of this is soft state: routers report all that they know with each heartbeat.
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

# Part of a replica's limit that is granted. The rest is for sends without a grant: those in flight
# when the replica first states its limit, and those of routers that are disconnected from control.
_GRANTED_FRACTION = 0.95
# Rate granted for any limit, even 0: only an answer of the replica shows that its limit has ended.
_MIN_RATE_PER_S = 0.1
# Grants that accumulate over this time may be given at once: one heartbeat interval.
_BURST_S = 0.3
# A router whose request was not served keeps its turn for this time, which is one and a half
# heartbeats. Turns are only kept for replicas that accept a request per heartbeat or more: below
# that, a turn kept for callers that have given up costs others. With 30 gateways and a limit of 1.7
# requests per second, 0.58 to 0.61 of the limit is used with turns and 0.72 to 0.75 without. At 20
# requests per second, the least served gateway gets 0.19 to 0.21 of its requests served with turns
# and 0.06 to 0.12 without.
_REQUEST_VALID_S = 0.45
_PRUNE_INTERVAL_S = 1.0
_REPORT_TIMEOUT_S = 5.0  # a replica that no router reports for this time is removed
# After this time without an observation of a replica, the sends granted there expire unused at
# gateways with too few requests. One send with a longer lifetime is then granted now and then, so
# that the end of the limit is noticed. At most two of these are outstanding at a time.
_STALE_OBSERVATION_S = 3.0
_LONG_GRANT_S = 10.0
_LONG_GRANT_INTERVAL_S = 5.0


@dataclass(frozen=True)
class _GrantRequest:
    """A router's request for sends to any of a service's rate-limited replicas.

    Attributes:
        requested_at_s: Time of the request, in seconds.
        service: Name of the service.
        sends: Number of sends requested.
    """

    requested_at_s: float
    service: str
    sends: int


@dataclass
class _SharedLimit:
    """The limit of one rate-limited replica, as a token bucket of sends.

    Attributes:
        report: Newest report about the replica.
        version: Number of the newest change of the limit, by which routers are updated.
        reported_s: Time of the newest report of any router, in seconds.
        free: Sends that may be granted now.
        refilled_s: Time at which ``free`` was last computed, in seconds.
        requests: Pending request of each router.
        waiting_since_s: By router, the time of its first request or its newest grant, in seconds.
        last_long_grant_s: Time of the newest grant with a longer lifetime, in seconds.
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
        """Sends granted per second."""
        return max(_MIN_RATE_PER_S, _GRANTED_FRACTION * (self.report.per_s or 0.0))

    @property
    def burst_limit(self) -> float:
        """Largest number of sends that may be granted at once."""
        return max(1.0, self.rate_per_s * _BURST_S)

    def fill(self, now_s: float) -> None:
        """Refill the token bucket up to a time."""
        since_s = max(0.0, now_s - self.refilled_s)
        self.free = min(self.burst_limit, self.free + self.rate_per_s * since_s)
        self.refilled_s = max(self.refilled_s, now_s)

    def grantable_to(self, router: str, now_s: float) -> int:
        """Return how many sends a router may be granted now.

        Routers with a longer wait, weighted by the number of sends that they request, go first.
        """
        self.fill(now_s)
        if router not in self.requests:
            return 0
        own = self._weighted_wait(router, now_s)
        reserved = sum(
            1
            for other, request in self.requests.items()
            if now_s - request.requested_at_s < _REQUEST_VALID_S
            and self._weighted_wait(other, now_s) > own
        )
        return max(0, int(self.free) - reserved)

    def _weighted_wait(self, router: str, now_s: float) -> float:
        return (now_s - self.waiting_since_s[router]) * self.requests[router].sends

    def grant(self, router: str, sends: int, now_s: float) -> None:
        """Deduct sends that are granted to a router, and remove its request."""
        self.free -= sends
        self.waiting_since_s[router] = now_s
        del self.requests[router]

    def drop_unserved_request(self, router: str) -> None:
        """Remove a router's request that was not served, unless turns are kept."""
        if self.burst_limit <= 1:
            del self.requests[router]

    def take_grant_lifetime_s(self, now_s: float) -> float:
        """Return the lifetime of a send that is granted now, in seconds.

        Marks the grant as the newest one with a longer lifetime if it is one.
        """
        if (
            now_s - self.report.observed_s < _STALE_OBSERVATION_S
            or now_s - self.last_long_grant_s < _LONG_GRANT_INTERVAL_S
        ):
            return GRANT_VALIDITY_S
        self.last_long_grant_s = now_s
        return _LONG_GRANT_S


class SharedReplicaLimits:
    """The leader's state of the limits of all rate-limited replicas.

    Args:
        environment: Source of time.
        term: Returns the leader's term.
        metrics: Metrics of this process.
        log: Event log of this process.
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
        self._requested: dict[str, list[Incarnation]] = {}  # by router, from its newest heartbeat
        self._current_term = 0
        self._grants_start_s = 0.0
        self._next_prune_s = 0.0
        metrics.gauge("replicas_limited", lambda: len(self._limits))

    def _begin_term(self) -> None:
        """Discard the state of an earlier term, and delay grants until its grants have expired."""
        if self._current_term == self._term():
            return
        self._current_term = self._term()
        self._limits.clear()
        self._requested.clear()
        self._grants_start_s = self._environment.monotonic() + GRANT_VALIDITY_S

    # ---- reports of routers -------------------------------------------------

    def observe(self, router: str, reports: Iterable[control_pb2.ReplicaLimit]) -> None:
        """Record a router's reports about rate-limited replicas and its requests for sends."""
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
        """Remove a router's requests and waiting times after its stream ended."""
        self._drop_requests(router)
        for limit in self._limits.values():
            limit.waiting_since_s.pop(router, None)

    # ---- reports to routers -------------------------------------------------

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add changed limits and granted sends to a frame that acknowledges a heartbeat."""
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
        """Grant a router requested sends, first at the replicas with most free sends."""
        unserved: dict[str, int] = {}  # sends still requested, by service
        requested = [one for one in self._requested.get(router, ()) if one in self._limits]
        for incarnation in sorted(requested, key=lambda one: -self._limits[one].free):
            limit = self._limits[incarnation]
            request = limit.requests.get(router)
            if request is None:
                continue
            grantable = limit.grantable_to(router, now_s)
            sends = min(unserved.setdefault(request.service, request.sends), grantable)
            if sends <= 0:
                limit.drop_unserved_request(router)
                continue
            unserved[request.service] -= sends
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
        sent_version = session.sent_limits
        if sent_version == self._version:
            return
        changes = sorted(
            (limit.version, incarnation)
            for incarnation, limit in self._limits.items()
            if limit.version > sent_version
        )
        for _, incarnation in changes[:MAX_REPORTS]:
            report = self._limits[incarnation].report
            frame.replica_limits.append(to_message(incarnation, report, now_s))
        all_sent = len(changes) <= MAX_REPORTS
        session.sent_limits = self._version if all_sent else changes[MAX_REPORTS - 1][0]

    def _prune(self, now_s: float) -> None:
        if now_s < self._next_prune_s:
            return
        self._next_prune_s = now_s + _PRUNE_INTERVAL_S
        expired = [
            incarnation
            for incarnation, limit in self._limits.items()
            if now_s - limit.reported_s > _REPORT_TIMEOUT_S
            or (limit.report.ended and now_s - limit.report.observed_s > 2 * ENDED_REPORTED_S)
        ]
        for incarnation in expired:
            del self._limits[incarnation]
