"""Numbers of routers that routers are told, by which they divide bounds of the whole fleet."""

import math
from collections.abc import Iterable

from heronladder_runtime.clock import MAX_DURATION_MS, MILLISECONDS_PER_SECOND, duration_ms
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.member_context import MemberContext


class RouterCounts:
    """Counts routers when they change rather than for each frame.

    The number of connected routers is too small after a change of leader, until all have
    connected again, and while routers are cut off from control but serve. Bounds are therefore
    divided by the number of routers that may be serving.

    Args:
        member: What the components of the member share.

    Attributes:
        connected: Routers with an open stream.
        serving: Routers that are registered and not declared gone, or have an open stream.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self.connected = 0
        self.serving = 0
        # By name and incarnation, when this member first saw the registration.
        self._seen_s: dict[tuple[str, str], float] = {}
        # When the first router of the fleet started; None if earlier ones may have been forgotten.
        self._fleet_started_s: float | None = None

    def opened(self, session: DaemonSession) -> None:
        """Count the stream of a daemon that has registered."""
        now_s = self._member.environment.monotonic()
        age_s = session.hello.process_age_ms / MILLISECONDS_PER_SECOND
        # A router serves nothing before it registers. If this member replayed its log, it saw the
        # registration late, and the age of the process counts.
        seen_s = self._seen_s.get((session.record.name, session.record.incarnation), now_s)
        session.started_s = min(seen_s, now_s - age_s)
        self.update()

    def update(self) -> None:
        """Count again, after a stream was opened or closed or a daemon's record changed."""
        connected = {
            name
            for name, session in self._member.sessions.items()
            if session.record.role == ROLE_ROUTER
        }
        records = [
            record
            for record in self._member.state.daemons.daemons.values()
            if record.role == ROLE_ROUTER
        ]
        registered = {record.name for record in records if not record.gone}
        self.connected = len(connected)
        self.serving = len(connected | registered)
        now_s = self._member.environment.monotonic()
        keys = [(record.name, record.incarnation) for record in records]
        self._seen_s = {key: self._seen_s.get(key, now_s) for key in keys}
        self._fleet_started_s = self._fleet_start(records)

    def _fleet_start(self, records: Iterable[ledger_pb2.DaemonRecord]) -> float | None:
        """Return when the first router started; None if that of any router is not known."""
        started_s = math.inf
        for record in records:
            session = self._member.sessions.get(record.name)
            if record.gone or record.previous or session is None:
                return None
            started_s = min(started_s, session.started_s)
        return started_s if math.isfinite(started_s) else None

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add the numbers that have changed since the last frame of a stream."""
        if self.connected != session.sent_router_count:
            session.sent_router_count = self.connected
            frame.routers = self.connected
        if self.serving != session.sent_serving_count:
            if not session.sent_serving_count:
                record = self._member.state.daemons.daemons.get(session.record.name)
                frame.first_of_name = record is not None and not record.previous
            session.sent_serving_count = self.serving
            frame.serving_routers = self.serving
        is_due = session.record.role == ROLE_ROUTER and not session.sent_fleet_start
        if is_due and self._fleet_started_s is not None:
            session.sent_fleet_start = True
            after_s = session.started_s - self._fleet_started_s
            # One more than the difference, because 0 means that it is not known.
            frame.started_after_ms = min(duration_ms(after_s) + 1, MAX_DURATION_MS)
