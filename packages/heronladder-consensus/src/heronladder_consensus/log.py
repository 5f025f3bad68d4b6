"""In-memory log: the entries that compaction has not dropped."""

from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import consensus_pb2


class MemoryLog:
    """Log entries by index, and the index up to which they are synced to disk.

    Args:
        member: Name of this member, for error messages.
        meta: Index, term and membership at which the log starts; index 0 without a snapshot.
        entries: Entries after that index, all synced.

    Attributes:
        synced_index: Index of the last entry that is synced to disk.
    """

    def __init__(
        self,
        member: str,
        meta: consensus_pb2.SnapshotMeta,
        entries: list[consensus_pb2.LogEntry],
    ) -> None:
        self._member = member
        self._base = meta
        self._entries = entries
        # Membership changes in log order; indexed separately to avoid scanning the whole log.
        self._changes = [entry for entry in entries if entry.HasField("membership")]
        self.synced_index = meta.index + len(entries)

    @property
    def base_index(self) -> int:
        """Index of the last compacted entry, which only the snapshot covers."""
        return self._base.index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not hold it."""
        if index == self._base.index:
            return self._base.term
        if self._base.index < index <= self.last_index:
            return self._entries[index - self._base.index - 1].term
        return None

    def entry(self, index: int) -> consensus_pb2.LogEntry:
        """Return the entry at an index, which the log must hold."""
        return self._entries[index - self._base.index - 1]

    def slice(self, first: int, maximum_bytes: int) -> list[consensus_pb2.LogEntry]:
        """Return consecutive entries, limited by their total size.

        Args:
            first: Index of the first entry.
            maximum_bytes: Limit on the total size of the commands; a larger first entry is
                returned on its own.
        """
        position = first - self._base.index - 1
        chosen: list[consensus_pb2.LogEntry] = []
        size = 0
        while position < len(self._entries):
            entry = self._entries[position]
            size += len(entry.command)
            if chosen and size > maximum_bytes:
                break
            chosen.append(entry)
            position += 1
        return chosen

    def unsynced(self) -> list[consensus_pb2.LogEntry]:
        """Return the entries that are not synced to disk yet."""
        return self._entries[self.synced_index - self._base.index :]

    def append(self, entry: consensus_pb2.LogEntry) -> None:
        """Append the next entry, not synced yet."""
        invariant(
            entry.index == self.last_index + 1,
            "log_is_dense",
            step="append",
            peer=self._member,
            detail=f"entry {entry.index} after {self.last_index}",
        )
        self._entries.append(entry)
        if entry.HasField("membership"):
            self._changes.append(entry)

    def truncate_from(self, index: int, commit_index: int) -> None:
        """Drop all entries from ``index`` on, none of which may be committed."""
        invariant(
            index > commit_index,
            "committed_entries_are_kept",
            step="truncate",
            peer=self._member,
            detail=f"truncation from {index}, committed up to {commit_index}",
        )
        del self._entries[index - self._base.index - 1 :]
        self._changes = [entry for entry in self._changes if entry.index < index]
        self.synced_index = min(self.synced_index, index - 1)

    def compact(self, meta: consensus_pb2.SnapshotMeta) -> None:
        """Drop the entries up to ``meta.index``, which a snapshot covers."""
        del self._entries[: meta.index - self._base.index]
        self._changes = [entry for entry in self._changes if entry.index > meta.index]
        self._base = meta
        # A leader with a slow disk commits through its peers, so a snapshot may cover entries
        # that the leader itself has not synced.
        self.synced_index = max(self.synced_index, meta.index)

    def reset(self, meta: consensus_pb2.SnapshotMeta) -> None:
        """Replace the whole log by the position of a snapshot from the leader."""
        self._base = meta
        self._entries = []
        self._changes = []
        self.synced_index = meta.index

    def first_of_term(self, index: int) -> int:
        """Return the index of the first entry in memory of the term of an entry."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def membership(self, up_to: int | None = None) -> consensus_pb2.Membership:
        """Return the newest membership in the log, or else the one in the snapshot.

        Args:
            up_to: Index of the last entry to consider; None for the whole log.
        """
        last = self.last_index if up_to is None else up_to
        for entry in reversed(self._changes):
            if entry.index <= last:
                return entry.membership
        return self._base.membership

    def earlier_members(self) -> set[str]:
        """Return the names in all memberships since the snapshot but the newest."""
        earlier = [self._base.membership, *(entry.membership for entry in self._changes)][:-1]
        return {member.name for membership in earlier for member in membership.members}
