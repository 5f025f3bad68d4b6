"""Snapshots of one member: those it makes, and those it receives from a leader."""

import zlib
from typing import Any

from heronladder_runtime.errors import StorageError
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.member_state import MemberState
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import StoredSnapshot


class SnapshotManager:
    """Saves and installs snapshots, each with the member's write lock held.

    Args:
        node: State of this member.
        machine: State machine that is saved and restored.
        newest: Snapshot in the data folder when the process started, if there was one.

    Attributes:
        newest: The newest snapshot, if there is one.
    """

    def __init__(
        self, node: MemberState, machine: StateMachine[Any], newest: StoredSnapshot | None
    ) -> None:
        self._node = node
        self._machine = machine
        self.newest = newest

    async def save(self) -> bool:
        """Save a snapshot of the current state, and compact the log.

        The newest entries before the snapshot stay in memory for members that lag a little.

        Returns:
            Whether the snapshot was written to disk.
        """
        async with self._node.write_lock:
            return await self._save_locked()

    async def _save_locked(self) -> bool:
        node = self._node
        index = node.applied_index
        snapshot = StoredSnapshot(self._meta(index), self._machine.snapshot())
        try:
            refusals = await node.storage.save_snapshot(snapshot, drop_log=False)
        except StorageError as error:
            node.event_log.warning(
                "snapshot_not_saved", step=error.step, peer=error.peer, error=error.message
            )
            return False  # the log is not compacted and stays complete
        self._log_refused_removals(refusals)
        self.newest = snapshot
        kept_from = max(node.log.base_index, index - node.timing.trailing_entries)
        if kept_from > node.log.base_index:
            node.log.compact(self._meta(kept_from))
        node.event_log.info(
            "snapshot_saved",
            step="snapshot",
            index=index,
            bytes=len(snapshot.data),
            digest=f"{zlib.crc32(snapshot.data):08x}",
            **self._machine.digests(),
        )
        return True

    def _log_refused_removals(self, refusals: list[StorageError]) -> None:
        """Log the files that could not be removed; the next snapshot tries again."""
        if not refusals:
            return
        error = refusals[0]
        self._node.event_log.warning(
            "files_not_removed",
            step=error.step,
            peer=error.peer,
            refusals=len(refusals),
            error=error.message,
        )

    def _meta(self, index: int) -> consensus_pb2.SnapshotMeta:
        log = self._node.log
        return consensus_pb2.SnapshotMeta(
            index=index, term=log.term_at(index) or 0, membership=log.membership(index)
        )

    async def install(self, snapshot: StoredSnapshot) -> None:
        """Replace log and state by a leader's snapshot.

        A snapshot that is not newer than the local commit index is ignored.

        Raises:
            StorageError: If the snapshot cannot be written; log and state are unchanged then.
        """
        async with self._node.write_lock:
            if snapshot.meta.index <= self._node.commit_index:
                return
            await self._install_locked(snapshot)
        self._node.changed.notify_waiters()

    async def _install_locked(self, snapshot: StoredSnapshot) -> None:
        node = self._node
        self._log_refused_removals(await node.storage.save_snapshot(snapshot, drop_log=True))
        self.newest = snapshot
        node.log.reset(snapshot.meta)
        self._machine.restore(snapshot.data)
        node.commit_index = snapshot.meta.index
        node.applied_index = snapshot.meta.index
        node.event_log.info("snapshot_installed", step="snapshot", index=snapshot.meta.index)
