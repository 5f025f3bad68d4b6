"""The leader's chores for roll-outs: grants out, counts in, the next phase into the log.

All of it is soft but the record and its note: a new leader hears the sums again, and takes all
that its predecessors may have granted for used.
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
from heronladder_control.rollouts.exposure import GrantBook
from heronladder_control.rollouts.pace import RequestPace
from heronladder_control.rollouts.plan import RolloutView, Step, next_step
from heronladder_control.rollouts.table import MOVING, RUNNING, TRIAL, phase_name

if TYPE_CHECKING:
    from heronladder_control.daemon_session import DaemonSession
    from heronladder_control.member_context import MemberContext

_LOOK_S = 0.2  # between two looks at a roll-out; under a heartbeat
_CLEAR_HOLDS_S = 1.0  # as long as a router that hears nothing stays with a move
_NOTE_S = 0.5  # between two notes in the log
_NOTE_AHEAD_S = 1.0  # the ceiling is as high as the allowance will be so much later


@dataclass
class _Conducted:
    """What the leader knows of one order."""

    ordered_revision: int
    began_s: float  # on this member's clock, as far as is known
    book: GrantBook
    watch: TrialMonitor
    told: dict[str, control_pb2.RolloutReport] = field(default_factory=dict)  # by incarnation
    told_s: dict[str, float] = field(default_factory=dict)  # when a word came last
    pace: RequestPace = field(default_factory=RequestPace)
    noted_s: float = float("-inf")
    requests_noted: int = 0
    verdict: Verdict = field(
        default_factory=lambda: Verdict(Decision.CONTINUE, "nothing counted yet")
    )

    @property
    def requests(self) -> int:
        """Requests of the service since the order, as routers told."""
        return sum(told.requests for told in self.told.values())


class RolloutConductor:
    """Leads all roll-outs of a group while its member leads.

    Args:
        member: The member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._limits = member.options.rollout_limits
        self._conducted: dict[str, _Conducted] = {}
        self._next_look_s = 0.0

    def begin(self) -> None:
        """Begin as the leader: what an earlier term knew is void."""
        self._conducted.clear()
        self._next_look_s = 0.0

    # ---- words of routers -------------------------------------------------

    def observe(self, session: DaemonSession, words: Iterable[control_pb2.RolloutReport]) -> None:
        """Take what a router did since the order; a repeat or an older word changes nothing."""
        for word in words:
            conducted = self._conducted_for(word.service)
            if conducted is None or conducted.ordered_revision != word.ordered_revision:
                continue
            incarnation = session.record.incarnation
            earlier = conducted.told.get(incarnation)
            if earlier is None or word.age_ms >= earlier.age_ms:
                conducted.told[incarnation] = word
                conducted.told_s[incarnation] = self._now_s()
            # Routers learned of the order after it came: so much time has surely passed.
            began_s = self._now_s() - word.age_ms / MILLISECONDS_PER_SECOND
            conducted.began_s = min(conducted.began_s, began_s)

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Grant a router what it may send."""
        for service, conducted in self._conducted.items():
            record = self._member.state.rollouts.get(service)
            word = conducted.told.get(session.record.incarnation)
            if record is None or word is None or not _goes_by_grants(record):
                continue
            if conducted.ordered_revision != record.ordered_revision:
                continue
            note = self._member.state.rollouts.notes.get(service)
            ceiling = note.ceiling if note is not None else 0
            total = conducted.book.grant(
                session.record.incarnation,
                held=word.granted,
                sent=word.sent,
                allowance=min(ceiling, self._allowance(record, conducted, conducted.requests)),
                routers=len(self._member.sessions),
            )
            frame.rollout_grants.add(
                service=service, ordered_revision=conducted.ordered_revision, total=total
            )

    def _allowance(
        self, record: resources_pb2.Rollout, conducted: _Conducted, requests: int
    ) -> int:
        if record.phase != TRIAL:
            return self._limits.newcomer(requests)
        elapsed_s = self._now_s() - conducted.began_s
        duration_s = record.duration_ms / MILLISECONDS_PER_SECOND
        return self._limits.trial(requests, elapsed_s, duration_s)

    def _conducted_for(self, service: str) -> _Conducted | None:
        """Return what is known of a service's order, from nothing if it is new."""
        record = self._member.state.rollouts.get(service)
        if record is None or not (record.phase in RUNNING or record.newcomer):
            self._conducted.pop(service, None)
            return None
        known = self._conducted.get(service)
        if known is None or known.ordered_revision != record.ordered_revision:
            note = self._member.state.rollouts.notes.get(service)
            if note is None or note.ordered_revision != record.ordered_revision:
                note = control_pb2.RolloutNote()
            known = _Conducted(
                record.ordered_revision,
                self._now_s() - note.elapsed_ms / MILLISECONDS_PER_SECOND,
                GrantBook(note.ceiling),
                TrialMonitor(self._pending_prefill_routes()),
            )
            self._conducted[service] = known
        return known

    def _pending_prefill_routes(self) -> frozenset[str]:
        fleet = self._member.state.fleet.configuration()
        routes = fleet.routes if fleet is not None else ()
        return frozenset(route.name for route in routes if route.affinity)

    # ---- chores -----------------------------------------------------------

    async def tend(self) -> None:
        """Look at all roll-outs, and write what has to be in the log."""
        services = self._member.state.rollouts.services()
        if not services or self._now_s() < self._next_look_s:
            return
        self._next_look_s = self._now_s() + _LOOK_S
        for service in services:
            conducted = self._conducted_for(service)
            record = self._member.state.rollouts.get(service)
            if conducted is None or record is None:
                continue
            view = self._view(service, record, conducted)
            step = next_step(view)
            if step is not None:
                await self._advance(service, record, conducted, step)
            elif _goes_by_grants(record):
                await self._note(service, record, conducted)

    def _view(
        self, service: str, record: resources_pb2.Rollout, conducted: _Conducted
    ) -> RolloutView:
        evidence = Evidence()
        for word in conducted.told.values():
            evidence.add(Evidence.from_messages(word.answers))
        if record.phase in RUNNING and conducted.verdict.decision is not Decision.ROLL_BACK:
            conducted.verdict = conducted.watch.judge(
                evidence, without_baseline=record.phase == MOVING
            )
        elapsed_s = self._now_s() - conducted.began_s
        conducted.pace.note(self._now_s(), conducted.requests)
        sent = sum(word.sent for word in conducted.told.values())
        longest_ms = evidence.whole(of_target=False).longest_ms
        return RolloutView(
            phase=record.phase,
            newcomer=bool(record.newcomer),
            elapsed_s=elapsed_s,
            duration_s=record.duration_ms / MILLISECONDS_PER_SECOND,
            target_replicas=self._replicas_of(service, record.target),
            verdict=conducted.verdict,
            longest_s=longest_ms / MILLISECONDS_PER_SECOND,
            left=self._limits.whole(conducted.requests) - max(sent, conducted.book.given),
            per_s=conducted.pace.per_s(elapsed_s),
            all_clear=record.phase == MOVING and self._all_clear(service, conducted),
        )

    def _replicas_of(self, service: str, version: str) -> int:
        state = self._member.state
        return sum(
            1
            for replica in state.fleet.live_replicas(service)
            if replica.software == version and not state.evacuations.is_evacuated(replica.zone)
        )

    def _all_clear(self, service: str, conducted: _Conducted) -> bool:
        """Whether the move is in force, and every router in touch has nothing elsewhere."""
        resource = self._member.state.resources.get(ROLLOUT_KIND, service)
        if resource is None or self._member.state.in_force_revision < resource.metadata.revision:
            return False
        known = self._member.state.daemons.daemons
        routers = [known[name] for name in self._member.in_force.in_touch() if name in known]
        asked = [r.incarnation for r in routers if r.role == ROLE_ROUTER and not r.gone]
        # None in touch: what they have elsewhere is not known.
        return bool(asked) and all(self._is_clear(conducted, name) for name in asked)

    def _is_clear(self, conducted: _Conducted, incarnation: str) -> bool:
        """Whether a router says so now: one that hears nothing goes back to old replicas."""
        word = conducted.told.get(incarnation)
        silent_s = self._now_s() - conducted.told_s.get(incarnation, float("-inf"))
        return word is not None and word.clear and silent_s <= _CLEAR_HOLDS_S

    async def _advance(
        self,
        service: str,
        record: resources_pb2.Rollout,
        conducted: _Conducted,
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
            elapsed_s=self._now_s() - conducted.began_s,
            requests=conducted.requests,
            sent=sum(word.sent for word in conducted.told.values()),
            granted=conducted.book.given,
            routers=len(conducted.told),
            # What single routers took it for, of few answers each: their sum decides.
            stopped=sum(1 for word in conducted.told.values() if word.stopped),
            reason=step.reason,
        )
        await self._member.propose(command)

    async def _note(
        self, service: str, record: resources_pb2.Rollout, conducted: _Conducted
    ) -> None:
        """Raise the ceiling in the log ahead of what will be granted."""
        now_s = self._now_s()
        if now_s - conducted.noted_s < _NOTE_S:
            return
        requests = conducted.requests
        grown = 0.0
        if conducted.noted_s > float("-inf"):
            grown = (requests - conducted.requests_noted) / (now_s - conducted.noted_s)
        conducted.noted_s = now_s
        conducted.requests_noted = requests
        ahead = requests + int(max(0.0, grown) * _NOTE_AHEAD_S)
        ceiling = self._allowance(record, conducted, ahead)
        note = self._member.state.rollouts.notes.get(service)
        if note is not None and ceiling <= note.ceiling:
            return
        command = control_pb2.Command()
        command.note_rollout.service = service
        command.note_rollout.ordered_revision = record.ordered_revision
        command.note_rollout.ceiling = ceiling
        elapsed_s = now_s - conducted.began_s
        command.note_rollout.elapsed_ms = int(elapsed_s * MILLISECONDS_PER_SECOND)
        await self._member.propose(command)

    def _now_s(self) -> float:
        return self._member.environment.monotonic()


def _goes_by_grants(record: resources_pb2.Rollout) -> bool:
    return record.phase == TRIAL or bool(record.newcomer)
