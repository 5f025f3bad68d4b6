"""What the parts of a control member share: its settings, state, log and streams.

Parts take this, and the member builds them on it: no part imports the member.
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

from heronladder_control.admission import Admission
from heronladder_control.command_packing import encode_command
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.in_force import InForceTracker
from heronladder_control.leader_decisions import LeaderDecisions
from heronladder_control.options import ControlOptions
from heronladder_control.prepaid_watch import PrepaidWatch
from heronladder_control.results import failure
from heronladder_control.state import ControlState


class MemberContext:
    """The shared parts of one control member.

    Args:
        options: Its settings.
        node: Its replicated log, which applies to ``state``.
        state: The replicated state.
        stubs: Makes stubs to other members.
        environment: Time and randomness.

    Attributes:
        progress: Given when a daemon applied a configuration, or one was committed.
        in_force_changed: Given when a later revision is in force.
        in_force_since_s: When this member learned of the revision in force.
        sessions: Streams of daemons, by name.
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
        self.prepaid_watch = PrepaidWatch(environment)
        self.in_force = InForceTracker(environment, options.freshness_s)
        self.progress = ChangeSignal()
        self.in_force_changed = ChangeSignal()
        self.in_force_since_s = 0.0
        self.sessions: dict[str, DaemonSession] = {}
        self.admission = Admission(
            environment, self.tasks, self.metrics, lambda: bool(self.node.leader)
        )
        self._decisions = LeaderDecisions(state)
        self.metrics.gauge("cluster_version", lambda: state.cluster_version)
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

        What the cluster version in force does not allow is refused, and nothing of it is done.

        Raises:
            NotLeaderError: If this member does not lead.
            LeadershipLostError: If the command's fate is unknown.
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
        with self._decisions.made(order):
            result = await self.node.propose(encode_command(reduce_to_version(order, version)))
        self.metrics.observe("command", self.environment.monotonic() - started_s, body)
        return result

    async def declare_gone(self, record: ledger_pb2.DaemonRecord) -> None:
        """Take the right to act from a daemon's incarnation; collect a router's leases."""
        command = control_pb2.Command()
        command.declare_gone.name = record.name
        command.declare_gone.incarnation = record.incarnation
        await self.propose(command)
