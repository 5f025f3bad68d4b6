"""Decides what a gateway may send to each version of one service, and collects evidence of them.

There is one gate per service with a rollout record. ``version_gates`` combines the gates of all
services.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Collection

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.rollouts.evidence import Evidence, histogram_bucket
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.replica_state import FleetReplica

# When control has been silent for longer, no request is sent to a version on trial. The value is a
# fifth of the shortest time in which a rollback must be completed.
_MAX_SILENCE_S = 1.0
# Replicas of the old version are certain to remain until this long before the end of the order. The
# phase `completed` comes at most 0.6 s before the end, and a gateway receives the order later than
# control does.
_OLD_VERSION_MARGIN_S = 1.0
# A grant is reserved this long for a request of the route with the fewest sends in the trial.
_RARE_ROUTE_WAIT_S = 0.5
# Interval between two checks of this gateway's own evidence, as long as an event loop stall may
# last.
_CHECK_INTERVAL_S = 0.2
_TRIAL = resources_pb2.ROLLOUT_PHASE_TRIAL
_MOVING = resources_pb2.ROLLOUT_PHASE_MOVING
_RUNNING = frozenset({resources_pb2.ROLLOUT_PHASE_WAITING, _TRIAL, _MOVING})


class ServiceGate:
    """Gate of one service with a rollout record.

    Args:
        record: The rollout record.
        now_s: Time at which this gateway received it.
        shared_prompt_routes: Routes whose prompts share parts.

    Attributes:
        record: The rollout record.
        ordered_revision: Configuration revision in which the rollout was ordered.
        evidence: Outcomes and latencies of the old and the new version.
        requests: Requests that were sent to the service.
        sent: Sends to the trial version.
        granted: Total of sends to the trial version that control has granted.
        stopped: Reason for which this gateway alone stopped sending to the trial version; empty if
            it did not.
        clear: Whether the latest report said that all requests go to the target and none are in
            flight at other versions.
        is_connected: Whether control was heard recently.
    """

    def __init__(
        self, record: resources_pb2.Rollout, now_s: float, shared_prompt_routes: Collection[str]
    ) -> None:
        self.record = record
        self.ordered_revision = record.ordered_revision
        self.evidence = Evidence()
        self.requests = 0
        self.sent = 0
        self.granted = 0
        self.stopped = ""
        self.clear = False
        self.is_connected = True
        self._old_version_remains = False
        self._watch = TrialMonitor(shared_prompt_routes)
        self._received_s = now_s
        self._checked_s = -math.inf
        self._sent_by_route: Counter[str] = Counter()
        self._routes: set[str] = set()
        self._grant_since_s = math.inf
        self._targets: list[FleetReplica] = []  # in the order in which the trial chooses them
        self._trial_replica_count = 1
        self._trial_replicas: frozenset[str] = frozenset()

    # ---- rollout record ---------------------------------------------------

    def update_record(self, record: resources_pb2.Rollout) -> None:
        """Replace the record by one of a later phase of the same order."""
        self.record = record

    def update_replicas(self, replicas: list[FleetReplica]) -> None:
        """Choose the few replicas of the trial version that receive the trial's requests.

        Each gets about the load of a replica of the old version, so that a version that fails under
        load shows it. All gateways choose the same replicas, except for those that a gateway finds
        to be dead.

        Args:
            replicas: Replicas of the service that are not leaving.
        """
        old = sum(1 for replica in replicas if replica.record.software in self.record.admitted)
        targets = [replica for replica in replicas if replica.record.software == self.trial_version]
        self._targets = sorted(targets, key=lambda replica: _name_hash(replica.name))
        self._trial_replica_count = max(1, round(_TRIAL_REPLICA_RATIO * old))
        self.choose_trial_replicas(math.inf)

    @property
    def trial_version(self) -> str:
        """Version that needs grants or that receives all requests; empty if there is none."""
        if self.record.phase in _RUNNING:
            return self.record.target
        return self.record.newcomer

    @property
    def routes_all_to_target(self) -> bool:
        """Whether all requests go to the target.

        While control is heard, it decides from the totals of all gateways, because a single one of
        many gateways can find a good version bad by chance. While disconnected, a gateway goes back
        to the old replicas as long as they are certain to remain, and after that if its own
        evidence shows that the target is bad.
        """
        if self.record.phase != _MOVING:
            return False
        return self.is_connected or not (self.stopped or self._old_version_remains)

    # ---- selection of replicas --------------------------------------------

    def admits(self, replica: FleetReplica) -> bool:
        """Return whether a replica may be sent to without a grant."""
        if self.routes_all_to_target:
            return replica.record.software == self.record.target
        return replica.record.software in self.record.admitted

    def may_continue(self, replica: FleetReplica) -> bool:
        """Return whether a replica may go on with streams that its version began.

        A version that was rolled back gets no request at all.
        """
        is_rolled_back = (
            self.record.phase == resources_pb2.ROLLOUT_PHASE_ROLLED_BACK
            and replica.record.software == self.record.target
        )
        return not is_rolled_back and not (
            self.stopped and replica.record.software == self.trial_version
        )

    def is_trial_replica(self, replica: FleetReplica) -> bool:
        """Return whether a replica currently receives the trial's requests."""
        return replica.name in self._trial_replicas

    def choose_trial_replicas(self, now_s: float) -> None:
        """Choose the replicas of the trial again, without those that may be dead.

        If the only replica of a trial is dead, the trial collects no evidence.
        """
        alive = [
            replica
            for replica in self._targets
            if not replica.unreached and replica.suspect_until_s <= now_s
        ]
        chosen = (alive or self._targets)[: self._trial_replica_count]
        self._trial_replicas = frozenset(replica.name for replica in chosen)

    def update_connection(self, silent_s: float, now_s: float) -> None:
        """Update whether control is heard and whether the old replicas are certain to remain.

        Args:
            silent_s: Time since control was last heard, in seconds.
            now_s: Current time in seconds.
        """
        self.is_connected = silent_s <= _MAX_SILENCE_S
        age_s = now_s - self._received_s
        left_s = self.record.duration_ms / MILLISECONDS_PER_SECOND - age_s
        self._old_version_remains = left_s > _OLD_VERSION_MARGIN_S

    def is_trial_due(self, route: str, now_s: float) -> bool:
        """Return whether a request is to be sent to the version on trial.

        Routes with the fewest sends come first, so that the trial covers rare routes too.

        Args:
            route: Route of the request.
            now_s: Current time in seconds.
        """
        self._routes.add(route)
        if self.record.phase != _TRIAL and not self.record.newcomer:
            return False
        if self.stopped or self.sent >= self.granted or not self.is_connected:
            return False
        least = min(self._sent_by_route[known] for known in self._routes)
        if self._sent_by_route[route] <= least:
            return True
        return now_s - self._grant_since_s >= _RARE_ROUTE_WAIT_S

    # ---- counts and evidence ----------------------------------------------

    def count_send(self, replica: FleetReplica, route: str, now_s: float) -> None:
        """Count a send to a replica."""
        if replica.record.software == self.trial_version and not self.admits(replica):
            self._sent_by_route[route] += 1
            self._grant_since_s = now_s
        if replica.record.software == self.trial_version:
            self.sent += 1

    def uncount_send(self, version: str, route: str) -> None:
        """Undo the count of a send that was not run, since it gave no evidence and did no harm."""
        if version != self.trial_version:
            return
        self.sent = max(0, self.sent - 1)
        if self._sent_by_route[route] and not self.routes_all_to_target:
            self._sent_by_route[route] -= 1

    def apply_grant(self, total: int, now_s: float) -> None:
        """Set the total of granted sends; a lower total than before is ignored."""
        if total > self.granted and self.sent >= self.granted:
            self._grant_since_s = now_s
        self.granted = max(self.granted, total)

    def record_answer(
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
        """Add a response of a version to the evidence.

        Args:
            version: The version.
            route: Route of the request.
            failed: Whether the response failed, was lost or was incomplete.
            first_s: Time to its first byte, in seconds; None if there was none.
            gap_s: Time per event after the first, in seconds; None for fewer than two events.
            whole_s: Time to its end, in seconds.
            now_s: Current time in seconds.
        """
        of_target = version == self.trial_version
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
        is_due = now_s - self._checked_s >= _CHECK_INTERVAL_S
        if of_target and is_due and self.record.phase in _RUNNING:
            self._checked_s = now_s
            self._check_own_evidence()

    def _check_own_evidence(self) -> None:
        """Stop sending to the trial version if this gateway's own evidence shows that it is bad.

        Control may be unable to deliver its verdict to this gateway.
        """
        if self.stopped:
            return
        verdict = self._watch.judge(self.evidence, without_baseline=self.routes_all_to_target)
        if verdict.decision is Decision.ROLL_BACK:
            self.stopped = verdict.reason

    # ---- report to control ------------------------------------------------

    def report(
        self, service: str, elsewhere: int, now_s: float
    ) -> control_pb2.RolloutReport | None:
        """Return the report to control; None if the record has no version to report on.

        Args:
            service: Name of the service.
            elsewhere: Requests in flight at versions other than the target.
            now_s: Current time in seconds.
        """
        if not self.trial_version:
            return None
        # Control stops the old replicas when all gateways are clear, so this is withdrawn when the
        # gateway goes back to them while it is disconnected.
        self.clear = self.routes_all_to_target and not elsewhere
        return control_pb2.RolloutReport(
            service=service,
            ordered_revision=self.ordered_revision,
            requests=self.requests,
            sent=self.sent,
            elsewhere=elsewhere,
            clear=self.clear,
            stopped=self.stopped,
            age_ms=int((now_s - self._received_s) * MILLISECONDS_PER_SECOND),
            granted=self.granted,
            answers=self.evidence.to_messages(),
        )


# Number of trial replicas in proportion to the replicas of the old version. With the fraction of
# requests that a trial uses under a bound of 0.1, each gets the load of an old replica.
_TRIAL_REPLICA_RATIO = 0.05


def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
