"""Sends requests to the leader: executed here if this member leads, otherwise forwarded."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from heronladder_runtime.clock import SilenceWatch, duration_ms, wait_excluding_loop_lag
from heronladder_runtime.cluster_versions import is_allowed, reduce_to_version
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.order_timing import OrderTiming
from heronladder_control.registration_relay import RegistrationRelay
from heronladder_control.results import failure

_VERSION_CHECK_INTERVAL_S = 0.1  # between checks whether the cluster version allows an order
Carry = Callable[[control_pb2.CarryRequest], Awaitable[control_pb2.CarryReply]]


class RequestStatus(Enum):
    """Outcome of a request."""

    DONE = "done"
    REFUSED = "refused"
    UNCLEAR = "unclear"  # it may have been executed, or may be later


@dataclass
class FleetOutcome:
    """The response to an operator or a replica.

    Attributes:
        request_status: Outcome of the request.
        result: Result of the command, if there is one.
        configuration: The newest configuration, if the request reads it.
        rollout: A service's newest rollout, if the request reads it.
    """

    request_status: RequestStatus
    result: control_pb2.CommandResult = field(default_factory=control_pb2.CommandResult)
    configuration: resources_pb2.FleetConfiguration | None = None
    rollout: resources_pb2.Rollout | None = None


class LeaderRequests:
    """Sends requests to the leader until it gives a clear answer or the caller's time is over.

    Args:
        member: What the components of the member share.
        carry: Executes a request as the leader.
    """

    def __init__(self, member: MemberContext, carry: Carry) -> None:
        self._member = member
        self._carry = carry
        self._relay = RegistrationRelay(member)

    async def ask(
        self,
        request: control_pb2.CarryRequest,
        timeout_s: float,
        order: OrderTiming | None = None,
    ) -> FleetOutcome:
        """Send a request to the leader, and report the waiting times of an order.

        Args:
            request: The request; its age is updated before each attempt.
            timeout_s: Longest time for all attempts together, in seconds.
            order: Records the waiting times of the order; None if they are not reported.

        Returns:
            The outcome, which is unclear if there was no clear answer in time.
        """
        reply = await self._send_until_clear(request, timeout_s, order)
        outcome = self._outcome(reply) if reply is not None else FleetOutcome(RequestStatus.UNCLEAR)
        if order is not None:
            order.report(
                self._member.log, self._member.metrics, outcome.request_status.value, reply
            )
        return outcome

    async def _send_until_clear(
        self, request: control_pb2.CarryRequest, timeout_s: float, order: OrderTiming | None
    ) -> control_pb2.CarryReply | None:
        stopwatch = SilenceWatch(self._member.environment)
        while True:
            elapsed = stopwatch.silence()
            remaining_s = elapsed.remaining_s(timeout_s)
            if remaining_s <= 0:
                return None
            request.age_ms = duration_ms(elapsed.silent_s)
            if order is not None:
                order.record_send()
            reply = await self._send_once(request, remaining_s)
            if reply is not None and not (reply.not_leader or self._is_too_early(reply)):
                return reply
            remaining_s = stopwatch.silence().remaining_s(timeout_s)
            if reply is not None and self._is_too_early(reply):
                if remaining_s <= _VERSION_CHECK_INTERVAL_S:
                    return reply
                await asyncio.sleep(_VERSION_CHECK_INTERVAL_S)
                continue
            is_replica = request.command.HasField("register_replica")
            if not await self._member.admission.ask(max(0.0, remaining_s), first=not is_replica):
                return None

    async def _send_once(
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
                return self._version_too_low_reply(request.command)
            if self._may_be_batched(request, version):
                return await self._relay.ask(request.command.register_replica, remaining_s)
            request = self._reduced_to_version(request, version)
        try:
            stub = self._member.stubs.control(address)
            reply: control_pb2.CarryReply = await stub.Carry(request, timeout=remaining_s)
        except RPC_ERRORS:
            return None
        return reply

    @staticmethod
    def _is_too_early(reply: control_pb2.CarryReply) -> bool:
        """Return whether the cluster version does not allow the order yet.

        The version is raised soon after a start.
        """
        return reply.result.code == control_pb2.RESULT_CODE_VERSION_TOO_LOW

    @staticmethod
    def _may_be_batched(request: control_pb2.CarryRequest, version: int) -> bool:
        """Return whether a registration may be forwarded in a batch that the leader supports."""
        batch = control_pb2.Command(register_replicas=control_pb2.RegisterReplicas())
        is_replica = request.command.HasField("register_replica")
        return is_replica and not request.in_force_wait_ms and is_allowed(batch, version)

    @staticmethod
    def _reduced_to_version(
        request: control_pb2.CarryRequest, version: int
    ) -> control_pb2.CarryRequest:
        """Return a request reduced to a cluster version.

        A leader of an earlier build writes the command into the log as it receives it.
        """
        reduced = control_pb2.CarryRequest()
        reduced.CopyFrom(request)
        reduced.command.CopyFrom(reduce_to_version(request.command, version))
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
        configuration = reply.configuration if reply.HasField("configuration") else None
        rollout = reply.rollout if reply.HasField("rollout") else None
        return FleetOutcome(RequestStatus.DONE, reply.result, configuration, rollout)
