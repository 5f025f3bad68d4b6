"""Numbers of routers that routers are told, by which they divide bounds of the whole fleet."""

from heronladder_schema.v1 import control_pb2

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

    def update(self) -> None:
        """Count again, after a stream was opened or closed or a daemon's record changed."""
        connected = {
            name
            for name, session in self._member.sessions.items()
            if session.record.role == ROLE_ROUTER
        }
        registered = {
            record.name
            for record in self._member.state.daemons.daemons.values()
            if record.role == ROLE_ROUTER and not record.gone
        }
        self.connected = len(connected)
        self.serving = len(connected | registered)

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
