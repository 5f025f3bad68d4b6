"""The leader's background work for rollouts.

Collects the routers' reports, grants them requests to a version on trial, and proposes the next
phase. Only the rollout record and its note are replicated; the rest is soft state. A new leader
receives the routers' totals again and counts all that its predecessors may have granted as used.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.configuration import ROLLOUT_KIND
from heronladder_runtime.rollouts.evidence import Evidence
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor, Verdict
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.rollouts.exposure import GrantLedger
from heronladder_control.rollouts.plan import RolloutView, Step, next_step
from heronladder_control.rollouts.request_rate import RequestRate
from heronladder_control.rollouts.table import MOVING, RUNNING, TRIAL, phase_name

if TYPE_CHECKING:
    from heronladder_control.daemon_session import DaemonSession
    from heronladder_control.member_context import MemberContext

_CHECK_INTERVAL_S = 0.2  # shorter than a heartbeat interval
_CLEAR_REPORT_VALID_S = 1.0  # a disconnected router keeps to a move for this long
_NOTE_INTERVAL_S = 0.5  # between two notes proposed for one rollout
# The ceiling in the log covers the allowance as it is expected to be this much later.
_CEILING_LOOKAHEAD_S = 1.0


@dataclass
class _RolloutProgress:
    """What the leader knows about one order.

    Attributes:
        ordered_revision: Log index of the order.
        started_s: Upper bound of the time of the order, on this member's monotonic clock.
        ledger: Grants for this order.
        watch: Statistical tests of the target version.
        reports: Newest report of each router, by incarnation.
        reported_at_s: Time of each router's newest report, by incarnation.
        rate: Rate of the service's requests.
        last_note_s: Time at which the ceiling was last considered; -inf if never.
        last_note_requests: Requests of the service at that time.
        verdict: Newest verdict on the target version.
    """

    ordered_revision: int
    started_s: float
    ledger: GrantLedger
    watch: TrialMonitor
    reports: dict[str, control_pb2.RolloutReport] = field(default_factory=dict)
    reported_at_s: dict[str, float] = field(default_factory=dict)
    rate: RequestRate = field(default_factory=RequestRate)
    last_note_s: float = float("-inf")
    last_note_requests: int = 0
    verdict: Verdict = field(
        default_factory=lambda: Verdict(Decision.CONTINUE, "nothing counted yet")
    )

    @property
    def requests(self) -> int:
        """Requests of the service since the order, as reported by routers."""
        return sum(report.requests for report in self.reports.values())


class RolloutController:
    """Drives all rollouts of a control group while its member is the leader.

    Args:
        member: Context of this control member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._limits = member.options.rollout_limits
        self._progress: dict[str, _RolloutProgress] = {}
        self._next_check_s = 0.0

    def start_term(self) -> None:
        """Start a term as the leader and discard what an earlier term knew."""
        self._progress.clear()
        self._next_check_s = 0.0

    # ---- reports and grants -----------------------------------------------

    def observe(self, session: DaemonSession, reports: Iterable[control_pb2.RolloutReport]) -> None:
        """Record a router's totals since the order; duplicate and older reports have no effect."""
        for report in reports:
            progress = self._progress_for(report.service)
            if progress is None or progress.ordered_revision != report.ordered_revision:
                continue
            incarnation = session.record.incarnation
            earlier = progress.reports.get(incarnation)
            if earlier is None or report.age_ms >= earlier.age_ms:
                progress.reports[incarnation] = report
                progress.reported_at_s[incarnation] = self._now_s()
            # A router learns of an order after it was given, so its age is a lower bound.
            started_s = self._now_s() - report.age_ms / MILLISECONDS_PER_SECOND
            progress.started_s = min(progress.started_s, started_s)

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add to a frame the total number of requests that the router may send to the target."""
        for service, progress in self._progress.items():
            record = self._member.state.rollouts.get(service)
            report = progress.reports.get(session.record.incarnation)
            if record is None or report is None or not _uses_grants(record):
                continue
            if progress.ordered_revision != record.ordered_revision:
                continue
            note = self._member.state.rollouts.notes.get(service)
            ceiling = note.ceiling if note is not None else 0
            total = progress.ledger.grant(
                session.record.incarnation,
                held=report.granted,
                sent=report.sent,
                allowance=min(ceiling, self._allowance(record, progress, progress.requests)),
                routers=len(self._member.sessions),
            )
            frame.rollout_grants.add(
                service=service, ordered_revision=progress.ordered_revision, total=total
            )

    def _allowance(
        self, record: resources_pb2.Rollout, progress: _RolloutProgress, requests: int
    ) -> int:
        if record.phase != TRIAL:
            return self._limits.newcomer_limit(requests)
        elapsed_s = self._now_s() - progress.started_s
        duration_s = record.duration_ms / MILLISECONDS_PER_SECOND
        return self._limits.trial_limit(requests, elapsed_s, duration_s)

    def _progress_for(self, service: str) -> _RolloutProgress | None:
        """Return the progress of a service's order, created if the order is new."""
        record = self._member.state.rollouts.get(service)
        if record is None or not (record.phase in RUNNING or record.newcomer):
            self._progress.pop(service, None)
            return None
        known = self._progress.get(service)
        if known is None or known.ordered_revision != record.ordered_revision:
            note = self._member.state.rollouts.notes.get(service)
            if note is None or note.ordered_revision != record.ordered_revision:
                note = control_pb2.RolloutNote()
            known = _RolloutProgress(
                record.ordered_revision,
                self._now_s() - note.elapsed_ms / MILLISECONDS_PER_SECOND,
                GrantLedger(note.ceiling),
                TrialMonitor(self._affinity_routes()),
            )
            self._progress[service] = known
        return known

    def _affinity_routes(self) -> frozenset[str]:
        """Return the routes with affinity, whose prompts new replicas have not cached yet."""
        fleet = self._member.state.fleet.configuration()
        routes = fleet.routes if fleet is not None else ()
        return frozenset(route.name for route in routes if route.affinity)

    # ---- periodic checks --------------------------------------------------

    async def run_check(self) -> None:
        """Check all rollouts and propose due phases and ceilings."""
        services = self._member.state.rollouts.services()
        if not services or self._now_s() < self._next_check_s:
            return
        self._next_check_s = self._now_s() + _CHECK_INTERVAL_S
        for service in services:
            progress = self._progress_for(service)
            record = self._member.state.rollouts.get(service)
            if progress is None or record is None:
                continue
            view = self._view(service, record, progress)
            step = next_step(view)
            if step is not None:
                await self._advance(service, record, progress, step)
            elif _uses_grants(record):
                await self._raise_ceiling(service, record, progress)

    def _view(
        self, service: str, record: resources_pb2.Rollout, progress: _RolloutProgress
    ) -> RolloutView:
        evidence = Evidence()
        for report in progress.reports.values():
            evidence.add(Evidence.from_messages(report.answers))
        if record.phase in RUNNING and progress.verdict.decision is not Decision.ROLL_BACK:
            progress.verdict = progress.watch.judge(
                evidence, without_baseline=record.phase == MOVING
            )
        elapsed_s = self._now_s() - progress.started_s
        progress.rate.note(self._now_s(), progress.requests)
        sent = sum(report.sent for report in progress.reports.values())
        longest_ms = evidence.whole(of_target=False).longest_ms
        return RolloutView(
            phase=record.phase,
            newcomer=bool(record.newcomer),
            elapsed_s=elapsed_s,
            duration_s=record.duration_ms / MILLISECONDS_PER_SECOND,
            target_replicas=self._replicas_of(service, record.target),
            verdict=progress.verdict,
            longest_old_response_s=longest_ms / MILLISECONDS_PER_SECOND,
            left=self._limits.total_limit(progress.requests)
            - max(sent, progress.ledger.granted_total),
            per_s=progress.rate.per_s(elapsed_s),
            others_drained=record.phase == MOVING and self._others_drained(service, progress),
        )

    def _replicas_of(self, service: str, version: str) -> int:
        state = self._member.state
        return sum(
            1
            for replica in state.fleet.live_replicas(service)
            if replica.software == version and not state.evacuations.is_evacuated(replica.zone)
        )

    def _others_drained(self, service: str, progress: _RolloutProgress) -> bool:
        """Whether the move is in force and no connected router has requests at other versions."""
        resource = self._member.state.resources.get(ROLLOUT_KIND, service)
        if resource is None or self._member.state.in_force_revision < resource.metadata.revision:
            return False
        known = self._member.state.daemons.daemons
        routers = [known[name] for name in self._member.in_force.awaited_daemons() if name in known]
        expected = [r.incarnation for r in routers if r.role == ROLE_ROUTER and not r.gone]
        # Without a connected router, requests in flight at other versions are not known.
        return bool(expected) and all(self._is_router_clear(progress, name) for name in expected)

    def _is_router_clear(self, progress: _RolloutProgress, incarnation: str) -> bool:
        """Whether a router recently reported no requests at other versions.

        A router that is disconnected from control resumes sending to the old replicas, so only a
        recent report counts.
        """
        report = progress.reports.get(incarnation)
        silent_s = self._now_s() - progress.reported_at_s.get(incarnation, float("-inf"))
        return report is not None and report.clear and silent_s <= _CLEAR_REPORT_VALID_S

    async def _advance(
        self,
        service: str,
        record: resources_pb2.Rollout,
        progress: _RolloutProgress,
        step: Step,
    ) -> None:
        command = control_pb2.Command()
        order = command.advance_rollout
        order.service = service
        order.ordered_revision = record.ordered_revision
        order.from_phase = record.phase
        order.to_phase = step.phase
        order.reason = step.reason
        self._member.log.info(
            "rollout_decided",
            step="rollout",
            peer=service,
            target=record.target or record.newcomer,
            phase=phase_name(record.phase),
            to_phase=phase_name(step.phase),
            elapsed_s=self._now_s() - progress.started_s,
            requests=progress.requests,
            sent=sum(report.sent for report in progress.reports.values()),
            granted=progress.ledger.granted_total,
            routers=len(progress.reports),
            # Routers whose own verdict, from few answers each, was bad; only the total decides.
            stopped=sum(1 for report in progress.reports.values() if report.stopped),
            reason=step.reason,
        )
        await self._member.propose(command)

    async def _raise_ceiling(
        self, service: str, record: resources_pb2.Rollout, progress: _RolloutProgress
    ) -> None:
        """Raise the replicated ceiling before grants reach it."""
        now_s = self._now_s()
        if now_s - progress.last_note_s < _NOTE_INTERVAL_S:
            return
        requests = progress.requests
        requests_per_s = 0.0
        if progress.last_note_s > float("-inf"):
            requests_per_s = (requests - progress.last_note_requests) / (
                now_s - progress.last_note_s
            )
        progress.last_note_s = now_s
        progress.last_note_requests = requests
        ahead = requests + int(max(0.0, requests_per_s) * _CEILING_LOOKAHEAD_S)
        ceiling = self._allowance(record, progress, ahead)
        note = self._member.state.rollouts.notes.get(service)
        if note is not None and ceiling <= note.ceiling:
            return
        command = control_pb2.Command()
        command.note_rollout.service = service
        command.note_rollout.ordered_revision = record.ordered_revision
        command.note_rollout.ceiling = ceiling
        elapsed_s = now_s - progress.started_s
        command.note_rollout.elapsed_ms = int(elapsed_s * MILLISECONDS_PER_SECOND)
        await self._member.propose(command)

    def _now_s(self) -> float:
        return self._member.environment.monotonic()


def _uses_grants(record: resources_pb2.Rollout) -> bool:
    return record.phase == TRIAL or bool(record.newcomer)
