"""Number of routers that share the bounds of the fleet, as reported by control.

Each router divides such a bound by this number. If it is too small, all routers together exceed
the bound. Control therefore reports all registered routers, also those that are disconnected from
it, and the largest recent report counts.

Reports reach connected routers only. While a router is disconnected, others may join, so its view
is valid for a short time. A view is settled once it has been valid for so long that all that other
routers may have used by an earlier view has left the window of the bound. Where a fleet is new,
there is nothing earlier: its routers only have to know of each other.
"""

import math
from collections import deque
from dataclasses import dataclass

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog

#: Time for which a view is valid after a heartbeat was sent that a leader acknowledged.
VIEW_VALIDITY_S = 4.0
#: Time for which a deposed leader may continue to acknowledge heartbeats.
_LEADER_OVERLAP_S = 2.0
_DEFAULT_WINDOW_S = 10.0
#: Routers of a new fleet start within this time of the first one.
_FLEET_START_S = 3.0
#: A view of a new fleet is settled when all have registered and earlier views have ended.
_NEW_FLEET_SETTLING_S = _FLEET_START_S + VIEW_VALIDITY_S
_LOGGED_CHANGE = 0.5  # fraction of the number of routers


def settling_time_s(window_s: float) -> float:
    """Return for how long a view must be valid until it is settled.

    Args:
        window_s: Window over which the bound applies, in seconds.
    """
    return window_s + VIEW_VALIDITY_S + _LEADER_OVERLAP_S


@dataclass(frozen=True)
class MembershipView:
    """What one router knows of the number of routers.

    Attributes:
        count: Upper bound on the routers that may be serving; 0 if no leader has reported it.
        age_s: Time since the newest acknowledged heartbeat was sent; inf if there is none.
        settled: Whether no router can have used the bound by an earlier view within the window.
        first_of_name: Whether no other process of the same name ran before.
        started_with_fleet: Whether no router ran for long before this one started.
    """

    count: int
    age_s: float
    settled: bool
    first_of_name: bool = False
    started_with_fleet: bool = False


class FleetMembership:
    """Records the reports of control.

    Args:
        environment: Source of time.
        log: Receives large changes.

    Attributes:
        connected: Routers with a stream to the leader; 1 before the first report.
        first_of_name: Whether control knows of no earlier process of the same name.
    """

    def __init__(self, environment: Environment, log: EventLog) -> None:
        self._environment = environment
        self._log = log
        self.connected = 1
        self.first_of_name = False
        self._started_after_s = math.inf  # the first router of the fleet
        self._serving = 0
        # Larger earlier reports with the times at which they ended, the largest and oldest first.
        self._earlier: deque[tuple[float, int]] = deque()
        self._confirmed_s = -math.inf
        self._valid_since_s = math.inf
        self._interrupted = False

    def record_report(self, frame: control_pb2.ControlFrame) -> None:
        """Record what a frame of the leader says; fields that are unset are unchanged."""
        self.connected = frame.routers or self.connected
        self.first_of_name = self.first_of_name or frame.first_of_name
        self._record_fleet_start(frame.started_after_ms)
        serving = frame.serving_routers
        if not serving or serving == self._serving:
            return
        while self._earlier and self._earlier[-1][1] <= self._serving:
            self._earlier.pop()
        self._earlier.append((self._environment.monotonic(), self._serving))
        if abs(serving - self._serving) > _LOGGED_CHANGE * self._serving:
            self._log.info(
                "membership_changed",
                step="membership",
                serving=serving,
                earlier=self._serving,
                connected=self.connected,
                first_of_name=self.first_of_name,
                started_with_fleet=self.started_with_fleet,
            )
        self._serving = serving

    def _record_fleet_start(self, started_after_ms: int) -> None:
        if not started_after_ms:
            return
        started_after_s = (started_after_ms - 1) / MILLISECONDS_PER_SECOND
        if math.isfinite(self._started_after_s):
            # Leaders estimate it; the later start of the two is the safe one.
            started_after_s = max(started_after_s, self._started_after_s)
        self._started_after_s = started_after_s

    def confirm(self, sent_s: float) -> None:
        """Record that a leader acknowledged a heartbeat; its reports until then are recorded.

        Args:
            sent_s: Time at which the heartbeat was sent. The acknowledgement may have been delayed
                for long.
        """
        if sent_s - self._confirmed_s > VIEW_VALIDITY_S:
            self._interrupted = math.isfinite(self._confirmed_s)
            self._valid_since_s = sent_s
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def view(self, window_s: float) -> MembershipView:
        """Return the view for a bound over a window.

        Args:
            window_s: Length of the window, in seconds.
        """
        now_s = self._environment.monotonic()
        age_s = self.age_s
        settling_s = settling_time_s(window_s)
        valid_s = now_s - self._valid_since_s
        new_fleet = self.started_with_fleet and not self._interrupted
        needed_s = min(settling_s, _NEW_FLEET_SETTLING_S) if new_fleet else settling_s
        return MembershipView(
            self._largest_since(now_s - settling_s),
            age_s,
            settled=age_s <= VIEW_VALIDITY_S and valid_s >= needed_s,
            first_of_name=self.first_of_name,
            started_with_fleet=self.started_with_fleet,
        )

    @property
    def started_with_fleet(self) -> bool:
        """Whether no router ran for long before this one started, under any name."""
        return self.first_of_name and self._started_after_s <= _FLEET_START_S

    @property
    def age_s(self) -> float:
        """Time in seconds since the newest acknowledged heartbeat was sent; inf if none was."""
        return self._environment.monotonic() - self._confirmed_s

    @property
    def sharing(self) -> int:
        """Number of routers by which a bound without a window is divided, at least 1.

        Leaders of earlier builds report the connected routers only.
        """
        since_s = self._environment.monotonic() - _DEFAULT_WINDOW_S
        return max(1, self._largest_since(since_s) or self.connected)

    def _largest_since(self, since_s: float) -> int:
        for ended_s, count in self._earlier:
            if ended_s >= since_s:
                return max(count, self._serving)
        return self._serving
