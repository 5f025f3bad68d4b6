"""Enforces the rate limits of replicas, which apply to all gateways together.

A replica announces its limit in response headers. Gateways report limits to the leader in
heartbeats, and the leader grants each gateway a number of requests for each limited replica.
"""

import asyncio
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_limit import (
    ENDED_REPORTED_S,
    MAX_REPORTS,
    Incarnation,
    LimitReport,
    from_message,
    newest,
    read_limit,
    to_message,
)
from heronladder_schema.v1 import control_pb2

from heronladder_router.decisions.replica_limit import (
    LEADER_SILENCE_LIMIT_S,
    LIMIT_WINDOW_S,
    LimitVerdict,
    LimitView,
    check_limit,
)
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.limit_demand import LimitDemand
from heronladder_router.replica_state import FleetReplica

_MIN_HEARTBEAT_INTERVAL_S = 0.05  # between two unscheduled heartbeats that request grants
# Longest time that a request waits for the leader's response: an eighth of the users' latency
# objectives, so that a refusal delays its caller little.
_GRANT_WAIT_S = 0.1
_UNREGISTERED_RETENTION_S = 10.0  # for reports on replicas that are not registered


@dataclass
class _LimitedReplica:
    """One replica that recently announced a limit. Times are on the monotonic clock.

    Attributes:
        report: The newest report on its limit.
        named_s: Time at which this gateway last learned that the replica has a limit.
        grants_s: Expiry times of the unused grants, earliest first.
        sends_s: Times of this gateway's attempts within the last ``LIMIT_WINDOW_S``.
    """

    report: LimitReport
    named_s: float = float("-inf")
    grants_s: list[float] = field(default_factory=list)
    sends_s: deque[float] = field(default_factory=deque)

    def drop_old(self, now_s: float) -> None:
        """Remove expired grants, and attempts that are older than ``LIMIT_WINDOW_S``."""
        while self.grants_s and self.grants_s[0] <= now_s:
            del self.grants_s[0]
        while self.sends_s and self.sends_s[0] <= now_s - LIMIT_WINDOW_S:
            self.sends_s.popleft()


class ReplicaLimits:
    """Tracks the rate-limited replicas and this gateway's grants.

    Args:
        registered: Returns the registered replica of a name, or None.
        usable: Returns the replicas of a service that are neither leaving nor misdirected.
        environment: Source of time.
        metrics: Receives the counters.
        log: Receives changes of limits.

    Attributes:
        gateway: Name of this gateway.
        gateways: Returns what is known of all gateways.
        last_leader_contact_s: Returns the time of the last contact with a leader, on the monotonic
            clock.
        send_heartbeat_now: Sends an unscheduled heartbeat.
    """

    def __init__(
        self,
        registered: Callable[[str], FleetReplica | None],
        usable: Callable[[str], list[FleetReplica]],
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._registered = registered
        self._usable = usable
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._limited: dict[Incarnation, _LimitedReplica] = {}
        self._demand = LimitDemand()
        self._unscheduled_heartbeat_s = float("-inf")
        self._leader_responded = ChangeSignal()  # signalled on each response to a heartbeat
        self._responded_heartbeat_s = float("-inf")  # send time of the heartbeat it responds to
        self.gateway = ""
        self.gateways: Callable[[], KnownGateways] = lambda: KnownGateways((), 1)
        self.last_leader_contact_s: Callable[[], float] = lambda: float("-inf")
        self.send_heartbeat_now: Callable[[], None] = lambda: None

    @property
    def count(self) -> int:
        """Number of replicas that have a limit."""
        return sum(1 for limited in self._limited.values() if not limited.report.ended)

    # ---- reports ------------------------------------------------------------

    def observe(self, replica: FleetReplica, text: str | None, sent_s: float) -> None:
        """Update the limit of a replica from one of its responses.

        Args:
            replica: The replica.
            text: Value of the limit header; None if the response has none.
            sent_s: Time at which the request was sent, on the monotonic clock.
        """
        per_s = None if text is None else read_limit(text)
        if text is not None and per_s is None:
            self._metrics.add("replica_limits_malformed")
        incarnation = replica.incarnation
        limited = self._limited.get(incarnation)
        now_s = self._environment.monotonic()
        if per_s is not None:
            self._merge_report(incarnation, LimitReport(per_s, now_s), "answer")
            self._limited[incarnation].named_s = now_s
            return
        if text is not None or limited is None or limited.report.ended:
            return
        # If the request was sent before the newest report of a limit, its response may be older
        # than that report and must not end the limit.
        if sent_s > limited.named_s:
            self._set_report(incarnation, limited, LimitReport(None, now_s), "answer")

    def apply_frame(self, frame: control_pb2.ControlFrame, sent_s: float) -> None:
        """Apply the leader's response to a heartbeat.

        Args:
            frame: The response.
            sent_s: Time at which the heartbeat was sent, on the monotonic clock. The leader wrote
                the frame later, so ages that are counted from this time make no report look newer
                than it is, and let every grant expire before the leader relies on its expiry.
        """
        for message in frame.replica_limits:
            report = from_message(message, sent_s)
            if report is not None:
                self._merge_report((message.replica, message.start_ms), report, "control")
        now_s = self._environment.monotonic()
        granted: dict[str, int] = {}
        for grant in frame.replica_grants:
            replica = self._registered(grant.replica)
            limited = self._limited.get((grant.replica, grant.start_ms))
            until_s = sent_s + grant.holds_ms / MILLISECONDS_PER_SECOND
            if replica is None or limited is None or limited.report.ended or until_s <= now_s:
                continue
            for _ in range(grant.sends):
                insort(limited.grants_s, until_s)
            service = replica.record.service
            granted[service] = granted.get(service, 0) + grant.sends
            self._metrics.add("replica_sends_granted", amount=grant.sends)
        if not self._limited:
            return
        for service in self._demand.services():
            self._demand.record_granted(service, granted.get(service, 0), now_s)
        self._responded_heartbeat_s = sent_s
        self._leader_responded.notify_waiters()

    def _merge_report(self, incarnation: Incarnation, report: LimitReport, how: str) -> None:
        limited = self._limited.get(incarnation)
        if limited is not None:
            self._set_report(incarnation, limited, newest(limited.report, report), how)
        elif not report.ended:
            limited = self._limited[incarnation] = _LimitedReplica(LimitReport(None, float("-inf")))
            self._set_report(incarnation, limited, report, how)

    def _set_report(
        self, incarnation: Incarnation, limited: _LimitedReplica, report: LimitReport, how: str
    ) -> None:
        earlier, limited.report = limited.report, report
        if report.per_s == earlier.per_s:
            return
        if report.ended:
            limited.grants_s.clear()
        else:
            limited.named_s = self._environment.monotonic()
        self._metrics.add("replica_limits_changed", how)
        self._log.info(
            "replica_limit",
            step="replicas",
            peer=incarnation[0],
            start_ms=incarnation[1],
            limit_per_s=report.per_s,
            how=how,
            age_s=self._environment.monotonic() - report.observed_s,
            granted=len(limited.grants_s),
            sent=len(limited.sends_s),
            gateways=self.gateways().count,
            leader_silent_s=self._leader_silent_s(),
        )
        if how == "answer" and earlier.ended is not report.ended:
            self._request_heartbeat()  # other gateways do not know of the change yet

    # ---- checks before an attempt -----------------------------------------

    def verdict(self, replica: FleetReplica) -> LimitVerdict | None:
        """Return whether a request may be sent to a replica; None if it has no limit."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        if limited is None or limited.report.per_s is None:
            return None
        limited.drop_old(self._environment.monotonic())
        return check_limit(
            LimitView(
                replica.name,
                limited.report.per_s,
                self._environment.monotonic(),
                limited.grants_s,
                limited.sends_s,
                self._leader_silent_s(),
                self.gateway,
                self.gateways(),
            )
        )

    def limit_of(self, replica: FleetReplica) -> float | None:
        """Return the limit of a replica in requests per second; None if it has none."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        return limited.report.per_s if limited is not None else None

    def requested(self, service: str) -> None:
        """Count a request for a service; the requested grants depend on the count."""
        if self._limited:
            self._demand.requested(service, self._environment.monotonic())

    def sent(self, replica: FleetReplica) -> None:
        """Count an attempt; it consumes a grant if there is one."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        if limited is None:
            return
        now_s = self._environment.monotonic()
        limited.drop_old(now_s)
        if limited.grants_s:
            del limited.grants_s[0]
        limited.sends_s.append(now_s)

    def _leader_silent_s(self) -> float:
        return self._environment.monotonic() - self.last_leader_contact_s()

    # ---- waiting and refused requests -------------------------------------

    def begin_wait(self, service: str) -> bool:
        """Register a request that waits for a grant, and ask the leader for one.

        Args:
            service: Service of the request.

        Returns:
            Whether a grant may result. If not, the request is not registered.
        """
        now_s = self._environment.monotonic()
        if self._leader_silent_s() >= LEADER_SILENCE_LIMIT_S or not self._demand.begin_wait(
            service, now_s
        ):
            return False
        self._request_heartbeat()
        return True

    def end_wait(self, service: str) -> None:
        """Unregister a request that waited for a grant."""
        self._demand.end_wait(service)

    async def wait_for_grant(self, service: str) -> bool:
        """Ask the leader for a grant and wait for its response.

        Args:
            service: Service of the request.

        Returns:
            Whether a grant may have arrived.
        """
        asked_s = self._environment.monotonic()
        if not self.begin_wait(service):
            return False
        try:
            async with asyncio.timeout(_GRANT_WAIT_S):
                while self._responded_heartbeat_s < asked_s:
                    await self._leader_responded.wait()
        except TimeoutError:
            self._metrics.add("replica_grants_late")
        finally:
            self.end_wait(service)
        return True

    def _request_heartbeat(self) -> None:
        """Send an unscheduled heartbeat unless the last one was sent just before."""
        now_s = self._environment.monotonic()
        if now_s - self._unscheduled_heartbeat_s >= _MIN_HEARTBEAT_INTERVAL_S:
            self._unscheduled_heartbeat_s = now_s
            self.send_heartbeat_now()

    def caller_retry_after_s(self, service: str) -> float:
        """Return the retry-after in seconds for a caller refused because of the rate limits."""
        per_s = sum(limited.report.per_s or 0.0 for _, limited in self._of_service(service))
        now_s = self._environment.monotonic()
        return self._demand.caller_retry_after_s(service, per_s, self.gateways().count, now_s)

    # ---- reports to the leader ----------------------------------------------

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Add the known limits and the requested grants to a heartbeat."""
        if not self._limited:
            return
        now_s = self._environment.monotonic()
        self._remove_stale(now_s)
        wanted = self._wanted(now_s)
        for incarnation, limited in sorted(
            self._limited.items(), key=lambda item: item[0] not in wanted
        )[:MAX_REPORTS]:
            message = to_message(incarnation, limited.report, now_s)
            if incarnation in wanted:
                message.service, message.wanted = wanted[incarnation]
            heartbeat.replica_limits.append(message)

    def _wanted(self, now_s: float) -> dict[Incarnation, tuple[str, int]]:
        """Return the service and the number of grants to request, by replica.

        The number applies to all limited replicas of the service together.
        """
        wanted: dict[Incarnation, tuple[str, int]] = {}
        for service in self._demand.services():
            of_service = self._of_service(service)
            for _, limited in of_service:
                limited.drop_old(now_s)
            held = sum(len(limited.grants_s) for _, limited in of_service)
            usable = len(self._usable(service))
            sends = self._demand.grants_to_request(service, len(of_service), usable, held, now_s)
            if sends:
                wanted |= {incarnation: (service, sends) for incarnation, _ in of_service}
        return wanted

    def _of_service(self, service: str) -> list[tuple[Incarnation, _LimitedReplica]]:
        """Return the replicas of a service that have a limit."""
        return [
            (incarnation, limited)
            for replica in self._usable(service)
            if (limited := self._limited.get(incarnation := replica.incarnation)) is not None
            and not limited.report.ended
        ]

    def _remove_stale(self, now_s: float) -> None:
        for incarnation, limited in list(self._limited.items()):
            age_s = now_s - limited.report.observed_s
            is_ended = limited.report.ended and age_s > ENDED_REPORTED_S
            if is_ended or (
                age_s > _UNREGISTERED_RETENTION_S and not self._is_registered(incarnation)
            ):
                del self._limited[incarnation]
        if not self._limited:
            self._demand.clear()

    def _is_registered(self, incarnation: Incarnation) -> bool:
        replica = self._registered(incarnation[0])
        return replica is not None and replica.incarnation == incarnation
