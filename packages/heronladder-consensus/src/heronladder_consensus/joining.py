"""Joining of a running group by a process that the membership does not list.

The process sends join requests to the addresses it knows. The leader adds it as a learner, which
becomes a voter once it has caught up. A member that was removed while it was partitioned hears
from no leader, so it sends join requests too and rejoins as a learner.
"""

import asyncio

from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.bootstrap import Bootstrap
from heronladder_consensus.errors import MembershipChangeError, NotLeaderError
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import find_member
from heronladder_consensus.membership import MembershipManager

_JOIN_CHECK_INTERVAL_S = 0.3
_LEADER_SILENCE_S = 2.0  # silence of the leader before a join request, also for listed members


class Joiner:
    """Sends join requests while no leader is heard from, and handles those of other processes.

    Args:
        node: State of this member.
        bootstrap: Knows whether the group is still forming.
        membership: Adds new members.
        own_member: This member's own entry; None for a member that only an operator adds.
        contacts: gRPC addresses that join requests go to, besides those of the membership.
    """

    def __init__(
        self,
        node: MemberState,
        bootstrap: Bootstrap,
        membership: MembershipManager,
        own_member: consensus_pb2.Member | None,
        contacts: list[str],
    ) -> None:
        self._node = node
        self._bootstrap = bootstrap
        self._membership = membership
        self._own_member = own_member
        self.contacts = contacts

    @property
    def may_request(self) -> bool:
        """Whether this member may request to join; otherwise only an operator adds it."""
        return self._own_member is not None

    async def run(self) -> None:
        """Send join requests whenever no leader was heard from for ``_LEADER_SILENCE_S``."""
        if self._own_member is None:
            return
        while self._node.failure is None:
            await asyncio.sleep(self._node.environment.jitter(_JOIN_CHECK_INTERVAL_S))
            if self._should_request_join():
                await self._request_join_from_all(self._own_member)

    def _should_request_join(self) -> bool:
        node = self._node
        if node.is_leader or node.leaving or self._bootstrap.forming:
            return False
        return node.environment.monotonic() - node.election_timer_reset_s > _LEADER_SILENCE_S

    def other_addresses(self) -> list[str]:
        """Return the gRPC addresses of the contacts and the listed members, without its own."""
        listed = {member.address: member.name for member in self._node.membership().members}
        own = {address for address, name in listed.items() if name == self._node.name}
        if self._own_member is not None:
            own.add(self._own_member.address)
        return [
            address for address in dict.fromkeys([*self.contacts, *listed]) if address not in own
        ]

    async def _request_join_from_all(self, own_member: consensus_pb2.Member) -> None:
        leader_address = ""
        for address in self.other_addresses():
            if self._node.failure is not None or self._node.leaving:
                return
            reply = await self._send_join(address, own_member)
            if reply is None:
                continue
            if reply.accepted:
                return
            leader_address = leader_address or reply.leader_address
        if leader_address:
            await self._send_join(leader_address, own_member)

    async def _send_join(
        self, address: str, own_member: consensus_pb2.Member
    ) -> consensus_pb2.JoinReply | None:
        try:
            stub = self._node.stubs.consensus(address)
            reply: consensus_pb2.JoinReply = await stub.Join(
                consensus_pb2.JoinRequest(
                    member=own_member, highest_version=self._node.highest_version
                ),
                timeout=self._node.timing.call_timeout_s,
            )
        except RPC_ERRORS:
            return None
        return reply

    async def handle(self, request: consensus_pb2.JoinRequest) -> consensus_pb2.JoinReply:
        """Handle a join request: add the process as a learner, if this member is the leader."""
        node = self._node
        listed = find_member(node.membership(), request.member.name)
        if node.is_leader and listed is not None:
            return consensus_pb2.JoinReply(accepted=True)
        if node.is_leader and request.highest_version < node.cluster_version:
            node.event_log.warning(
                "join_refused",
                step="join",
                peer=request.member.name,
                highest_version=request.highest_version,
                cluster_version=node.cluster_version,
            )
            return consensus_pb2.JoinReply()
        try:
            await self._membership.add(request.member)
        except (MembershipChangeError, NotLeaderError):
            return consensus_pb2.JoinReply(leader_address=node.leader_address())
        return consensus_pb2.JoinReply(accepted=True)
