"""A disk in memory that loses what was not synced when its process crashes."""

import asyncio
import random

from heronladder_runtime.disk import Disk
from heronladder_runtime.errors import StorageError


class MemoryDisk(Disk):
    """The files of one process, over its crashes.

    Args:
        source: Source of random choices: how much of a torn write is left.
        sync_s: Time of a sync, in seconds.
    """

    def __init__(self, source: random.Random, sync_s: float = 0.001) -> None:
        self._random = source
        self.sync_s = sync_s
        self._durable: dict[str, bytes] = {}
        self._current: dict[str, bytearray] = {}
        self._starts = 0
        self.fail_syncs = False
        self.refuse_removals = False
        self.refuse_whole_files = False

    def crash(self) -> None:
        """Lose what was not synced; the last write may be torn at any byte."""
        self._starts += 1
        for name, durable in self._durable.items():
            written = self._current.get(name, bytearray())
            unsynced = bytes(written[len(durable) :])
            if unsynced and bytes(written[: len(durable)]) == durable:
                kept = self._random.randrange(len(unsynced) + 1)
                self._durable[name] = durable + unsynced[:kept]
        self._current = {name: bytearray(data) for name, data in self._durable.items()}

    def wipe(self) -> None:
        """Lose everything, as when the disk is replaced."""
        self._starts += 1
        self._durable.clear()
        self._current.clear()

    def handle(self) -> "DiskHandle":
        """Return the disk as one start of the process uses it."""
        return DiskHandle(self, self._starts)

    def same_start(self, start: int) -> bool:
        """Whether the process that got its handle at ``start`` still lives."""
        return start == self._starts

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._current)

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        if name not in self._current:
            raise StorageError("no such file", step="read", peer=name)
        return bytes(self._current[name])

    def append(self, name: str, data: bytes) -> None:
        """Add bytes, not yet synced."""
        self._current.setdefault(name, bytearray()).extend(data)
        self._durable.setdefault(name, b"")

    async def sync(self, name: str) -> None:
        """Sync a file."""
        size = len(self._current[name])
        start = self._starts
        await asyncio.sleep(self.sync_s)
        if start != self._starts:
            return
        if self.fail_syncs:
            # What could not be written is cut off again, as on a real folder.
            self._current[name] = bytearray(self._durable.get(name, b""))
            raise StorageError("input/output error", step="sync", peer=name)
        if name in self._current:
            self._durable[name] = bytes(self._current[name][:size])

    async def replace(self, name: str, data: bytes) -> None:
        """Write a whole file, old or new after a crash."""
        start = self._starts
        await asyncio.sleep(self.sync_s)
        if start != self._starts:
            return
        if self.fail_syncs or self.refuse_whole_files:
            raise StorageError("input/output error", step="replace", peer=name)
        self._durable[name] = data
        self._current[name] = bytearray(data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        del self._current[name][size:]
        self._durable[name] = bytes(self._current[name])

    async def delete(self, name: str) -> None:
        """Remove a file."""
        if self.refuse_removals:
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
    """A disk as one start of a process uses it; dead once that process crashed.

    Args:
        disk: The disk.
        start: Which start of the process.
    """

    def __init__(self, disk: MemoryDisk, start: int) -> None:
        self._disk = disk
        self._start = start

    @property
    def _alive(self) -> bool:
        return self._disk.same_start(self._start)

    def names(self) -> list[str]:
        """Return the names of all files."""
        return self._disk.names()

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        return self._disk.read(name)

    def append(self, name: str, data: bytes) -> None:
        """Add bytes, not yet synced."""
        if self._alive:
            self._disk.append(name, data)

    async def sync(self, name: str) -> None:
        """Sync a file."""
        if self._alive:
            await self._disk.sync(name)

    async def replace(self, name: str, data: bytes) -> None:
        """Write a whole file."""
        if self._alive:
            await self._disk.replace(name, data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        if self._alive:
            self._disk.truncate(name, size)

    async def delete(self, name: str) -> None:
        """Remove a file."""
        if self._alive:
            await self._disk.delete(name)
