"""Asking the leader: carried out here where this member leads, else passed on to it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, SilenceWatch, within
from heronladder_runtime.cluster_versions import at_version, is_allowed
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.order_times import OrderTimes
from heronladder_control.registration_relay import RegistrationRelay
from heronladder_control.results import failure

_VERSION_CHECK_INTERVAL_S = 0.1  # between two looks whether the cluster version allows an order
Carry = Callable[[control_pb2.CarryRequest], Awaitable[control_pb2.CarryReply]]


class RequestStatus(Enum):
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

    request_status: RequestStatus
    result: control_pb2.CommandResult = field(default_factory=control_pb2.CommandResult)
    configuration: resources_pb2.FleetConfiguration | None = None
    rollout: resources_pb2.Rollout | None = None


class LeaderRequests:
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
        reply = await self._send_until_clear(request, patience_s, order)
        outcome = self._outcome(reply) if reply is not None else FleetOutcome(RequestStatus.UNCLEAR)
        if order is not None:
            order.report(
                self._member.log, self._member.metrics, outcome.request_status.value, reply
            )
        return outcome

    async def _send_until_clear(
        self, request: control_pb2.CarryRequest, patience_s: float, order: OrderTimes | None
    ) -> control_pb2.CarryReply | None:
        asked = SilenceWatch(self._member.environment)
        while True:
            waited = asked.silence()
            left_s = waited.left_s(patience_s)
            if left_s <= 0:
                return None
            request.age_ms = int(waited.silent_s * MILLISECONDS_PER_SECOND)
            if order is not None:
                order.sent()
            reply = await self._send_once(request, left_s)
            if reply is not None and not (reply.not_leader or self._is_too_early(reply)):
                return reply
            left_s = asked.silence().left_s(patience_s)
            if reply is not None and self._is_too_early(reply):
                if left_s <= _VERSION_CHECK_INTERVAL_S:
                    return reply
                await asyncio.sleep(_VERSION_CHECK_INTERVAL_S)
                continue
            is_replica = request.command.HasField("register_replica")
            if not await self._member.admission.ask(max(0.0, left_s), first=not is_replica):
                return None

    async def _send_once(
        self, request: control_pb2.CarryRequest, left_s: float
    ) -> control_pb2.CarryReply | None:
        if self._member.node.is_leader:
            try:
                return await within(self._member.environment, left_s, self._carry(request))
            except TimeoutError:
                return None
        address = self._member.leader_address()
        if not address:
            return control_pb2.CarryReply(not_leader=True)
        if request.HasField("command"):
            version = self._member.state.cluster_version
            if not is_allowed(request.command, version):
                return self._version_too_low_reply(request.command)
            if self._may_be_batched(request, version):
                return await self._relay.ask(request.command.register_replica, left_s)
            request = self._reduced_to_version(request, version)
        try:
            stub = self._member.stubs.control(address)
            reply: control_pb2.CarryReply = await stub.Carry(request, timeout=left_s)
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
    def _reduced_to_version(
        request: control_pb2.CarryRequest, version: int
    ) -> control_pb2.CarryRequest:
        """Return a request that an earlier build at the other end writes into the log as it is."""
        reduced = control_pb2.CarryRequest()
        reduced.CopyFrom(request)
        reduced.command.CopyFrom(at_version(request.command, version))
        return reduced

    @staticmethod
    def _version_too_low_reply(command: control_pb2.Command) -> control_pb2.CarryReply:
        kind = command.WhichOneof("body") or ""
        message = f"{kind} needs a later cluster version than the one in force; nothing was done"
        return control_pb2.CarryReply(
            result=failure(control_pb2.RESULT_CODE_VERSION_TOO_LOW, message)
        )

    @staticmethod
    def _outcome(reply: control_pb2.CarryReply) -> FleetOutcome:
        if reply.unclear:
            return FleetOutcome(RequestStatus.UNCLEAR, reply.result)
        if reply.result.code != control_pb2.RESULT_CODE_OK:
            return FleetOutcome(RequestStatus.REFUSED, reply.result)
        held = reply.configuration if reply.HasField("configuration") else None
        rollout = reply.rollout if reply.HasField("rollout") else None
        return FleetOutcome(RequestStatus.DONE, reply.result, held, rollout)
