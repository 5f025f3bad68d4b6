"""What the components of a control member share: settings, state, log and daemon streams.

Components depend on this class and not on the member that composes them, which avoids import
cycles.
"""

from heronladder_consensus.members import find_member
from heronladder_consensus.node import ConsensusNode
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.cluster_versions import (
    ClusterVersionError,
    reduce_to_version,
    require_allowed,
)
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import consensus_pb2, control_pb2, ledger_pb2

from heronladder_control.admission import AdmissionControl
from heronladder_control.command_packing import encode_command
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.in_force import InForceTracker
from heronladder_control.leader_decisions import LeaderDecisions
from heronladder_control.options import ControlOptions
from heronladder_control.prepaid_watch import PrepaidWatch
from heronladder_control.results import failure
from heronladder_control.state import ControlState


class MemberContext:
    """The objects that the components of one control member share.

    Args:
        options: Settings of the member.
        node: Consensus node, whose log is applied to ``state``.
        state: The replicated state.
        stubs: Creates gRPC stubs to other members.
        environment: Source of time and randomness.

    Attributes:
        progress: Pulse that is given when a daemon has applied a configuration, or when a
            configuration was committed.
        in_force_changed: Pulse that is given when a later revision is in force.
        in_force_since_s: Monotonic time when this member learned of the revision in force, in
            seconds.
        sessions: Open streams of daemons, by name of the daemon.
    """

    def __init__(
        self,
        options: ControlOptions,
        node: ConsensusNode[control_pb2.CommandResult],
        state: ControlState,
        stubs: StubFactory,
        environment: Environment,
    ) -> None:
        self.options = options
        self.node = node
        self.state = state
        self.stubs = stubs
        self.environment = environment
        self.metrics = Metrics()
        self.log = EventLog("control", options.name)
        self.tasks = TaskGroupOwner(self.log)
        self.prepaid_watch = PrepaidWatch(environment, state.daemons.later_incarnations)
        self.in_force = InForceTracker(environment, options.freshness_s)
        self.progress = ChangeSignal()
        self.in_force_changed = ChangeSignal()
        self.in_force_since_s = 0.0
        self.sessions: dict[str, DaemonSession] = {}
        self.admission = AdmissionControl(
            environment, self.tasks, self.metrics, lambda: bool(self.node.leader)
        )
        self._decisions = LeaderDecisions(state)
        self.metrics.gauge("cluster_version", lambda: state.cluster_version)
        self.metrics.gauge("listed_as_voter", lambda: int(node.is_listed_voter()))
        self.metrics.gauge("may_vote", lambda: int(node.may_vote()))
        self.metrics.gauge("asks_waiting", lambda: self.admission.waiting)

    @property
    def freshness_s(self) -> float:
        """Length of a daemon's freshness lease, in seconds."""
        return self.options.freshness_s

    def leader_address(self) -> str:
        """Return the gRPC address of the leader, or "" while none is known."""
        member = self.leader()
        return member.address if member is not None else ""

    def leader(self) -> consensus_pb2.Member | None:
        """Return the leader's entry in the membership, if one is known."""
        return find_member(self.node.membership(), self.node.leader)

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Replicate a command and return its result.

        A command that the cluster version in force does not allow is refused without any effect.

        Args:
            command: The command to replicate.

        Returns:
            The result of applying the command.

        Raises:
            NotLeaderError: If this member is not the leader.
            LeadershipLostError: If it is not known whether the command was committed.
        """
        body = command.WhichOneof("body") or ""
        version = self.state.cluster_version
        try:
            require_allowed(command, version)
        except ClusterVersionError as error:
            self.metrics.add("commands_not_in_force", body)
            return failure(control_pb2.RESULT_CODE_VERSION_TOO_LOW, error.message)
        started_s = self.environment.monotonic()
        order = control_pb2.Command()
        order.CopyFrom(command)
        order.DiscardUnknownFields()
        with self._decisions.deciding(order):
            result = await self.node.propose(encode_command(reduce_to_version(order, version)))
        self.metrics.observe("command", self.environment.monotonic() - started_s, body)
        return result

    async def declare_gone(self, record: ledger_pb2.DaemonRecord) -> None:
        """Declare a daemon's incarnation gone; leases of a router are then collected."""
        command = control_pb2.Command()
        command.declare_gone.name = record.name
        command.declare_gone.incarnation = record.incarnation
        await self.propose(command)
