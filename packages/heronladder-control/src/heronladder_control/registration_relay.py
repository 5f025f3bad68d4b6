"""Forwards registrations of replicas to the leader, many with one call.

When many new replicas start, most of them reach members that are not the leader. With a call for
each, 1,000 simultaneous registrations take a second of processor time at the member and another
one at the leader; the responses come too late, and all replicas retry.
"""

from __future__ import annotations

import asyncio
from collections import deque

from heronladder_runtime.clock import wait_excluding_loop_lag
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.registration_batches import (
    MAX_BATCH_REGISTRATIONS,
    MAX_WAITING_REGISTRATIONS,
)

_GATHER_INTERVAL_S = 0.02  # wait for further registrations while a call is in flight
_MAX_CALLS_IN_FLIGHT = 4  # a leader with 300 routers takes up to 0.3 s for a call
_CALL_TIMEOUT_S = 0.9  # the longest that a replica waits
_Waiting = tuple[control_pb2.RegisterReplica, "asyncio.Future[control_pb2.CarryReply | None]"]


class RegistrationRelay:
    """Forwards the registrations at a member that is not the leader.

    Args:
        member: What the components of the member share.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._waiting: deque[_Waiting] = deque()
        self._calls = 0
        self._running = False
        self._is_failing = False

    async def ask(
        self, order: control_pb2.RegisterReplica, remaining_s: float
    ) -> control_pb2.CarryReply | None:
        """Have the leader register a replica.

        Args:
            order: The registration.
            remaining_s: Longest time to wait for the reply, in seconds.

        Returns:
            The leader's reply, or None if there was none in time or too many registrations wait.
        """
        if len(self._waiting) >= MAX_WAITING_REGISTRATIONS:
            self._member.metrics.add("registrations_refused")
            return None
        future: asyncio.Future[control_pb2.CarryReply | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((order, future))
        if not self._running:
            self._running = True
            self._member.tasks.start("registration_relay", self._run())
        try:
            return await wait_excluding_loop_lag(self._member.environment, remaining_s, future)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        try:
            while self._waiting:
                if self._calls:
                    await asyncio.sleep(_GATHER_INTERVAL_S)
                if self._calls < _MAX_CALLS_IN_FLIGHT:
                    taken = [
                        self._waiting.popleft()
                        for _ in range(min(MAX_BATCH_REGISTRATIONS, len(self._waiting)))
                    ]
                    taken = [entry for entry in taken if not entry[1].done()]
                    if taken:
                        self._calls += 1
                        self._member.tasks.start("registration_call", self._call(taken))
        finally:
            self._running = False

    async def _call(self, taken: list[_Waiting]) -> None:
        replies: list[control_pb2.CarryReply | None] = [None] * len(taken)
        try:
            replies = await self._replies(taken)
            self._is_failing = False
        except RPC_ERRORS as error:
            # LeaderRequests retries the registrations for as long as their callers wait.
            self._report_failure(len(taken), error)
        finally:
            self._calls -= 1
            for (_, future), reply in zip(taken, replies, strict=True):
                if not future.done():
                    future.set_result(reply)

    def _report_failure(self, count: int, error: BaseException) -> None:
        """Count a failed call; log only the first one after a call that succeeded."""
        self._member.metrics.add("registration_calls_failed")
        if self._is_failing:
            return
        self._is_failing = True
        self._member.log.warning(
            "registrations_not_passed_on",
            step="register_replica",
            peer=self._member.leader_address(),
            count=count,
            waiting=len(self._waiting),
            error=repr(error),
        )

    async def _replies(self, taken: list[_Waiting]) -> list[control_pb2.CarryReply | None]:
        address = self._member.leader_address()
        if not address:
            return [control_pb2.CarryReply(not_leader=True) for _ in taken]
        request = control_pb2.CarryRequest()
        request.command.register_replicas.orders.extend(order for order, _ in taken)
        reply = await self._member.stubs.control(address).Carry(request, timeout=_CALL_TIMEOUT_S)
        is_refused = reply.result.code != control_pb2.RESULT_CODE_OK
        if reply.not_leader or reply.unclear or is_refused:
            return [reply for _ in taken]
        if len(reply.result.each) != len(taken):
            return [None for _ in taken]  # the results cannot be assigned to the orders
        return [self._reply_of(result) for result in reply.result.each]

    @staticmethod
    def _reply_of(result: control_pb2.CommandResult) -> control_pb2.CarryReply:
        """Return the reply to one of the forwarded registrations."""
        return control_pb2.CarryReply(
            result=result,
            not_leader=result.code == control_pb2.RESULT_CODE_NOT_LEADER,
            unclear=result.code == control_pb2.RESULT_CODE_UNCLEAR,
        )
