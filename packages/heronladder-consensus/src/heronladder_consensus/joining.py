"""How a machine that is no member gets into a running group.

A member that the group does not list asks any machine it knows to be taken in.
The leader adds it as a learner; it votes once it has caught up. A member that
was removed while it was cut off finds out in the same way and comes back as a
learner.
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
_LEADER_SILENCE_S = 2.0  # without a leader's word, before a listed member asks again


class Joiner:
    """Asks to be taken into the group for as long as the group does not list this member.

    Args:
        node: The member.
        bootstrap: Tells whether the group is still forming.
        membership: Takes machines in.
        me: This member's own entry; None for a member that is only ever added
            by an operator.
        contacts: gRPC addresses to ask when none is known from the log.
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

    async def run(self) -> None:
        """Ask whenever no leader has been heard of for a while."""
        if self._own_member is None:
            return
        while self._node.failure is None:
            await asyncio.sleep(self._node.environment.jitter(_JOIN_CHECK_INTERVAL_S))
            if self._should_request_join():
                await self._request_join_from_all(self._own_member)

    def _should_request_join(self) -> bool:
        node = self._node
        if node.is_leader or self._bootstrap.forming:
            return False
        return node.environment.monotonic() - node.election_timer_reset_s > _LEADER_SILENCE_S

    async def _request_join_from_all(self, own_member: consensus_pb2.Member) -> None:
        listed = [member.address for member in self._node.membership().members]
        addresses = list(dict.fromkeys([*self.contacts, *listed]))
        hinted = ""
        for address in addresses:
            if address == own_member.address or self._node.failure is not None:
                continue
            reply = await self._send_join(address, own_member)
            if reply is None:
                continue
            if reply.accepted:
                return
            hinted = hinted or reply.leader_address
        if hinted:
            await self._send_join(hinted, own_member)

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
        """Add the machine that asks as a learner, if this member leads."""
        node = self._node
        known = find_member(node.membership(), request.member.name)
        if node.is_leader and known is not None:
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
            return consensus_pb2.JoinReply(leader_address=self._leader_address())
        return consensus_pb2.JoinReply(accepted=True)

    def _leader_address(self) -> str:
        leader = find_member(self._node.membership(), self._node.leader)
        return leader.address if leader is not None else ""
