"""Leaving of a group by a member that is about to stop.

A member that has ended counts for the quorum until the leader notices its silence. While the group
also lists its replacement, it then tolerates fewer lost disks than configured, and losing as many
as configured ends it for good. So the member asks the leader to remove it before it ends.
"""

import asyncio
from enum import Enum

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, seconds
from heronladder_runtime.rpc_errors import RPC_ERRORS, is_unimplemented
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.errors import NotLeaderError
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import LeaveDecision, decide_leave, find_member
from heronladder_consensus.membership import MembershipManager

_MIN_REQUEST_S = 0.001  # no response can arrive in less


class LeaveOutcome(Enum):
    """Whether a member that stops is still listed."""

    REMOVED = "removed"  # a committed membership omits it
    KEPT = "kept"  # the group has no replacement for it
    UNKNOWN = "unknown"  # no leader answered in time


_OUTCOMES = {
    consensus_pb2.LEAVE_OUTCOME_REMOVED: LeaveOutcome.REMOVED,
    consensus_pb2.LEAVE_OUTCOME_KEPT: LeaveOutcome.KEPT,
}


class Leaver:
    """Asks to be removed before this member stops, and handles such requests of others.

    Args:
        node: State of this member.
        membership: Removes members.
    """

    def __init__(self, node: MemberState, membership: MembershipManager) -> None:
        self._node = node
        self._membership = membership

    async def run(self, timeout_s: float) -> LeaveOutcome:
        """Leave the group if it lists a replacement for this member.

        Args:
            timeout_s: Longest time to wait for the removal, in seconds.
        """
        node = self._node
        node.leaving = True
        started_s = node.environment.monotonic()
        outcome = await self._leave_by(started_s + timeout_s)
        node.event_log.info(
            "group_leave",
            step="leave",
            peer=node.leader,
            outcome=outcome.value,
            waited_s=node.environment.monotonic() - started_s,
            members=len(node.membership().members),
            group_size=node.timing.group_size,
        )
        return outcome

    async def _leave_by(self, due_s: float) -> LeaveOutcome:
        node = self._node
        if not node.timing.group_size:
            return LeaveOutcome.KEPT
        while node.failure is None:
            remaining_s = due_s - node.environment.monotonic()
            if remaining_s < _MIN_REQUEST_S:
                break
            outcome = await self._request(remaining_s)
            if outcome is not LeaveOutcome.UNKNOWN:
                return outcome
            if not self._lists_replacement():
                break  # no leader to ask, and nothing known that it would change
            await node.changed.wait(node.timing.heartbeat_s)
        return LeaveOutcome.UNKNOWN

    def _lists_replacement(self) -> bool:
        node = self._node
        decision = decide_leave(node.membership(), node.name, node.timing.group_size)
        return decision is not LeaveDecision.KEEP

    async def _request(self, remaining_s: float) -> LeaveOutcome:
        """Ask the leader once, which may be this member itself."""
        node = self._node
        if node.is_leader:
            return _OUTCOMES.get(await self._remove(node.name, remaining_s), LeaveOutcome.UNKNOWN)
        leader = find_member(node.membership(), node.leader)
        if leader is None:
            return LeaveOutcome.UNKNOWN
        # A leader that is lost meanwhile does not respond: another one may be asked in time.
        timeout_s = min(remaining_s, node.timing.max_call_timeout_s)
        request = consensus_pb2.LeaveRequest(
            name=node.name, wait_ms=int(timeout_s * MILLISECONDS_PER_SECOND)
        )
        try:
            stub = node.stubs.consensus(leader.address)
            reply: consensus_pb2.LeaveReply = await stub.Leave(request, timeout=timeout_s)
        except RPC_ERRORS as error:
            # A leader of a build without this call removes only silent members.
            return LeaveOutcome.KEPT if is_unimplemented(error) else LeaveOutcome.UNKNOWN
        return _OUTCOMES.get(reply.outcome, LeaveOutcome.UNKNOWN)

    async def handle(self, request: consensus_pb2.LeaveRequest) -> consensus_pb2.LeaveReply:
        """Handle the request of a member that is about to stop, if this member is the leader."""
        outcome = await self._remove(request.name, seconds(request.wait_ms))
        return consensus_pb2.LeaveReply(outcome=outcome)

    async def _remove(self, name: str, timeout_s: float) -> consensus_pb2.LeaveOutcome.ValueType:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._membership.leave(name)
        except (NotLeaderError, TimeoutError):
            return consensus_pb2.LEAVE_OUTCOME_UNSPECIFIED
