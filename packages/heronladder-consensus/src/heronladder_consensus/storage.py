"""Durable state of one member: hard state, log segments and the newest snapshot.

Files in the data folder:
    hard-state: One record, a HardState message.
    segment-NNN: Records, each a LogBatch message, in the order in which they were synced. A
        batch replaces all entries from its first index on.
    snapshot-INDEX: Two records, a SnapshotMeta message and the serialized state.
"""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.disk import Disk
from heronladder_runtime.errors import CorruptFileError, StorageError
from heronladder_runtime.records import frame_record, scan_records
from heronladder_schema.v1 import consensus_pb2

_HARD_STATE_FILE = "hard-state"
_SEGMENT_PREFIX = "segment-"
_SNAPSHOT_PREFIX = "snapshot-"
_NUMBER_DIGITS = 20
_SEGMENT_BYTES = 8 * 1024 * 1024
_SNAPSHOT_RECORDS = 2


@dataclass
class StoredSnapshot:
    """A snapshot of the state machine, with the index and term of the last entry it covers."""

    meta: consensus_pb2.SnapshotMeta
    data: bytes


@dataclass
class LoadedState:
    """Contents of a data folder when the process starts.

    Attributes:
        hard_state: Term, vote and identity; empty in a folder that was never used.
        snapshot: The newest snapshot, if there is one.
        entries: Log entries after the snapshot.
        dropped_bytes: Size of a torn write that was removed from the end of the log.
    """

    hard_state: consensus_pb2.HardState
    snapshot: StoredSnapshot | None = None
    entries: list[consensus_pb2.LogEntry] = field(default_factory=list)
    dropped_bytes: int = 0

    @property
    def is_unused(self) -> bool:
        """Whether the folder has never been used."""
        return not self.hard_state.incarnation


@dataclass
class _Segment:
    name: str
    size: int
    last_index: int


def _numbered_name(prefix: str, number: int) -> str:
    return f"{prefix}{number:0{_NUMBER_DIGITS}d}"


class LogStorage:
    """Reads and writes the files of one member.

    Args:
        disk: File access to the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segments: list[_Segment] = []
        self._last_segment_number = 0
        self._hard_state_lock = asyncio.Lock()

    # ---- loading ----------------------------------------------------------

    def load(self) -> LoadedState:
        """Read everything that was synced.

        Raises:
            CorruptFileError: If synced bytes are damaged.
            StorageError: If a file cannot be read.
        """
        names = self._disk.names()
        state = LoadedState(self._load_hard_state(names))
        state.snapshot = self._load_snapshot(names)
        self._load_segments(names, state)
        return state

    def _load_hard_state(self, names: list[str]) -> consensus_pb2.HardState:
        if _HARD_STATE_FILE not in names:
            return consensus_pb2.HardState()
        data = self._disk.read(_HARD_STATE_FILE)
        payloads = scan_records(data, _HARD_STATE_FILE, last_file=False).payloads
        return consensus_pb2.HardState.FromString(payloads[0])

    def _load_snapshot(self, names: list[str]) -> StoredSnapshot | None:
        snapshots = [
            name for name in names if name.startswith(_SNAPSHOT_PREFIX) and name[-1].isdigit()
        ]
        if not snapshots:
            return None
        name = snapshots[-1]
        payloads = scan_records(self._disk.read(name), name, last_file=False).payloads
        if len(payloads) != _SNAPSHOT_RECORDS:
            raise CorruptFileError(
                f"snapshot {name} is truncated: {len(payloads)} of {_SNAPSHOT_RECORDS} records",
                step="load",
                peer=f"{name}:0",
            )
        meta = consensus_pb2.SnapshotMeta.FromString(payloads[0])
        return StoredSnapshot(meta, payloads[1])

    def _load_segments(self, names: list[str], state: LoadedState) -> None:
        segment_names = [name for name in names if name.startswith(_SEGMENT_PREFIX)]
        meta = state.snapshot.meta if state.snapshot else consensus_pb2.SnapshotMeta()
        by_index: dict[int, consensus_pb2.LogEntry] = {}
        last_index = 0
        for position, name in enumerate(segment_names):
            data = self._disk.read(name)
            last_file = position == len(segment_names) - 1
            scan = scan_records(data, name, last_file=last_file)
            if scan.good_size < len(data):
                state.dropped_bytes = len(data) - scan.good_size
                self._disk.truncate(name, scan.good_size)
            for payload in scan.payloads:
                batch = consensus_pb2.LogBatch.FromString(payload)
                for entry in batch.entries:
                    by_index[entry.index] = entry
                    last_index = entry.index
            self._segments.append(_Segment(name, scan.good_size, last_index))
            self._last_segment_number = int(name.removeprefix(_SEGMENT_PREFIX))
        for index in range(meta.index + 1, last_index + 1):
            if index not in by_index:
                raise CorruptFileError(
                    f"the log has no entry {index} between its snapshot and its end",
                    step="load",
                    peer=segment_names[0],
                )
            if by_index[index].term < meta.term:
                break  # a segment of a log that the snapshot replaced; its removal had failed
            state.entries.append(by_index[index])

    # ---- writing ----------------------------------------------------------

    async def save_hard_state(self, hard_state: consensus_pb2.HardState) -> None:
        """Write term, vote and identity; they are durable when this returns.

        Writes are serialized. Each write runs in its own thread: of two concurrent writes the
        earlier one could finish last and undo a vote, or fail because the other has already
        renamed its temporary file.
        """
        async with self._hard_state_lock:
            data = frame_record(hard_state.SerializeToString())
            await self._disk.replace(_HARD_STATE_FILE, data)

    async def append(self, entries: list[consensus_pb2.LogEntry]) -> None:
        """Write and sync a batch of entries; they are durable when this returns."""
        segment = self._current_segment()
        batch = consensus_pb2.LogBatch(entries=entries)
        record = frame_record(batch.SerializeToString())
        self._disk.append(segment.name, record)
        await self._disk.sync(segment.name)
        segment.size += len(record)
        segment.last_index = entries[-1].index

    def _current_segment(self) -> _Segment:
        if not self._segments or self._segments[-1].size >= _SEGMENT_BYTES:
            self._last_segment_number += 1
            name = _numbered_name(_SEGMENT_PREFIX, self._last_segment_number)
            self._segments.append(_Segment(name, 0, 0))
        return self._segments[-1]

    async def save_snapshot(
        self, snapshot: StoredSnapshot, *, drop_log: bool
    ) -> list[StorageError]:
        """Write a snapshot, then remove older snapshots and the segments it covers.

        The snapshot is valid once it is written. A file that cannot be removed only takes up
        space; its removal is tried again with the next snapshot.

        Args:
            snapshot: The new newest snapshot.
            drop_log: Whether to remove all log segments, because the snapshot came from the
                leader and the local log does not continue from it.

        Returns:
            Errors of the removals that failed.

        Raises:
            StorageError: If the snapshot cannot be written; the stored state is unchanged then.
        """
        name = _numbered_name(_SNAPSHOT_PREFIX, snapshot.meta.index)
        records = frame_record(snapshot.meta.SerializeToString()) + frame_record(snapshot.data)
        await self._disk.replace(name, records)
        refusals = []
        for other in self._disk.names():
            if other.startswith(_SNAPSHOT_PREFIX) and other != name:
                try:
                    await self._disk.delete(other)
                except StorageError as error:
                    refusals.append(error)
        try:
            await self._drop_segments(snapshot.meta.index, drop_log=drop_log)
        except StorageError as error:
            refusals.append(error)
        return refusals

    async def _drop_segments(self, covered_index: int, *, drop_log: bool) -> None:
        """Remove segments that a snapshot covers, and stop tracking each once it is removed.

        When all segments are dropped, they are removed from the newest to the oldest: if a removal
        fails, the rest must have no gap, since a log with a gap cannot be loaded.
        """
        dropped = list(reversed(self._segments))
        if not drop_log:
            dropped = [old for old in self._segments[:-1] if old.last_index <= covered_index]
        for segment in dropped:
            await self._disk.delete(segment.name)
            self._segments.remove(segment)

    def close(self) -> None:
        """Close all files."""
        self._disk.close()
