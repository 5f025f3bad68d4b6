"""Files of one data folder: nothing counts until it is synced."""

import asyncio
import os
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from heronladder_runtime.errors import StorageError


class Disk(ABC):
    """The files of one data folder, by plain name."""

    @abstractmethod
    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file.

        Raises:
            StorageError: If it cannot be read.
        """

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Add bytes at the end of a file, which is made when absent; not yet synced."""

    @abstractmethod
    async def sync(self, name: str) -> None:
        """Make all bytes appended to a file, and its name, outlive a crash.

        Raises:
            StorageError: If the sync fails; the file must not be used any more.
        """

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Write a whole file so that a crash leaves the old or the new one, synced."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it, before the next write at the latest."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Remove a file if it exists.

        Raises:
            StorageError: If the disk refuses.
        """

    def close(self) -> None:  # noqa: B027 - only some disks hold anything open
        """Release what is held open."""


def _consume_failure(writing: asyncio.Future[None]) -> None:
    """Take a failure that nobody waits for any more; who still waits gets it as well."""
    if not writing.cancelled():
        writing.exception()


class FolderDisk(Disk):
    """A folder of the machine's file system.

    Args:
        folder: The data folder; made when absent.
        sync_enabled: False only in benchmarks that weigh what syncing costs.
    """

    def __init__(self, folder: Path, sync_enabled: bool = True) -> None:
        self._folder = folder
        self._sync_enabled = sync_enabled
        self._staged: dict[str, bytearray] = {}
        self._damaged: dict[str, int] = {}  # size to cut a file back to before it is used
        self._open: dict[str, int] = {}
        self._named: set[str] = set()
        # One thread: a write whose caller gave up still ends, and before the next one begins.
        # Two at once took each other's bytes for half a write and cut them off.
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self._folder.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise StorageError(str(error), step="read", peer=name) from error

    def _descriptor(self, name: str) -> int:
        descriptor = self._open.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self._folder / name, flags, 0o600)
            self._open[name] = descriptor
        return descriptor

    def append(self, name: str, data: bytes) -> None:
        """Stage bytes for the end of a file; ``sync`` writes them."""
        self._staged.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str) -> None:
        """Write and sync what was staged, and at the first sync the folder that names it.

        A slow disk holds up its own thread only. When the disk refuses, the file
        is cut back to what it held before.
        """
        data = bytes(self._staged.pop(name, b""))
        await self._write(self._write_and_sync, name, data)

    async def _write(self, what: Callable[[str, bytes], None], name: str, data: bytes) -> None:
        # Shielded: a write that waits its turn would be dropped with a caller that gives up,
        # and memory be ahead of the disk for good.
        loop = asyncio.get_running_loop()
        writing = loop.run_in_executor(self._writer, what, name, data)
        writing.add_done_callback(_consume_failure)
        await asyncio.shield(writing)

    def _write_and_sync(self, name: str, data: bytes) -> None:
        try:
            for damaged in list(self._damaged):
                self._cut_back(damaged)
            descriptor = self._descriptor(name)
            self._damaged[name] = os.fstat(descriptor).st_size
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            if self._sync_enabled:
                os.fdatasync(descriptor)
                if name not in self._named:
                    self._sync_folder()
                    self._named.add(name)
            self._damaged.pop(name, None)  # its file may be removed meanwhile
        except OSError as error:
            self._cut_back_quietly(name)
            raise StorageError(str(error), step="sync", peer=name) from error

    def _cut_back(self, name: str) -> None:
        """Cut a file back after a write that failed: half a record must not stay."""
        if name in self._damaged:
            os.ftruncate(self._descriptor(name), self._damaged[name])
            os.fdatasync(self._descriptor(name))
            self._damaged.pop(name, None)

    def _cut_back_quietly(self, name: str) -> None:
        try:
            self._cut_back(name)
        except OSError:
            pass  # the next write tries again first

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def replace(self, name: str, data: bytes) -> None:
        """Write beside, sync, rename over, sync the folder."""
        await self._write(self._replace, name, data)

    def _replace(self, name: str, data: bytes) -> None:
        beside = self._folder / f"{name}.new"
        try:
            with beside.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            beside.replace(self._folder / name)
            self._sync_folder()
        except OSError as error:
            self._remove_quietly(beside)  # half of it would take the room of others
            raise StorageError(str(error), step="replace", peer=name) from error

    @staticmethod
    def _remove_quietly(path: Path) -> None:
        try:
            path.unlink(missing_ok=True)
        except OSError:
            pass  # the next one of its name writes over it

    def truncate(self, name: str, size: int) -> None:
        """Cut a file and sync it; if the disk refuses, before the next write."""
        self._forget(name)
        self._damaged[name] = size
        self._cut_back_quietly(name)

    async def delete(self, name: str) -> None:
        """Remove a file if it exists; a slow disk holds up its own thread only."""
        damaged = self._damaged.get(name)
        self._forget(name)
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._delete, name)
        except StorageError:
            if damaged is not None:
                self._damaged[name] = damaged  # what stays is cut back before its next use
            raise

    def _delete(self, name: str) -> None:
        try:
            (self._folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise StorageError(str(error), step="delete", peer=name) from error

    def _forget(self, name: str) -> None:
        self._damaged.pop(name, None)
        descriptor = self._open.pop(name, None)
        self._named.discard(name)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Close all open files; what is being written may still end."""
        self._writer.shutdown(wait=False, cancel_futures=True)
        for name in list(self._open):
            self._forget(name)
