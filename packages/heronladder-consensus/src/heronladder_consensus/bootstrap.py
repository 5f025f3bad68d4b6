"""Bootstrap of a member with a new data folder: whether it may vote at once.

A new folder belongs either to a new group or to a member that lost its disk. In the second case
the member no longer knows its votes or the entries it had acknowledged, so it must not vote until
the group has admitted it again. A member with a new folder may therefore vote at once only if the
folders of all other initial members are new too, or if those members already know this folder.
Otherwise the leader demotes the member to a learner, and promotes it once it has caught up.
"""

import asyncio

from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.member_state import MemberState

_HELLO_INTERVAL_S = 0.2


class Bootstrap:
    """Forms a new group from its initial members.

    Args:
        node: This member.
        initial_members: The initial members; empty when joining a running group.

    Attributes:
        forming: Whether it is still unknown if the group is new.
    """

    def __init__(self, node: MemberState, initial_members: list[consensus_pb2.Member]) -> None:
        self._node = node
        self._initial = initial_members
        self.forming = bool(initial_members)

    async def run(self) -> None:
        """Query the other initial members until it is known whether the group is new."""
        try:
            await self._detect_new_group()
        finally:
            self.forming = False

    async def _detect_new_group(self) -> None:
        node = self._node
        if node.hard_state.voting_allowed or not self._initial:
            return
        incarnations = {node.name: node.hard_state.incarnation}
        version = node.highest_version
        while len(incarnations) < len(self._initial):
            if node.log.last_index > 0 or node.hard_state.voting_allowed:
                return  # a leader has admitted this member
            for member in self._initial:
                if member.name in incarnations:
                    continue
                reply = await self._send_hello(member)
                if reply is None:
                    continue
                if self._knows_different_folder(reply):
                    node.event_log.warning(
                        "folder_is_new_in_a_running_group",
                        step="bootstrap",
                        peer=member.name,
                        advice="this member may vote again once it has caught up with the leader",
                    )
                    return
                incarnations[member.name] = reply.incarnation
                version = min(version, reply.highest_version)
            await asyncio.sleep(_HELLO_INTERVAL_S)
        await self._form_group(incarnations, version)

    async def _send_hello(self, member: consensus_pb2.Member) -> consensus_pb2.HelloReply | None:
        node = self._node
        try:
            stub = node.stubs.consensus(member.address)
            request = consensus_pb2.HelloRequest(**{"from": node.name})
            reply: consensus_pb2.HelloReply = await stub.Hello(
                request, timeout=node.timing.call_timeout_s
            )
        except RPC_ERRORS:
            return None
        return reply

    def _knows_different_folder(self, reply: consensus_pb2.HelloReply) -> bool:
        if not reply.voting_allowed:
            return False
        known = [member for member in reply.membership.members if member.name == self._node.name]
        return not known or known[0].incarnation != self._node.hard_state.incarnation

    async def _form_group(self, incarnations: dict[str, str], version: int) -> None:
        node = self._node
        hard_state = node.hard_state
        if hard_state.voting_allowed or node.log.last_index > 0:
            return
        for member in self._initial:
            added = hard_state.bootstrap.members.add()
            added.CopyFrom(member)
            added.voter = True
            added.incarnation = incarnations[member.name]
        hard_state.voting_allowed = True
        hard_state.formed_version = version
        await node.save_hard_state()
        node.event_log.info("group_formed", step="bootstrap", members=len(incarnations))

    def handle(self) -> consensus_pb2.HelloReply:
        """Answer a Hello request with the identity of this member and whether it may vote."""
        node = self._node
        return consensus_pb2.HelloReply(
            name=node.name,
            incarnation=node.hard_state.incarnation,
            voting_allowed=node.hard_state.voting_allowed,
            membership=node.membership(),
            highest_version=node.highest_version,
        )
