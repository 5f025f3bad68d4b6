"""Snapshots of one member: its own, and those that a leader sends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heronladder_runtime.errors import StorageError
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.storage import StoredSnapshot

if TYPE_CHECKING:
    from heronladder_consensus.node import ConsensusNode


class SnapshotKeeper:
    """Saves and installs snapshots; the node's write lock must be held for both.

    Args:
        node: The member.
        newest: The snapshot that its folder held at the start.
    """

    def __init__(self, node: ConsensusNode[Any], newest: StoredSnapshot | None) -> None:
        self._node = node
        self.newest = newest

    async def save(self) -> bool:
        """Save the state as it is, and drop what lies well behind it in the log.

        Returns:
            Whether the disk took it.
        """
        node = self._node
        index = node.applied_index
        snapshot = StoredSnapshot(self._meta(index), node.machine.snapshot())
        try:
            await node.storage.save_snapshot(snapshot, drop_log=False)
        except StorageError as error:
            node.event_log.warning(
                "snapshot_not_saved", step=error.step, peer=error.peer, error=error.message
            )
            return False  # the log goes on
        self.newest = snapshot
        kept_from = max(node.log.base_index, index - node.timing.trailing_entries)
        if kept_from > node.log.base_index:
            node.log.compact(self._meta(kept_from))
        node.event_log.info(
            "snapshot_saved", step="snapshot", index=index, bytes=len(snapshot.data)
        )
        return True

    def _meta(self, index: int) -> consensus_pb2.SnapshotMeta:
        log = self._node.log
        return consensus_pb2.SnapshotMeta(
            index=index, term=log.term_at(index) or 0, membership=log.membership(index)
        )

    async def install(self, snapshot: StoredSnapshot) -> bool:
        """Replace log and state by a leader's snapshot.

        Returns:
            False if it is not newer than what is committed here.

        Raises:
            StorageError: If the disk refuses it; nothing has changed then.
        """
        node = self._node
        if snapshot.meta.index <= node.commit_index:
            return False
        await node.storage.save_snapshot(snapshot, drop_log=True)
        self.newest = snapshot
        node.log.reset(snapshot.meta)
        node.machine.restore(snapshot.data)
        node.commit_index = snapshot.meta.index
        node.applied_index = snapshot.meta.index
        node.event_log.info("snapshot_installed", step="snapshot", index=snapshot.meta.index)
        return True
