"""What operators and replicas ask of a fleet, at any member.

A member that does not lead passes the command on to the leader. All commands are
idempotent, so a caller that got no clear answer may ask again anywhere.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.results import success
from heronladder_control.returning_replicas import ReturningReplicas

if TYPE_CHECKING:
    from heronladder_control.member import ControlMember

_IN_FORCE_WAIT_S = 3.0
_APPLY_PATIENCE_S = 3.5
_REGISTER_PATIENCE_S = 0.9
_READ_PATIENCE_S = 1.5
_RETRY_PAUSE_S = 0.05


class Standing(Enum):
    """What became of what was asked."""

    DONE = "done"
    REFUSED = "refused"
    UNCLEAR = "unclear"  # it may have been done, or still be


@dataclass
class FleetOutcome:
    """The answer to an operator or a replica.

    Attributes:
        standing: What became of it.
        result: The result of the command, once there is one.
        configuration: The newest configuration, for a read.
    """

    standing: Standing
    result: control_pb2.CommandResult = field(default_factory=control_pb2.CommandResult)
    configuration: resources_pb2.FleetConfiguration | None = None


class FleetService:
    """Carries out what operators and replicas ask.

    Args:
        member: The control member.
    """

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._returning = ReturningReplicas(member.environment)

    # ---- what is asked ----------------------------------------------------

    async def apply(self, configuration: resources_pb2.FleetConfiguration) -> FleetOutcome:
        """Take a whole configuration; done once it is in force."""
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        request.command.apply_configuration.configuration.CopyFrom(configuration)
        return await self._ask(request, _APPLY_PATIENCE_S)

    async def read(self) -> FleetOutcome:
        """Return the newest configuration, confirmed by a quorum."""
        return await self._ask(control_pb2.CarryRequest(), _READ_PATIENCE_S)

    async def register(self, replica: resources_pb2.Replica) -> FleetOutcome:
        """Take what a replica tells of itself.

        A replica that leaves is done once the routers in touch know.
        """
        leaves = replica.draining or replica.gone
        # One that leaves is told so only once its leave is in force, however often it asks.
        if self._member.state.fleet.settled(replica) and not leaves:
            return FleetOutcome(Standing.DONE)
        request = control_pb2.CarryRequest()
        if leaves:
            request.in_force_wait_ms = int(_REGISTER_PATIENCE_S * MILLISECONDS_PER_SECOND)
        request.command.register_replica.replica.CopyFrom(replica)
        return await self._ask(request, _REGISTER_PATIENCE_S)

    def leader_api_address(self) -> str:
        """Return the address at which the leader serves operators, or ""."""
        leader = self._member.leader()
        return leader.api_address if leader is not None else ""

    # ---- at the leader, or passed on to it --------------------------------

    async def _ask(self, request: control_pb2.CarryRequest, patience_s: float) -> FleetOutcome:
        clock = self._member.environment
        deadline_s = clock.monotonic() + patience_s
        while True:
            left_s = deadline_s - clock.monotonic()
            if left_s <= 0:
                return FleetOutcome(Standing.UNCLEAR)
            reply = await self._ask_once(request, left_s)
            if reply is not None and not reply.not_leader:
                return self._outcome(reply)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _ask_once(
        self, request: control_pb2.CarryRequest, left_s: float
    ) -> control_pb2.CarryReply | None:
        if self._member.node.is_leader:
            try:
                return await asyncio.wait_for(self.carry(request), left_s)
            except TimeoutError:
                return None
        address = self._member.leader_address()
        if not address:
            return control_pb2.CarryReply(not_leader=True)
        try:
            stub = self._member.stubs.control(address)
            reply: control_pb2.CarryReply = await stub.Carry(request, timeout=left_s)
        except RPC_ERRORS:
            return None
        return reply

    @staticmethod
    def _outcome(reply: control_pb2.CarryReply) -> FleetOutcome:
        if reply.unclear:
            return FleetOutcome(Standing.UNCLEAR, reply.result)
        if reply.result.code != control_pb2.RESULT_CODE_OK:
            return FleetOutcome(Standing.REFUSED, reply.result)
        held = reply.configuration if reply.HasField("configuration") else None
        return FleetOutcome(Standing.DONE, reply.result, held)

    async def carry(self, request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
        """Carry out a command, or read, as the leader."""
        try:
            if not request.HasField("command"):
                return await self._read_as_leader()
            if self._is_late(request.command):
                return control_pb2.CarryReply(result=success())
            result = await self._member.propose(request.command)
        except NotLeaderError:
            return control_pb2.CarryReply(not_leader=True)
        except LeadershipLostError:
            return control_pb2.CarryReply(unclear=True)
        reply = control_pb2.CarryReply(result=result)
        if result.code == control_pb2.RESULT_CODE_OK and request.in_force_wait_ms:
            wait_s = request.in_force_wait_ms / MILLISECONDS_PER_SECOND
            reply.unclear = not await self._wait_in_force(result.revision, wait_s)
        return reply

    def _is_late(self, command: control_pb2.Command) -> bool:
        """Whether a heartbeat is of a replica whose address another incarnation has.

        If it is proved to run all the same, the command is marked to bring it back.
        """
        if command.WhichOneof("body") != "register_replica":
            return False
        order = command.register_replica
        if order.replica.gone or not self._member.state.fleet.is_replaced(order.replica.id):
            return False
        order.returns = self._returning.returns(order.replica)
        self._member.metrics.add("replaced_replicas_heard", "back" if order.returns else "late")
        self._member.log.info(
            "replaced_replica_heard",
            step="register_replica",
            peer=order.replica.id,
            address=order.replica.address,
            sequence=order.replica.sequence,
            returns=order.returns,
        )
        return not order.returns

    async def _read_as_leader(self) -> control_pb2.CarryReply:
        await self._member.node.read_barrier()
        reply = control_pb2.CarryReply()
        held = self._member.state.fleet.configuration()
        if held is not None:
            reply.configuration.CopyFrom(held)
        return reply

    async def _wait_in_force(self, revision: int, wait_s: float) -> bool:
        clock = self._member.environment
        deadline_s = clock.monotonic() + wait_s
        while self._member.state.in_force_revision < revision:
            left_s = deadline_s - clock.monotonic()
            if left_s <= 0 or not self._member.node.is_leader:
                return False
            await self._member.in_force_changed.wait(left_s)
        return True
