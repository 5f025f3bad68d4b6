"""Choice of the next phase of a rollout. Pure functions without I/O or a clock."""

from __future__ import annotations

from dataclasses import dataclass

from heronladder_runtime.rollouts.verdict import Decision, Verdict
from heronladder_schema.v1 import resources_pb2

from heronladder_control.rollouts.table import (
    COMPLETED,
    MOVING,
    ROLLED_BACK,
    TRIAL,
    WAITING,
)

# Time from the decision to move until all routers have it, plus the time from the last response
# of another version until COMPLETED is committed: three heartbeats each way and a commit on a slow
# disk.
_PROPAGATION_S = 1.0
_LONGEST_RESPONSE_FACTOR = 1.1  # longest response to expect, relative to the longest seen
_MAX_MOVE_FRACTION = 0.4  # at most this part of the duration is reserved for the move
# COMPLETED can't be reverted, so the target is observed under all requests until two heartbeats
# before the deadline.
_COMPLETION_LEAD_S = 0.6
_PLANNED_FRACTION = 0.7  # part of the remaining limit that a move may need; the load may rise
# Time until a version that turns bad under a service's whole traffic is detected and rolled back;
# see the table in docs/measurements/rollouts.md.
_DETECTION_S = 0.6
# Multiple of the duration after which a move that is not proved sound is rolled back, if the only
# doubt is that there are too few answers.
_EXTENDED_DURATION_FACTOR = 1.5
# Multiple of the duration after which a move is rolled back if old responses still run.
_MAX_MOVE_DURATION_FACTOR = 3.0
# Operators' tools retry an order for 5 s; a version without an order is admitted after this time.
_ORDER_RETRY_WINDOW_S = 8.0


@dataclass(frozen=True)
class RolloutView:
    """State of a rollout at one time.

    Attributes:
        phase: Current phase.
        newcomer: Whether replicas run a version that no order names.
        elapsed_s: Least possible time since the order, or since the newcomer's first report.
        duration_s: Time within which the rollout is to be completed, in seconds.
        target_replicas: Number of replicas of the target that are not draining or evacuated.
        verdict: Verdict on the answers that all routers counted.
        longest_old_response_s: Longest response time of the old version, in seconds.
        left: Requests that the target may still receive within the total limit.
        per_s: Request rate of the service, per second.
        others_drained: Whether all connected routers have applied the move and have no requests in
            flight at other versions.
    """

    phase: resources_pb2.RolloutPhase.ValueType
    newcomer: bool
    elapsed_s: float
    duration_s: float
    target_replicas: int
    verdict: Verdict
    longest_old_response_s: float
    left: int
    per_s: float
    others_drained: bool

    @property
    def can_move(self) -> bool:
        """Whether the harm that a bad version could do in a move stays within the limit.

        For a service with few requests, the requests of a whole move fit whatever the verdict is.
        Otherwise the version must be sound so far, and the requests until a fault is detected, or
        until the deadline, must fit. The time left until the deadline is no measure without a sound
        verdict, since shortly before the deadline any number of requests fits.
        """
        move_s = self.duration_s - self.move_start_s
        if self.per_s * move_s <= self.left * _PLANNED_FRACTION:
            return True
        rest_s = max(0.0, self.duration_s - self.elapsed_s)
        fits = self.per_s * min(_DETECTION_S, rest_s) <= self.left
        return fits and self.verdict.decision is Decision.SOUND

    @property
    def is_move_overdue(self) -> bool:
        """Whether a moved version that is not proved sound by now is rolled back.

        A version whose only fault is too few answers gets more time, since its replicas or the
        routers' reports may have come late.
        """
        if self.verdict.lacks_responses:
            return self.elapsed_s >= _EXTENDED_DURATION_FACTOR * self.duration_s
        return self.elapsed_s >= self.duration_s

    @property
    def move_start_s(self) -> float:
        """Time from the order to the move, in seconds.

        The move starts as late as the requests in flight at other versions can still end in time.
        Until then a version that turns bad receives only a trial's share of the requests.
        """
        needed_s = _PROPAGATION_S + _LONGEST_RESPONSE_FACTOR * self.longest_old_response_s
        return self.duration_s - min(needed_s, _MAX_MOVE_FRACTION * self.duration_s)


@dataclass(frozen=True)
class Step:
    """A transition to another phase and its reason; an unchanged phase admits the newcomer."""

    phase: resources_pb2.RolloutPhase.ValueType
    reason: str


def next_step(view: RolloutView) -> Step | None:
    """Return the next step, or None if the phase continues."""
    match view.phase:
        case resources_pb2.ROLLOUT_PHASE_WAITING | resources_pb2.ROLLOUT_PHASE_TRIAL:
            return _next_in_trial(view)
        case resources_pb2.ROLLOUT_PHASE_MOVING:
            return _next_in_move(view)
        case _:
            return _next_for_newcomer(view)


def _next_for_newcomer(view: RolloutView) -> Step | None:
    if view.newcomer and view.elapsed_s >= _ORDER_RETRY_WINDOW_S:
        return Step(view.phase, "no order came for it")
    return None


def _roll_back_if_bad(view: RolloutView) -> Step | None:
    if view.verdict.decision is Decision.ROLL_BACK:
        return Step(ROLLED_BACK, view.verdict.reason)
    return None


def _next_in_trial(view: RolloutView) -> Step | None:
    rollback = _roll_back_if_bad(view)
    if rollback is not None:
        return rollback
    if view.elapsed_s >= view.duration_s:
        return Step(ROLLED_BACK, f"not proved in its time: {view.verdict.reason}")
    if not view.target_replicas:
        return None
    if view.phase == WAITING:
        return Step(TRIAL, "its replicas are there")
    if view.elapsed_s >= view.move_start_s and view.can_move:
        return Step(MOVING, view.verdict.reason)
    return None


def _next_in_move(view: RolloutView) -> Step | None:
    rollback = _roll_back_if_bad(view)
    if rollback is not None:
        return rollback
    if not view.target_replicas:
        return Step(ROLLED_BACK, "no replica of it is left")
    if view.elapsed_s >= _MAX_MOVE_DURATION_FACTOR * view.duration_s:
        return Step(
            ROLLED_BACK,
            f"old answers ran on for {_MAX_MOVE_DURATION_FACTOR:g} times its time",
        )
    is_sound = view.verdict.decision is Decision.SOUND
    if view.is_move_overdue and not is_sound:
        return Step(ROLLED_BACK, f"not proved in its time: {view.verdict.reason}")
    is_due = view.elapsed_s >= view.duration_s - _COMPLETION_LEAD_S
    if is_due and view.others_drained and is_sound:
        return Step(COMPLETED, view.verdict.reason)
    return None
