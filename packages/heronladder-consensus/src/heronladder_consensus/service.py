"""The Consensus service of one member, as other members call it."""

from typing import Any

from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import ConsensusServicer

from heronladder_consensus.node import ConsensusNode


class ConsensusService(ConsensusServicer):
    """Passes calls of other members to the node.

    Args:
        node: The member.
    """

    def __init__(self, node: ConsensusNode[Any]) -> None:
        self._node = node

    async def Hello(  # noqa: D102 - generated name
        self, request: consensus_pb2.HelloRequest, context: Any
    ) -> consensus_pb2.HelloReply:
        return self._node.bootstrap.answer()

    async def Join(  # noqa: D102
        self, request: consensus_pb2.JoinRequest, context: Any
    ) -> consensus_pb2.JoinReply:
        return await self._node.joiner.answer(request)

    async def RequestVote(  # noqa: D102
        self, request: consensus_pb2.VoteRequest, context: Any
    ) -> consensus_pb2.VoteReply:
        return await self._node.election.answer(request)

    async def AppendEntries(  # noqa: D102
        self, request: consensus_pb2.AppendRequest, context: Any
    ) -> consensus_pb2.AppendReply:
        return await self._node.replication.answer_append(request)

    async def InstallSnapshot(  # noqa: D102
        self, request: consensus_pb2.SnapshotChunk, context: Any
    ) -> consensus_pb2.SnapshotReply:
        return await self._node.replication.answer_snapshot(request)
