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
from heronladder_consensus.joining import Joiner
from heronladder_consensus.member_state import MemberState
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
        joiner: Knows the addresses of other members.
    """

    def __init__(self, node: MemberState, membership: MembershipManager, joiner: Joiner) -> None:
        self._node = node
        self._membership = membership
        self._joiner = joiner

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
            try:
                async with asyncio.timeout(remaining_s):
                    outcome = await self._request(remaining_s)
            except TimeoutError:
                break
            if outcome is not LeaveOutcome.UNKNOWN:
                return outcome
            await node.changed.wait(node.timing.heartbeat_s)
        return LeaveOutcome.UNKNOWN

    async def _request(self, remaining_s: float) -> LeaveOutcome:
        """Ask the leader once, which may be this member itself."""
        node = self._node
        if node.is_leader:
            return _OUTCOMES.get(await self._remove(node.name, remaining_s), LeaveOutcome.UNKNOWN)
        # A leader that is lost meanwhile does not respond: another one may be asked in time.
        timeout_s = min(remaining_s, node.timing.max_call_timeout_s)
        address = node.leader_address()
        if address:
            return (await self._send(address, timeout_s))[0]
        return await self._request_from_any(timeout_s)

    async def _request_from_any(self, timeout_s: float) -> LeaveOutcome:
        """Ask the other members who leads: this process may have just started."""
        call_timeout_s = min(timeout_s, self._node.timing.call_timeout_s)
        for address in self._joiner.other_addresses():
            outcome, leader_address = await self._send(address, call_timeout_s)
            if leader_address:
                outcome, _ = await self._send(leader_address, timeout_s)
            if outcome is not LeaveOutcome.UNKNOWN:
                return outcome
        return LeaveOutcome.UNKNOWN

    async def _send(self, address: str, timeout_s: float) -> tuple[LeaveOutcome, str]:
        """Return the outcome of a request, and the leader's address if another member leads."""
        request = consensus_pb2.LeaveRequest(
            name=self._node.name, wait_ms=int(timeout_s * MILLISECONDS_PER_SECOND)
        )
        try:
            stub = self._node.stubs.consensus(address)
            reply: consensus_pb2.LeaveReply = await stub.Leave(request, timeout=timeout_s)
        except RPC_ERRORS as error:
            # A leader of a build without this call removes only silent members.
            return (LeaveOutcome.KEPT if is_unimplemented(error) else LeaveOutcome.UNKNOWN), ""
        return _OUTCOMES.get(reply.outcome, LeaveOutcome.UNKNOWN), reply.leader_address

    async def handle(self, request: consensus_pb2.LeaveRequest) -> consensus_pb2.LeaveReply:
        """Handle the request of a member that is about to stop, if this member is the leader."""
        if not self._node.is_leader:
            return consensus_pb2.LeaveReply(leader_address=self._node.leader_address())
        outcome = await self._remove(request.name, seconds(request.wait_ms))
        return consensus_pb2.LeaveReply(outcome=outcome)

    async def _remove(self, name: str, timeout_s: float) -> consensus_pb2.LeaveOutcome.ValueType:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._membership.leave(name)
        except (NotLeaderError, TimeoutError):
            return consensus_pb2.LEAVE_OUTCOME_UNSPECIFIED
