"""Receives a leader's snapshot in chunks and installs it."""

from heronladder_runtime.errors import StorageError
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.election import Election
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.snapshots import SnapshotManager
from heronladder_consensus.storage import StoredSnapshot


class SnapshotReceiver:
    """Follower side of the snapshot transfer.

    Args:
        node: State of this member.
        election: Is informed of leaders.
        snapshots: Installs complete snapshots.
    """

    def __init__(self, node: MemberState, election: Election, snapshots: SnapshotManager) -> None:
        self._node = node
        self._election = election
        self._snapshots = snapshots
        self._incoming = bytearray()

    async def handle(self, chunk: consensus_pb2.SnapshotChunk) -> consensus_pb2.SnapshotReply:
        """Handle a chunk of the leader's snapshot, and install the snapshot after the last one."""
        node = self._node
        reply = consensus_pb2.SnapshotReply(incarnation=node.hard_state.incarnation)
        try:
            if await self._election.observe_leader(chunk.term, chunk.leader):
                await self._receive_chunk(chunk, reply)
        except StorageError:
            reply.disk_refuses = True  # it refused the new term; the disk monitor has logged it
        reply.term = node.term
        return reply

    async def _receive_chunk(
        self, chunk: consensus_pb2.SnapshotChunk, reply: consensus_pb2.SnapshotReply
    ) -> None:
        if chunk.offset == 0:
            self._incoming.clear()
        if chunk.offset == len(self._incoming):
            self._incoming += chunk.data
            reply.success = True
        if reply.success and chunk.last:
            data = bytes(self._incoming)
            self._incoming.clear()
            await self._install(StoredSnapshot(chunk.meta, data), reply)
            self._node.election_timer_reset_s = self._node.environment.monotonic()

    async def _install(self, snapshot: StoredSnapshot, reply: consensus_pb2.SnapshotReply) -> None:
        try:
            await self._snapshots.install(snapshot)
        except StorageError as error:
            self._node.event_log.warning(
                "snapshot_not_saved", step=error.step, peer=error.peer, error=error.message
            )
            reply.success = False
            reply.disk_refuses = True
