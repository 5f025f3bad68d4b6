"""Chooses the replica of the next attempt of a request, and spends the retry budget."""

from dataclasses import replace

from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.attempt_outcomes import AttemptHistory
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.placement import Placement, PlacementReason
from heronladder_router.dispatch_logging import log_retry_refused
from heronladder_router.errors import BehindError
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.sliding_retry_budget import SlidingRetryBudget

_REPLICA_WAIT_S = 0.2
# Reasons for having no replica that often end within _REPLICA_WAIT_S: a replica registers, has
# warmed up, or its version is admitted.
_TRANSIENT_REASONS = frozenset(
    {PlacementReason.NONE_KNOWN, PlacementReason.COLD, PlacementReason.VERSION}
)


class AttemptPlacement:
    """Chooses replicas for attempts.

    Args:
        link: Link to control.
        replicas: All replicas.
        retry_budget: Limits retries.
        crashing: Known crashing requests.
        metrics: Counts retries.
        log: Logs refused retries.
    """

    def __init__(
        self,
        link: ControlLink,
        replicas: FleetReplicas,
        retry_budget: SlidingRetryBudget,
        crashing: CrashingRequests,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._link = link
        self._replicas = replicas
        self._retry_budget = retry_budget
        self._crashing = crashing
        self._metrics = metrics
        self._log = log

    async def next(self, request: GatewayRequest, history: AttemptHistory) -> Placement:
        """Return the replica of the next attempt, or why there is none.

        Args:
            request: The request.
            history: Attempts made so far.

        Raises:
            BehindError: If the list of replicas is out of date and there was no attempt yet.
        """
        await self._wait_for_current_configuration(history)
        placement = self.place(request, history)
        if not history.count and await self._wait_for_replica(placement.reason, request):
            await self._wait_for_current_configuration(history)
            placement = self.place(request, history)
        # Only a request that may have arrived at a replica counts as a retry. When failed
        # connections to crashed replicas counted too, they exhausted the retry budget, and requests
        # were refused while other replicas were idle: 12 to 25 per run with three of six replicas
        # crashing every 2 s, and 76 with tracing on.
        if placement.replica is None or not history.may_have_arrived:
            return placement
        decision = self._retry_budget.try_spend(request.profile.service)
        if decision.allowed:
            self._metrics.add("retries_sent", request.profile.service)
            return placement
        self._metrics.add("repeats_not_allowed", request.profile.service)
        log_retry_refused(self._log, request, decision)
        return Placement(None, PlacementReason.ALL_TRIED)

    def place(self, request: GatewayRequest, history: AttemptHistory) -> Placement:
        """Return the replica that would be chosen now, without waiting or spending a retry."""
        profile = request.profile
        if history.origin is not None:
            profile = replace(profile, origin=history.origin)
        suspect = self._crashing.suspect_attribute(request)
        if suspect:
            profile = replace(profile, isolation_key=suspect)
        return self._replicas.place(profile, history.tried)

    async def _wait_for_replica(self, reason: PlacementReason, request: GatewayRequest) -> bool:
        """Wait briefly for a replica if the reason for having none may be transient.

        Returns:
            Whether a replica may be available now.
        """
        if reason is PlacementReason.RATE_LIMITED:
            return await self._replicas.limits.wait_for_grant(request.profile.service)
        if reason in _TRANSIENT_REASONS:
            await self._replicas.changed.wait(_REPLICA_WAIT_S)
            return True
        return False

    async def _wait_for_current_configuration(self, history: AttemptHistory) -> None:
        """Wait while the list of replicas is known to be out of date.

        Raises:
            BehindError: If the list is out of date and there was no attempt yet: the caller can
                use another gateway.
        """
        configuration_status = self._link.configuration_status
        if not configuration_status.must_not_act:
            return
        if not history.count:
            raise BehindError(
                "this gateway's configuration is out of date: a newer one is in force", step="send"
            )
        await configuration_status.wait_until_allowed_to_act()
