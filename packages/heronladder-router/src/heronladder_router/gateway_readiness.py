"""Tracks whether a gateway is behind: its control link or its event loop is too slow.

The decision itself is in ``decisions.readiness``; this module collects its inputs and keeps the
result.
"""

import math

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.decisions.readiness import ReadinessView, check_readiness
from heronladder_router.shared_loads import SharedLoads


class GatewayReadiness:
    """Decides whether a gateway accepts new connections, by its link latency and loop lag.

    Args:
        limit_ms: Link round trip or loop lag, in ms, above which the gateway is behind; 0 disables
            the check.
        link: Link to control, whose heartbeats supply both measurements.
        loads: Totals of requests in flight at this gateway and at all others.
        environment: Source of time.
        metrics: Counts changes.
        log: Logs changes.
    """

    def __init__(
        self,
        limit_ms: float,
        link: ControlLink,
        loads: SharedLoads,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._limit_ms = limit_ms
        self._link = link
        self._loads = loads
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._behind_since_s: float | None = None
        self._ready_since_s = -math.inf
        if limit_ms:
            metrics.gauge("heartbeat_round_trip_seconds", lambda: link.round_trip_s)
            metrics.gauge("loop_late_seconds", lambda: link.timer_lag_s)
            metrics.gauge("gateway_behind", lambda: int(self.behind))

    @property
    def behind(self) -> bool:
        """Whether this gateway is behind and should receive no new connections."""
        return self._behind_since_s is not None

    def update(self) -> None:
        """Recompute whether this gateway is behind.

        Called after each heartbeat response of control, and by each readiness check while the
        gateway is behind. Without the latter, a gateway would stay behind for as long as control
        does not respond.
        """
        if not self._limit_ms:
            return
        now_s = self._environment.monotonic()
        since_s = self._behind_since_s
        own, others = self._loads.in_flight_totals()
        view = ReadinessView(
            limit_ms=self._limit_ms,
            link_ms=self._link.round_trip_s * MILLISECONDS_PER_SECOND,
            loop_ms=self._link.timer_lag_s * MILLISECONDS_PER_SECOND,
            own=own,
            others=others,
            gateways=self._link.membership.connected,
            behind_s=None if since_s is None else now_s - since_s,
            ready_s=now_s - self._ready_since_s,
            heard_s=now_s - self._link.first_frame_s,
        )
        decided = check_readiness(view)
        if decided.ready is not self.behind:
            return
        if decided.ready:
            self._behind_since_s, self._ready_since_s = None, now_s
        else:
            self._behind_since_s = now_s
        self._metrics.add("gateway_behind_changes", decided.reason.value)
        self._log.info(
            "gateway_readiness",
            step="readiness",
            ready=decided.ready,
            reason=decided.reason.value,
            link_ms=int(view.link_ms),
            loop_ms=int(view.loop_ms),
            limit_ms=int(view.limit_ms),
            own=own,
            others=-1 if others is None else others,
            mean=decided.mean,
            gateways=view.gateways,
            behind_ms=int((view.behind_s or 0.0) * MILLISECONDS_PER_SECOND),
        )
