"""Asking the leader: carried out here where this member leads, else passed on to it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, SilenceWatch, wait_excluding_loop_lag
from heronladder_runtime.cluster_versions import is_allowed, reduce_to_version
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.order_times import OrderTimes
from heronladder_control.registration_relay import RegistrationRelay
from heronladder_control.results import failure

_VERSION_LOOK_S = 0.1  # between two looks whether the cluster version allows an order
Carry = Callable[[control_pb2.CarryRequest], Awaitable[control_pb2.CarryReply]]


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
        rollout: A service's newest roll-out, for a read of it.
    """

    standing: Standing
    result: control_pb2.CommandResult = field(default_factory=control_pb2.CommandResult)
    configuration: resources_pb2.FleetConfiguration | None = None
    rollout: resources_pb2.Rollout | None = None


class LeaderAsks:
    """Asks the leader until there is a clear answer, or for as long as the caller waits.

    Args:
        member: What the parts of the member share.
        carry: Carries out a request as the leader.
    """

    def __init__(self, member: MemberContext, carry: Carry) -> None:
        self._member = member
        self._carry = carry
        self._relay = RegistrationRelay(member)

    async def ask(
        self,
        request: control_pb2.CarryRequest,
        patience_s: float,
        order: OrderTimes | None = None,
    ) -> FleetOutcome:
        """Ask, and report how long an order waited.

        Args:
            request: What is asked.
            patience_s: Longest time in all, in seconds.
            order: Whose waits are told; None: nobody's.
        """
        reply = await self._ask_until_clear(request, patience_s, order)
        outcome = self._outcome(reply) if reply is not None else FleetOutcome(Standing.UNCLEAR)
        if order is not None:
            order.report(self._member.log, self._member.metrics, outcome.standing.value, reply)
        return outcome

    async def _ask_until_clear(
        self, request: control_pb2.CarryRequest, patience_s: float, order: OrderTimes | None
    ) -> control_pb2.CarryReply | None:
        asked = SilenceWatch(self._member.environment)
        while True:
            waited = asked.silence()
            remaining_s = waited.remaining_s(patience_s)
            if remaining_s <= 0:
                return None
            request.age_ms = int(waited.silent_s * MILLISECONDS_PER_SECOND)
            if order is not None:
                order.sent()
            reply = await self._ask_once(request, remaining_s)
            if reply is not None and not (reply.not_leader or self._is_too_early(reply)):
                return reply
            remaining_s = asked.silence().remaining_s(patience_s)
            if reply is not None and self._is_too_early(reply):
                if remaining_s <= _VERSION_LOOK_S:
                    return reply
                await asyncio.sleep(_VERSION_LOOK_S)
                continue
            is_replica = request.command.HasField("register_replica")
            if not await self._member.admission.ask(max(0.0, remaining_s), first=not is_replica):
                return None

    async def _ask_once(
        self, request: control_pb2.CarryRequest, remaining_s: float
    ) -> control_pb2.CarryReply | None:
        if self._member.node.is_leader:
            try:
                return await wait_excluding_loop_lag(
                    self._member.environment, remaining_s, self._carry(request)
                )
            except TimeoutError:
                return None
        address = self._member.leader_address()
        if not address:
            return control_pb2.CarryReply(not_leader=True)
        if request.HasField("command"):
            version = self._member.state.cluster_version
            if not is_allowed(request.command, version):
                return self._not_in_force(request.command)
            if self._may_be_batched(request, version):
                return await self._relay.ask(request.command.register_replica, remaining_s)
            request = self._at_version(request, version)
        try:
            stub = self._member.stubs.control(address)
            reply: control_pb2.CarryReply = await stub.Carry(request, timeout=remaining_s)
        except RPC_ERRORS:
            return None
        return reply

    @staticmethod
    def _is_too_early(reply: control_pb2.CarryReply) -> bool:
        """Whether the cluster version does not allow it yet: it is raised soon after a start."""
        return reply.result.code == control_pb2.RESULT_CODE_VERSION_TOO_LOW

    @staticmethod
    def _may_be_batched(request: control_pb2.CarryRequest, version: int) -> bool:
        """Whether the leader surely knows registrations that are passed on together."""
        batch = control_pb2.Command(register_replicas=control_pb2.RegisterReplicas())
        is_replica = request.command.HasField("register_replica")
        return is_replica and not request.in_force_wait_ms and is_allowed(batch, version)

    @staticmethod
    def _at_version(request: control_pb2.CarryRequest, version: int) -> control_pb2.CarryRequest:
        """Return a request that an earlier build at the other end writes into the log as it is."""
        reduced = control_pb2.CarryRequest()
        reduced.CopyFrom(request)
        reduced.command.CopyFrom(reduce_to_version(request.command, version))
        return reduced

    @staticmethod
    def _not_in_force(command: control_pb2.Command) -> control_pb2.CarryReply:
        kind = command.WhichOneof("body") or ""
        message = f"{kind} needs a later cluster version than the one in force; nothing was done"
        return control_pb2.CarryReply(
            result=failure(control_pb2.RESULT_CODE_VERSION_TOO_LOW, message)
        )

    @staticmethod
    def _outcome(reply: control_pb2.CarryReply) -> FleetOutcome:
        if reply.unclear:
            return FleetOutcome(Standing.UNCLEAR, reply.result)
        if reply.result.code != control_pb2.RESULT_CODE_OK:
            return FleetOutcome(Standing.REFUSED, reply.result)
        held = reply.configuration if reply.HasField("configuration") else None
        rollout = reply.rollout if reply.HasField("rollout") else None
        return FleetOutcome(Standing.DONE, reply.result, held, rollout)
