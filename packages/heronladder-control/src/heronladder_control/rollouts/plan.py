"""The leader's next step of a roll-out, from what it knows. No clock, no sockets."""

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

# From the order to move until all routers hold it, and from the last answer elsewhere until
# `completed` is in the log: three heartbeats each way and a commit of a slow disk.
_WAY_S = 1.0
_LONGEST_MORE = 1.1  # the longest answer still to come, against the longest seen
_MOST_OF_TIME = 0.4  # of an order's time, that is kept for the move at most
# There is no way back from `completed`: it is written so long before the deadline, and what all
# requests show at the target is watched until then: two heartbeats.
_COMPLETE_BEFORE_S = 0.6
_SAFE_PART = 0.7  # of what is left, planned with: the load may rise
# In a service's whole traffic, until a version that turns bad is noticed and left; see the table
# in docs/measurements/rollouts.md.
_NOTICED_S = 0.6
_PROVED_WITHIN = 1.5  # times an order's time, for a version that only lacks answers
_LATEST = 3.0  # times an order's time, after which a move ends whose old answers do not
_ORDER_REPEATS_S = 8.0  # operators repeat an order for 5 s; a newcomer is admitted after this


@dataclass(frozen=True)
class RolloutView:
    """What is known of a roll-out.

    Attributes:
        phase: Its phase.
        newcomer: Whether a version is there that no order named.
        elapsed_s: Time since the order, or since the newcomer's first word, at least.
        duration_s: Time within which it is to be completed.
        target_replicas: Replicas of the target that are not leaving.
        verdict: On all that routers counted.
        longest_s: Longest answer of the old version.
        left: Requests that it may still get within the whole bound.
        per_s: Requests of the service a second.
        all_clear: Whether all routers in touch hold the move and have nothing elsewhere.
    """

    phase: resources_pb2.RolloutPhase.ValueType
    newcomer: bool
    elapsed_s: float
    duration_s: float
    target_replicas: int
    verdict: Verdict
    longest_s: float
    left: int
    per_s: float
    all_clear: bool

    @property
    def may_be_moved_to(self) -> bool:
        """Whether what a bad version would still do fits into the bound.

        Of a service with few requests it fits whatever the version is, for the whole time of a
        move; else only if the version is sound so far, until it is noticed that it no longer is,
        or the deadline. By what is left until the deadline anything would fit just before it.
        """
        move_s = self.duration_s - self.move_after_s
        if self.per_s * move_s <= self.left * _SAFE_PART:
            return True
        rest_s = max(0.0, self.duration_s - self.elapsed_s)
        fits = self.per_s * min(_NOTICED_S, rest_s) <= self.left
        return fits and self.verdict.decision is Decision.SOUND

    @property
    def move_is_over(self) -> bool:
        """Whether what was moved to and is not proved by now goes back.

        A version against which nothing speaks but that its answers are too few gets more time:
        its replicas, or what routers tell of it, may have come late.
        """
        if self.verdict.lacks_responses:
            return self.elapsed_s >= _PROVED_WITHIN * self.duration_s
        return self.elapsed_s >= self.duration_s

    @property
    def move_after_s(self) -> float:
        """When to move: as late as what runs elsewhere can end in time.

        Until then a version that turns bad gets a trial's share only.
        """
        needed_s = _WAY_S + _LONGEST_MORE * self.longest_s
        return self.duration_s - min(needed_s, _MOST_OF_TIME * self.duration_s)


@dataclass(frozen=True)
class Step:
    """The next phase and why; the same phase again admits the newcomer."""

    phase: resources_pb2.RolloutPhase.ValueType
    reason: str


def next_step(view: RolloutView) -> Step | None:
    """Return the next step, or None to go on."""
    match view.phase:
        case resources_pb2.ROLLOUT_PHASE_WAITING | resources_pb2.ROLLOUT_PHASE_TRIAL:
            return _in_trial(view)
        case resources_pb2.ROLLOUT_PHASE_MOVING:
            return _in_move(view)
        case _:
            return _newcomer(view)


def _newcomer(view: RolloutView) -> Step | None:
    if view.newcomer and view.elapsed_s >= _ORDER_REPEATS_S:
        return Step(view.phase, "no order came for it")
    return None


def _bad(view: RolloutView) -> Step | None:
    if view.verdict.decision is Decision.ROLL_BACK:
        return Step(ROLLED_BACK, view.verdict.reason)
    return None


def _in_trial(view: RolloutView) -> Step | None:
    bad = _bad(view)
    if bad is not None:
        return bad
    if view.elapsed_s >= view.duration_s:
        return Step(ROLLED_BACK, f"not proved in its time: {view.verdict.reason}")
    if not view.target_replicas:
        return None
    if view.phase == WAITING:
        return Step(TRIAL, "its replicas are there")
    if view.elapsed_s >= view.move_after_s and view.may_be_moved_to:
        return Step(MOVING, view.verdict.reason)
    return None


def _in_move(view: RolloutView) -> Step | None:
    bad = _bad(view)
    if bad is not None:
        return bad
    if not view.target_replicas:
        return Step(ROLLED_BACK, "no replica of it is left")
    if view.elapsed_s >= _LATEST * view.duration_s:
        return Step(ROLLED_BACK, f"old answers ran on for {_LATEST:g} times its time")
    is_sound = view.verdict.decision is Decision.SOUND
    if view.move_is_over and not is_sound:
        return Step(ROLLED_BACK, f"not proved in its time: {view.verdict.reason}")
    is_time = view.elapsed_s >= view.duration_s - _COMPLETE_BEFORE_S
    if is_time and view.all_clear and is_sound:
        return Step(COMPLETED, view.verdict.reason)
    return None
