"""Which builds of daemons the leader serves, and what it tells them of the cluster version."""

from heronladder_schema.v1 import control_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member_context import MemberContext


class DaemonBuilds:
    """Compares the builds of daemons with the cluster version in force.

    Args:
        member: What the parts of the member share, which leads.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member

    def refusal(self, hello: control_pb2.Hello) -> control_pb2.ControlFrame | None:
        """Return a frame that refuses a daemon whose build is too old; None if it is not.

        It would keep to none of the rules that came with the version.
        """
        version = self._member.state.cluster_version
        if hello.highest_version >= version:
            return None
        self._member.metrics.add("sessions_of_earlier_builds_refused")
        return control_pb2.ControlFrame(
            rejected=f"cluster version {version} is in force, this build supports up to"
            f" {hello.highest_version}: start a newer build"
        )

    def version_raised(self) -> None:
        """Tell all daemons; end streams that were opened while it was on its way into the log."""
        version = self._member.state.cluster_version
        for session in list(self._member.sessions.values()):
            if session.hello.highest_version < version:
                session.close()
            session.wake.notify_waiters()

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add the cluster version to a frame, if the daemon was not told of it."""
        version = self._member.state.cluster_version
        if version != session.told_version:
            session.told_version = frame.cluster_version = version
