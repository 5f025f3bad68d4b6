"""Snapshots of one member: its own, and those that a leader sends."""

import zlib
from typing import Any

from heronladder_runtime.errors import StorageError
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.member_state import MemberState
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import StoredSnapshot


class SnapshotKeeper:
    """Saves and installs snapshots, each with the member's write lock held.

    Args:
        node: The member.
        machine: The state that is saved and restored.
        newest: The snapshot that its folder held at the start.
    """

    def __init__(
        self, node: MemberState, machine: StateMachine[Any], newest: StoredSnapshot | None
    ) -> None:
        self._node = node
        self._machine = machine
        self.newest = newest

    async def save(self) -> bool:
        """Save the state as it is, and drop what lies well behind it in the log.

        Returns:
            Whether the disk took it.
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
            return False  # the log goes on
        self._report(refusals)
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

    def _report(self, refusals: list[StorageError]) -> None:
        """Tell of files that are left for the next snapshot to remove."""
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
        """Replace log and state by a leader's snapshot, if it is newer than what is committed here.

        Raises:
            StorageError: If the disk refuses it; nothing has changed then.
        """
        async with self._node.write_lock:
            if snapshot.meta.index <= self._node.commit_index:
                return
            await self._install_locked(snapshot)
        self._node.changed.notify_waiters()

    async def _install_locked(self, snapshot: StoredSnapshot) -> None:
        node = self._node
        self._report(await node.storage.save_snapshot(snapshot, drop_log=True))
        self.newest = snapshot
        node.log.reset(snapshot.meta)
        self._machine.restore(snapshot.data)
        node.commit_index = snapshot.meta.index
        node.applied_index = snapshot.meta.index
        node.event_log.info("snapshot_installed", step="snapshot", index=snapshot.meta.index)
