"""Check of daemons' builds against the cluster version, and its distribution to daemons."""

from heronladder_schema.v1 import control_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member_context import MemberContext


class DaemonBuilds:
    """Compares the builds of daemons with the cluster version in force.

    Args:
        member: Context of this control member, which is the leader.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member

    def refusal(self, hello: control_pb2.Hello) -> control_pb2.ControlFrame | None:
        """Return a frame that refuses a daemon whose build is too old, or None.

        Such a build does not follow the rules that the cluster version introduced.
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
        """Update all daemons, and close streams of earlier builds.

        These may have been opened while the version was being committed.
        """
        version = self._member.state.cluster_version
        for session in list(self._member.sessions.values()):
            if session.hello.highest_version < version:
                session.close()
            session.wake.notify_waiters()

    def fill(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add the cluster version to a frame if it was not sent to the daemon yet."""
        version = self._member.state.cluster_version
        if version != session.sent_cluster_version:
            session.sent_cluster_version = frame.cluster_version = version
