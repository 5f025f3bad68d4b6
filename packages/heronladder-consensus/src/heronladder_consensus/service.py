"""gRPC service through which other members call this member."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import ConsensusServicer

from heronladder_consensus.node import ConsensusNode

_Reply = TypeVar("_Reply")


class ConsensusService(ConsensusServicer):
    """Dispatches RPCs from other members to the node.

    Args:
        node: The member.
    """

    def __init__(self, node: ConsensusNode[Any]) -> None:
        self._node = node

    async def _run_to_completion(self, step: str, work: Coroutine[Any, Any, _Reply]) -> _Reply:
        """Run a handler to completion, even when the caller's deadline expires.

        gRPC cancels a handler when the deadline expires. A cancellation in the middle of a write
        would release the write lock and leave the state in memory behind the state on disk.
        """
        return await asyncio.shield(self._node.tasks.start(step, work))

    async def Hello(  # noqa: D102 - generated name
        self, request: consensus_pb2.HelloRequest, context: Any
    ) -> consensus_pb2.HelloReply:
        return self._node.bootstrap.handle()

    async def Join(  # noqa: D102
        self, request: consensus_pb2.JoinRequest, context: Any
    ) -> consensus_pb2.JoinReply:
        return await self._node.joiner.handle(request)

    async def Leave(  # noqa: D102
        self, request: consensus_pb2.LeaveRequest, context: Any
    ) -> consensus_pb2.LeaveReply:
        return await self._run_to_completion("answer_leave", self._node.leaver.handle(request))

    async def RequestVote(  # noqa: D102
        self, request: consensus_pb2.VoteRequest, context: Any
    ) -> consensus_pb2.VoteReply:
        return await self._run_to_completion("answer_vote", self._node.election.handle(request))

    async def AppendEntries(  # noqa: D102
        self, request: consensus_pb2.AppendRequest, context: Any
    ) -> consensus_pb2.AppendReply:
        return await self._run_to_completion(
            "answer_append", self._node.replication.handle_append(request)
        )

    async def InstallSnapshot(  # noqa: D102
        self, request: consensus_pb2.SnapshotChunk, context: Any
    ) -> consensus_pb2.SnapshotReply:
        return await self._run_to_completion(
            "answer_snapshot", self._node.snapshot_receiver.handle(request)
        )
