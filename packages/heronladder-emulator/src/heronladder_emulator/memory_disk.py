"""An in-memory disk that loses unsynced data when its process crashes."""

import asyncio
import random

from heronladder_runtime.disk import Disk
from heronladder_runtime.errors import StorageError


class MemoryDisk(Disk):
    """The files of one process, which outlive its crashes.

    Args:
        source: Random generator that decides how much of a torn write survives.
        sync_s: Duration of a sync, in seconds.
    """

    def __init__(self, source: random.Random, sync_s: float = 0.001) -> None:
        self._random = source
        self.sync_s = sync_s
        self._durable: dict[str, bytes] = {}
        self._current: dict[str, bytearray] = {}
        self._start_count = 0
        self.fail_syncs = False
        self.fail_deletions = False
        self.fail_replacements = False

    def crash(self) -> None:
        """Discard unsynced data; the last write may be torn at any byte."""
        self._start_count += 1
        for name, durable in self._durable.items():
            written = self._current.get(name, bytearray())
            unsynced = bytes(written[len(durable) :])
            if unsynced and bytes(written[: len(durable)]) == durable:
                kept = self._random.randrange(len(unsynced) + 1)
                self._durable[name] = durable + unsynced[:kept]
        self._current = {name: bytearray(data) for name, data in self._durable.items()}

    def wipe(self) -> None:
        """Delete all files, as when the disk is replaced."""
        self._start_count += 1
        self._durable.clear()
        self._current.clear()

    def handle(self) -> "DiskHandle":
        """Return a handle for the current start of the process."""
        return DiskHandle(self, self._start_count)

    def is_current_start(self, start: int) -> bool:
        """Return whether the process has not crashed since the given start."""
        return start == self._start_count

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._current)

    def read(self, name: str) -> bytes:
        """Return the content of a file, including unsynced data."""
        if name not in self._current:
            raise StorageError("no such file", step="read", peer=name)
        return bytes(self._current[name])

    def append(self, name: str, data: bytes) -> None:
        """Append bytes without syncing them."""
        self._current.setdefault(name, bytearray()).extend(data)
        self._durable.setdefault(name, b"")

    async def sync(self, name: str) -> None:
        """Make the current content of a file durable.

        Raises:
            StorageError: If syncs are set to fail; the file then loses its unsynced data.
        """
        size = len(self._current[name])
        start = self._start_count
        await asyncio.sleep(self.sync_s)
        if start != self._start_count:
            return
        if self.fail_syncs:
            # Unsynced data is truncated, as the disk implementation for real files does.
            self._current[name] = bytearray(self._durable.get(name, b""))
            raise StorageError("input/output error", step="sync", peer=name)
        if name in self._current:
            self._durable[name] = bytes(self._current[name][:size])

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically; after a crash it holds the old or the new content.

        Raises:
            StorageError: If syncs or replacements are set to fail.
        """
        start = self._start_count
        await asyncio.sleep(self.sync_s)
        if start != self._start_count:
            return
        if self.fail_syncs or self.fail_replacements:
            raise StorageError("input/output error", step="replace", peer=name)
        self._durable[name] = data
        self._current[name] = bytearray(data)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes; this is durable at once."""
        del self._current[name][size:]
        self._durable[name] = bytes(self._current[name])

    async def delete(self, name: str) -> None:
        """Delete a file.

        Raises:
            StorageError: If deletions are set to fail.
        """
        if self.fail_deletions:
            raise StorageError("input/output error", step="delete", peer=name)
        self._current.pop(name, None)
        self._durable.pop(name, None)

    def corrupt(self, name: str, offset: int) -> None:
        """Flip one bit of a synced byte."""
        data = bytearray(self._durable[name])
        data[offset] ^= 1
        self._durable[name] = bytes(data)
        self._current[name] = bytearray(data)


class DiskHandle(Disk):
    """A disk as one start of a process sees it.

    After the process has crashed, writes through its handle have no effect, so a task
    that outlives the crash can't change the files of the next start.

    Args:
        disk: Disk of the process.
        start: Number of the start of the process.
    """

    def __init__(self, disk: MemoryDisk, start: int) -> None:
        self._disk = disk
        self._start = start

    @property
    def _alive(self) -> bool:
        return self._disk.is_current_start(self._start)

    def names(self) -> list[str]:
        """Return the names of all files."""
        return self._disk.names()

    def read(self, name: str) -> bytes:
        """Return the content of a file, including unsynced data."""
        return self._disk.read(name)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes without syncing them."""
        if self._alive:
            self._disk.append(name, data)

    async def sync(self, name: str) -> None:
        """Make the current content of a file durable."""
        if self._alive:
            await self._disk.sync(name)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically."""
        if self._alive:
            await self._disk.replace(name, data)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        if self._alive:
            self._disk.truncate(name, size)

    async def delete(self, name: str) -> None:
        """Delete a file."""
        if self._alive:
            await self._disk.delete(name)
