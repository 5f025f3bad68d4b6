"""What rate-limited replicas take from all gateways together, and this gateway's part of it."""

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

from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.replica_limit import (
    LEADER_SILENT_S,
    SPAN_S,
    LimitVerdict,
    LimitView,
    judge,
)
from heronladder_router.limit_demand import LimitDemand
from heronladder_router.replica_state import FleetReplica

_SOON_PAUSE_S = 0.05  # between two heartbeats that ask for sends out of turn
# The longest that a request waits for the leader's answer: an eighth of the users' objectives, so
# that a refusal costs its caller little.
_GRANT_WAIT_S = 0.1
_UNKNOWN_S = 10.0  # a report on a replica that is not registered is kept for so long


@dataclass
class _Limited:
    """One replica that named a limit lately.

    Attributes:
        report: The newest report on it.
        named_s: When this gateway last learned that it names a limit.
        grants_s: Until when each send may be made that the leader granted, the earliest first.
        sends_s: When this gateway sent to it, over the newest ``SPAN_S``.
    """

    report: LimitReport
    named_s: float = float("-inf")
    grants_s: list[float] = field(default_factory=list)
    sends_s: deque[float] = field(default_factory=deque)

    def drop_old(self, now_s: float) -> None:
        """Let go of grants that ran out, and of sends that count no more."""
        while self.grants_s and self.grants_s[0] <= now_s:
            del self.grants_s[0]
        while self.sends_s and self.sends_s[0] <= now_s - SPAN_S:
            self.sends_s.popleft()


class ReplicaLimits:
    """The rate-limited replicas, as this gateway knows them.

    Args:
        registered: Gives a replica that is registered, by its name.
        usable: Gives the replicas of a service that are not leaving.
        environment: Time.
        metrics: Where it counts.
        log: Where changes are reported.

    Attributes:
        gateway: Name of this gateway.
        gateways: Tells what is known of all gateways.
        leader_heard_s: Tells when a leader was heard last.
        beat_now: Sends a heartbeat out of turn.
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
        self._limited: dict[Incarnation, _Limited] = {}
        self._demand = LimitDemand()
        self._beaten_s = float("-inf")
        self._answered = ChangeSignal()  # given when the leader answered a heartbeat
        self._answered_s = float("-inf")  # when that heartbeat was sent
        self.gateway = ""
        self.gateways: Callable[[], GatewaysKnown] = lambda: GatewaysKnown((), 1)
        self.leader_heard_s: Callable[[], float] = lambda: float("-inf")
        self.send_heartbeat_now: Callable[[], None] = lambda: None

    @property
    def count(self) -> int:
        """How many replicas name a limit."""
        return sum(1 for limited in self._limited.values() if not limited.report.ended)

    # ---- reports ------------------------------------------------------------

    def observe(self, replica: FleetReplica, text: str | None, sent_s: float) -> None:
        """Take in what an answer of a replica says.

        Args:
            replica: The replica.
            text: The limit that the answer names; None if it names none.
            sent_s: When the request was sent that it answers.
        """
        per_s = None if text is None else read_limit(text)
        if text is not None and per_s is None:
            self._metrics.add("replica_limits_malformed")
        incarnation = replica.incarnation
        limited = self._limited.get(incarnation)
        now_s = self._environment.monotonic()
        if per_s is not None:
            self._take(incarnation, LimitReport(per_s, now_s), "answer")
            self._limited[incarnation].named_s = now_s
            return
        if text is not None or limited is None or limited.report.ended:
            return
        # An answer begun before the newest report that named a limit came late: it ends nothing.
        if sent_s > limited.named_s:
            self._set(incarnation, limited, LimitReport(None, now_s), "answer")

    def take(self, frame: control_pb2.ControlFrame, sent_s: float) -> None:
        """Take in what the leader says with the answer to a heartbeat.

        Args:
            frame: What it says.
            sent_s: When the heartbeat was sent: all in the frame was said later, so a report is no
                younger than it seems, and a grant runs out before the leader counts on it.
        """
        for message in frame.replica_limits:
            report = from_message(message, sent_s)
            if report is not None:
                self._take((message.replica, message.start_ms), report, "control")
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
            self._demand.answered(service, granted.get(service, 0), now_s)
        self._answered_s = sent_s
        self._answered.notify_waiters()

    def _take(self, incarnation: Incarnation, report: LimitReport, how: str) -> None:
        limited = self._limited.get(incarnation)
        if limited is not None:
            self._set(incarnation, limited, newest(limited.report, report), how)
        elif not report.ended:
            limited = self._limited[incarnation] = _Limited(LimitReport(None, float("-inf")))
            self._set(incarnation, limited, report, how)

    def _set(
        self, incarnation: Incarnation, limited: _Limited, report: LimitReport, how: str
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
            leader_silent_s=self._silent_s(),
        )
        if how == "answer" and earlier.ended is not report.ended:
            self._beat_soon()  # the others know nothing of it yet

    # ---- choice -----------------------------------------------------------

    def verdict(self, replica: FleetReplica) -> LimitVerdict | None:
        """Return whether a replica may be sent to, and why; None if it names no limit."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        if limited is None or limited.report.per_s is None:
            return None
        limited.drop_old(self._environment.monotonic())
        return judge(
            LimitView(
                replica.name,
                limited.report.per_s,
                self._environment.monotonic(),
                limited.grants_s,
                limited.sends_s,
                self._silent_s(),
                self.gateway,
                self.gateways(),
            )
        )

    def limit_of(self, replica: FleetReplica) -> float | None:
        """Return the requests a second that a replica takes; None: any number."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        return limited.report.per_s if limited is not None else None

    def requested(self, service: str) -> None:
        """Count a request for a service: what is asked of the leader goes by them."""
        if self._limited:
            self._demand.requested(service, self._environment.monotonic())

    def sent(self, replica: FleetReplica) -> None:
        """Count a send: it uses up a grant, if there is one."""
        limited = self._limited.get(replica.incarnation) if self._limited else None
        if limited is None:
            return
        now_s = self._environment.monotonic()
        limited.drop_old(now_s)
        if limited.grants_s:
            del limited.grants_s[0]
        limited.sends_s.append(now_s)

    def _silent_s(self) -> float:
        return self._environment.monotonic() - self.leader_heard_s()

    # ---- what waits, and who is refused -----------------------------------

    def begin_wait(self, service: str) -> bool:
        """Have a request ask the leader for a send; return whether that may bring one."""
        now_s = self._environment.monotonic()
        if self._silent_s() >= LEADER_SILENT_S or not self._demand.begin_wait(service, now_s):
            return False
        self._beat_soon()
        return True

    def end_wait(self, service: str) -> None:
        """Note that a request waits no longer."""
        self._demand.end_wait(service)

    async def wait_for_grant(self, service: str) -> bool:
        """Ask the leader for a send and wait for its answer; return whether it may have come."""
        asked_s = self._environment.monotonic()
        if not self.begin_wait(service):
            return False
        try:
            async with asyncio.timeout(_GRANT_WAIT_S):
                while self._answered_s < asked_s:
                    await self._answered.wait()
        except TimeoutError:
            self._metrics.add("replica_grants_late")
        finally:
            self.end_wait(service)
        return True

    def _beat_soon(self) -> None:
        now_s = self._environment.monotonic()
        if now_s - self._beaten_s >= _SOON_PAUSE_S:
            self._beaten_s = now_s
            self.send_heartbeat_now()

    def come_back_s(self, service: str) -> float:
        """Return when a caller may come back for whom no rate-limited replica had room."""
        per_s = sum(limited.report.per_s or 0.0 for _, limited in self._of_service(service))
        now_s = self._environment.monotonic()
        return self._demand.come_back_s(service, per_s, self.gateways().count, now_s)

    # ---- reports to the leader ----------------------------------------------

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Tell what is known of rate-limited replicas, and ask for sends."""
        if not self._limited:
            return
        now_s = self._environment.monotonic()
        self._forget_old(now_s)
        wanted = self._wanted(now_s)
        for incarnation, limited in sorted(
            self._limited.items(), key=lambda item: item[0] not in wanted
        )[:MAX_REPORTS]:
            message = to_message(incarnation, limited.report, now_s)
            if incarnation in wanted:
                message.service, message.wanted = wanted[incarnation]
            heartbeat.replica_limits.append(message)

    def _wanted(self, now_s: float) -> dict[Incarnation, tuple[str, int]]:
        """Return the sends to ask for, by replica: those of a service together."""
        wanted: dict[Incarnation, tuple[str, int]] = {}
        for service in self._demand.services():
            of_service = self._of_service(service)
            for _, limited in of_service:
                limited.drop_old(now_s)
            held = sum(len(limited.grants_s) for _, limited in of_service)
            usable = len(self._usable(service))
            sends = self._demand.ask(service, len(of_service), usable, held, now_s)
            if sends:
                wanted |= {incarnation: (service, sends) for incarnation, _ in of_service}
        return wanted

    def _of_service(self, service: str) -> list[tuple[Incarnation, _Limited]]:
        """Return the replicas of a service that name a limit."""
        return [
            (incarnation, limited)
            for replica in self._usable(service)
            if (limited := self._limited.get(incarnation := replica.incarnation)) is not None
            and not limited.report.ended
        ]

    def _forget_old(self, now_s: float) -> None:
        for incarnation, limited in list(self._limited.items()):
            age_s = now_s - limited.report.observed_s
            is_ended = limited.report.ended and age_s > ENDED_REPORTED_S
            if is_ended or (age_s > _UNKNOWN_S and not self._is_registered(incarnation)):
                del self._limited[incarnation]
        if not self._limited:
            self._demand.clear()

    def _is_registered(self, incarnation: Incarnation) -> bool:
        replica = self._registered(incarnation[0])
        return replica is not None and replica.incarnation == incarnation
