"""Passes registrations of replicas on to the leader, many with one call.

A crowd of new replicas meets members that do not lead for the most part. With a call for each,
1,000 that came at once cost a member and the leader a second of processor time each, their
answers came too late, and all came again.
"""

from __future__ import annotations

import asyncio
from collections import deque

from heronladder_runtime.clock import wait_excluding_loop_lag
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.registration_batches import MOST_AT_ONCE, MOST_WAITING

_GATHER_S = 0.02  # while another call is under way
_CALLS = 4  # under way at once: a leader answers a call in up to 0.3 s before 300 routers
_CALL_S = 0.9  # what a replica waits at most
_Waiting = tuple[control_pb2.RegisterReplica, "asyncio.Future[control_pb2.CarryReply | None]"]


class RegistrationRelay:
    """Registrations at a member that does not lead.

    Args:
        member: What the parts of the member share.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._waiting: deque[_Waiting] = deque()
        self._calls = 0
        self._running = False
        self._is_failing = False

    async def ask(
        self, order: control_pb2.RegisterReplica, left_s: float
    ) -> control_pb2.CarryReply | None:
        """Have the leader register a replica.

        Returns:
            Its answer; None if there was none in time, or too many wait.
        """
        if len(self._waiting) >= MOST_WAITING:
            self._member.metrics.add("registrations_refused")
            return None
        answer: asyncio.Future[control_pb2.CarryReply | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((order, answer))
        if not self._running:
            self._running = True
            self._member.tasks.start("registration_relay", self._run())
        try:
            return await wait_excluding_loop_lag(self._member.environment, left_s, answer)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        try:
            while self._waiting:
                if self._calls:
                    await asyncio.sleep(_GATHER_S)
                if self._calls < _CALLS:
                    taken = [
                        self._waiting.popleft()
                        for _ in range(min(MOST_AT_ONCE, len(self._waiting)))
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
            # They are tried again for as long as those who ask wait.
            self._report_failure(len(taken), error)
        finally:
            self._calls -= 1
            for (_, answer), reply in zip(taken, replies, strict=True):
                if not answer.done():
                    answer.set_result(reply)

    def _report_failure(self, count: int, error: BaseException) -> None:
        """Count a call without an answer; a line for the first one since the last answer."""
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
        reply = await self._member.stubs.control(address).Carry(request, timeout=_CALL_S)
        is_refused = reply.result.code != control_pb2.RESULT_CODE_OK
        if reply.not_leader or reply.unclear or is_refused:
            return [reply for _ in taken]
        if len(reply.result.each) != len(taken):
            return [None for _ in taken]  # it says nothing of any one of them
        return [self._own(result) for result in reply.result.each]

    @staticmethod
    def _own(result: control_pb2.CommandResult) -> control_pb2.CarryReply:
        """Return the answer to one of those passed on."""
        return control_pb2.CarryReply(
            result=result,
            not_leader=result.code == control_pb2.RESULT_CODE_NOT_LEADER,
            unclear=result.code == control_pb2.RESULT_CODE_UNCLEAR,
        )
