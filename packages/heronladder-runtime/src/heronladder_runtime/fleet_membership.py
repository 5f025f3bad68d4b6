"""Number of routers that share the bounds of the fleet, as reported by control.

Each router divides such a bound by this number. If the number is too small, all routers together
exceed the bound, so the view errs on the large side: control reports all registered routers, also
those that are disconnected from it, and the largest recent report counts.

The view says how far it can be trusted. A router that joins is reported to all routers that are
connected to the leader. A disconnected router does not learn of it, so its view is valid for only
a short time, and routers whose view was not valid use no shared allowance until everything that
others may have used by an older view is out of the window of the bound.
"""

import math
from collections import deque
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

#: Time for which a view is valid after the last confirmation by a leader.
VIEW_VALIDITY_S = 4.0
#: Time for which a deposed leader may go on confirming: two election timeouts.
_LEADER_OVERLAP_S = 2.0
_RECENT_S = 10.0  # over which the largest report counts


@dataclass(frozen=True)
class MembershipView:
    """State of the membership view of one router.

    Attributes:
        connected: Routers with a stream to the leader; 1 before the first report.
        serving: Upper bound on the routers that may be serving: the largest recent report; 0 if
            no leader has reported it.
        age_s: Time since the leader last confirmed it; inf if it never did.
        valid_for_s: Time for which it has been valid without interruption; 0 if it is not valid.
    """

    connected: int
    serving: int
    age_s: float
    valid_for_s: float

    def is_settled(self, window_s: float) -> bool:
        """Return whether no router can have used a bound by an older view within a window.

        Args:
            window_s: Window over which the bound applies, in seconds.
        """
        return self.valid_for_s >= window_s + VIEW_VALIDITY_S + _LEADER_OVERLAP_S


class FleetMembership:
    """Tracks the reports of control about the number of routers.

    Args:
        environment: Source of time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._connected = 1
        self._serving = 0
        # Larger earlier reports with the times at which they ended, largest and oldest first.
        self._earlier: deque[tuple[float, int]] = deque()
        self._confirmed_s = -math.inf
        self._valid_since_s = -math.inf

    def record_report(self, connected: int, serving: int) -> None:
        """Record the numbers in a frame from the leader; 0 for an unchanged number."""
        self._connected = connected or self._connected
        if not serving or serving == self._serving:
            return
        while self._earlier and self._earlier[-1][1] <= self._serving:
            self._earlier.pop()
        self._earlier.append((self._environment.monotonic(), self._serving))
        self._serving = serving

    def confirm(self, sent_s: float) -> None:
        """Record that a leader acknowledged a heartbeat, after all its reports so far.

        Args:
            sent_s: Time at which the heartbeat was sent.
        """
        if sent_s - self._confirmed_s > VIEW_VALIDITY_S:
            self._valid_since_s = sent_s
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def view(self, window_s: float = _RECENT_S) -> MembershipView:
        """Return the current view.

        Args:
            window_s: Time over which the largest report counts, in seconds.
        """
        now_s = self._environment.monotonic()
        age_s = now_s - self._confirmed_s
        is_valid = age_s <= VIEW_VALIDITY_S
        return MembershipView(
            self._connected,
            self._largest_since(now_s - window_s),
            age_s,
            now_s - self._valid_since_s if is_valid else 0.0,
        )

    @property
    def sharing(self) -> int:
        """Number of routers by which a bound of the fleet is divided, at least 1.

        A leader of an earlier build reports connected routers only.
        """
        since_s = self._environment.monotonic() - _RECENT_S
        return max(1, self._largest_since(since_s) or self._connected)

    @property
    def connected(self) -> int:
        """Routers with a stream to the leader; 1 before the first report."""
        return self._connected

    def _largest_since(self, since_s: float) -> int:
        for ended_s, count in self._earlier:
            if ended_s >= since_s:
                return max(count, self._serving)
        return self._serving
