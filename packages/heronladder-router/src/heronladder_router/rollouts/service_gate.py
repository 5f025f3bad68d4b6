"""What a gateway may send to the versions of one service, and what it saw of them."""

import hashlib
import math
from collections import Counter
from collections.abc import Collection

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.rollouts.evidence import Evidence, histogram_bucket
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.replica_state import FleetReplica

# Without a word of control for so long, nothing goes to a version on trial: a fifth of the
# shortest bound on going back that users set.
_SILENCE_S = 1.0
# `completed` comes 0.6 s before an order's time at the earliest, and a gateway learns of the order
# so much after control: until then the old replicas stay.
_OLD_STAY_S = 1.0
# A grant waits so long for a request of the route that the trial has seen least.
_RARE_ROUTE_WAIT_S = 0.5
_JUDGE_S = 0.2  # between two looks at what it saw itself: as long as a stall may hit
_TRIAL = resources_pb2.ROLLOUT_PHASE_TRIAL
_MOVING = resources_pb2.ROLLOUT_PHASE_MOVING
_RUNNING = frozenset({resources_pb2.ROLLOUT_PHASE_WAITING, _TRIAL, _MOVING})


class ServiceGate:
    """One service that has a record of versions.

    Args:
        record: The record.
        now_s: When this gateway learned of it.
        unread_routes: Routes whose prompts share parts.
    """

    def __init__(
        self, record: resources_pb2.Rollout, now_s: float, pending_prefill_routes: Collection[str]
    ) -> None:
        self.record = record
        self.ordered_revision = record.ordered_revision
        self.evidence = Evidence()
        self.requests = 0
        self.sent = 0
        self.granted = 0
        self.stopped = ""
        self.clear = False
        self.hears = True
        self._is_early = False
        self._watch = TrialMonitor(pending_prefill_routes)
        self._learned_s = now_s
        self._judged_s = -math.inf
        self._sent_by_route: Counter[str] = Counter()
        self._routes: set[str] = set()
        self._grant_since_s = math.inf
        self._targets: list[FleetReplica] = []  # in the order in which the trial takes them
        self._few = 1
        self._trial: frozenset[str] = frozenset()

    # ---- the record -------------------------------------------------------

    def take(self, record: resources_pb2.Rollout) -> None:
        """Take the next phase of the same order."""
        self.record = record

    def take_replicas(self, replicas: list[FleetReplica]) -> None:
        """Choose the few replicas of the version on trial that get its share.

        Each bears about what one of the old bears, so that a version that is bad under load
        shows it. All gateways choose the same, but for those that a gateway finds dead.

        Args:
            replicas: Those of the service that are not leaving.
        """
        old = sum(1 for replica in replicas if replica.record.software in self.record.admitted)
        targets = [replica for replica in replicas if replica.record.software == self.on_trial]
        self._targets = sorted(targets, key=lambda replica: _rank(replica.name))
        self._few = max(1, round(_TRIAL_REPLICAS * old))
        self.choose(math.inf)

    @property
    def on_trial(self) -> str:
        """Version that goes by grants, or that all goes to; empty if there is none."""
        if self.record.phase in _RUNNING:
            return self.record.target
        return self.record.newcomer

    @property
    def moves(self) -> bool:
        """Whether all requests go to the target.

        While control is heard, it decides by the sums of all: one of many gateways finds a good
        version bad by chance. Cut off, a gateway goes back to the old replicas for as long as
        they surely stay, and then by what it sees.
        """
        if self.record.phase != _MOVING:
            return False
        return self.hears or not (self.stopped or self._is_early)

    # ---- what may be sent to ----------------------------------------------

    def admits(self, replica: FleetReplica) -> bool:
        """Whether a replica may be sent to without a grant."""
        if self.moves:
            return replica.record.software == self.record.target
        return replica.record.software in self.record.admitted

    def on_trial_here(self, replica: FleetReplica) -> bool:
        """Whether a replica is one of those that the trial's share goes to now."""
        return replica.name in self._trial

    def choose(self, now_s: float) -> None:
        """Choose the trial's replicas anew, without those that may be dead.

        With one dead replica in its place, a trial showed nothing until its end.
        """
        alive = [
            replica
            for replica in self._targets
            if not replica.unreached and replica.suspect_until_s <= now_s
        ]
        chosen = (alive or self._targets)[: self._few]
        self._trial = frozenset(replica.name for replica in chosen)

    def note_silence(self, silent_s: float, now_s: float) -> None:
        """Note how long control has been silent."""
        self.hears = silent_s <= _SILENCE_S
        age_s = now_s - self._learned_s
        left_s = self.record.duration_ms / MILLISECONDS_PER_SECOND - age_s
        self._is_early = left_s > _OLD_STAY_S

    def trial_is_due(self, route: str, now_s: float) -> bool:
        """Whether a request goes to the version on trial.

        Args:
            route: Its route.
            now_s: Time.
        """
        self._routes.add(route)
        if self.record.phase != _TRIAL and not self.record.newcomer:
            return False
        if self.stopped or self.sent >= self.granted or not self.hears:
            return False
        least = min(self._sent_by_route[known] for known in self._routes)
        if self._sent_by_route[route] <= least:
            return True
        return now_s - self._grant_since_s >= _RARE_ROUTE_WAIT_S

    # ---- what was done and seen -------------------------------------------

    def count_send(self, replica: FleetReplica, route: str, now_s: float) -> None:
        """Count a send."""
        if replica.record.software == self.on_trial and not self.admits(replica):
            self._sent_by_route[route] += 1
            self._grant_since_s = now_s
        if replica.record.software == self.on_trial:
            self.sent += 1

    def uncount_send(self, version: str, route: str) -> None:
        """Take back a send that was not run: it showed nothing, and harmed nothing."""
        if version != self.on_trial:
            return
        self.sent = max(0, self.sent - 1)
        if self._sent_by_route[route] and not self.moves:
            self._sent_by_route[route] -= 1

    def take_grant(self, total: int, now_s: float) -> None:
        """Take a total that may be sent; it only rises."""
        if total > self.granted and self.sent >= self.granted:
            self._grant_since_s = now_s
        self.granted = max(self.granted, total)

    def answered(
        self,
        version: str,
        route: str,
        *,
        failed: bool,
        first_s: float | None,
        gap_s: float | None,
        whole_s: float,
        now_s: float,
    ) -> None:
        """Count an answer of a version.

        Args:
            version: The version.
            route: Route of the request.
            failed: Whether it failed, was lost or was broken.
            first_s: Time to its first byte; None if none came.
            gap_s: Time per event after that; None for fewer than two events.
            whole_s: Time to its end.
            now_s: Time.
        """
        of_target = version == self.on_trial
        if not of_target and version not in self.record.admitted:
            return
        side = self.evidence.side(route, of_target=of_target)
        side.answers += 1
        side.failed += failed
        side.longest_ms = max(side.longest_ms, int(whole_s * MILLISECONDS_PER_SECOND))
        if first_s is not None:
            side.first[histogram_bucket(first_s)] += 1
        if gap_s is not None:
            side.gap[histogram_bucket(gap_s)] += 1
        is_due = now_s - self._judged_s >= _JUDGE_S
        if of_target and is_due and self.record.phase in _RUNNING:
            self._judged_s = now_s
            self._judge()

    def _judge(self) -> None:
        """Stop by what this gateway alone saw: it may not hear of the verdict."""
        if self.stopped:
            return
        verdict = self._watch.judge(self.evidence, without_baseline=self.moves)
        if verdict.decision is Decision.ROLL_BACK:
            self.stopped = verdict.reason

    # ---- what control is told ---------------------------------------------

    def report(
        self, service: str, elsewhere: int, now_s: float
    ) -> control_pb2.RolloutReport | None:
        """Return what control is to know; None if the record asks for nothing.

        Args:
            service: The service.
            elsewhere: Requests under way at other versions than the target.
            now_s: Time.
        """
        if not self.on_trial:
            return None
        # Withdrawn when it went back while it heard nothing: old replicas are stopped on it.
        self.clear = self.moves and not elsewhere
        return control_pb2.RolloutReport(
            service=service,
            ordered_revision=self.ordered_revision,
            requests=self.requests,
            sent=self.sent,
            elsewhere=elsewhere,
            clear=self.clear,
            stopped=self.stopped,
            age_ms=int((now_s - self._learned_s) * MILLISECONDS_PER_SECOND),
            granted=self.granted,
            answers=self.evidence.to_messages(),
        )


# Of the old version's replicas, so many of the new get the trial's share: with the share that a
# trial uses of a bound of 0.1, each bears what an old one bears.
_TRIAL_REPLICAS = 0.05


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
