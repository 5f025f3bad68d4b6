"""Files of one data folder; data is durable only after a sync."""

import asyncio
import os
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from heronladder_runtime.errors import StorageError


class Disk(ABC):
    """Files of one data folder, addressed by file name."""

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
        """Append bytes to a file without syncing; create the file if it is absent."""

    @abstractmethod
    async def sync(self, name: str) -> None:
        """Make all bytes appended to a file, and its directory entry, durable.

        Raises:
            StorageError: If the sync fails; the file must not be used any more.
        """

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it: after a crash the old or the new one exists."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it, at the latest before the next write."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Remove a file if it exists.

        Raises:
            StorageError: If the operating system reports an error.
        """

    def close(self) -> None:  # noqa: B027 - only some disks keep files open
        """Close all open files."""


def _consume_failure(writing: asyncio.Future[None]) -> None:
    """Mark an exception as retrieved, in case the caller was cancelled; callers still get it."""
    if not writing.cancelled():
        writing.exception()


class FolderDisk(Disk):
    """Folder of the local file system.

    Args:
        folder: The data folder; created if it is absent.
        sync_enabled: False only in benchmarks that measure the cost of syncing.
    """

    def __init__(self, folder: Path, sync_enabled: bool = True) -> None:
        self._folder = folder
        self._sync_enabled = sync_enabled
        self._staged: dict[str, bytearray] = {}
        self._truncate_to_bytes: dict[str, int] = {}  # sizes to restore before the next use
        self._descriptors: dict[str, int] = {}
        self._synced_names: set[str] = set()
        # A single thread: a write whose caller was cancelled finishes before the next one starts.
        # Two concurrent writes would take each other's bytes for a partial write and truncate them.
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
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self._folder / name, flags, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def append(self, name: str, data: bytes) -> None:
        """Stage bytes to be appended to a file; ``sync`` writes them."""
        self._staged.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str) -> None:
        """Write and sync the staged bytes, and at the first sync of a file also its folder.

        A slow disk blocks only the writer thread. If the write fails, the file is truncated to
        its previous size.
        """
        data = bytes(self._staged.pop(name, b""))
        await self._write(self._write_and_sync, name, data)

    async def _write(self, what: Callable[[str, bytes], None], name: str, data: bytes) -> None:
        # Shielded: otherwise a queued write would be dropped when its caller is cancelled, and
        # the state in memory would stay ahead of the disk.
        loop = asyncio.get_running_loop()
        writing = loop.run_in_executor(self._writer, what, name, data)
        writing.add_done_callback(_consume_failure)
        await asyncio.shield(writing)

    def _write_and_sync(self, name: str, data: bytes) -> None:
        try:
            for damaged in list(self._truncate_to_bytes):
                self._truncate_failed_write(damaged)
            descriptor = self._descriptor(name)
            self._truncate_to_bytes[name] = os.fstat(descriptor).st_size
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            if self._sync_enabled:
                os.fdatasync(descriptor)
                if name not in self._synced_names:
                    self._sync_folder()
                    self._synced_names.add(name)
            self._truncate_to_bytes.pop(
                name, None
            )  # the file may have been removed in the meantime
        except OSError as error:
            self._try_truncate_failed_write(name)
            raise StorageError(str(error), step="sync", peer=name) from error

    def _truncate_failed_write(self, name: str) -> None:
        """Truncate a file after a failed write, so that no partial record remains."""
        if name in self._truncate_to_bytes:
            os.ftruncate(self._descriptor(name), self._truncate_to_bytes[name])
            os.fdatasync(self._descriptor(name))
            self._truncate_to_bytes.pop(name, None)

    def _try_truncate_failed_write(self, name: str) -> None:
        try:
            self._truncate_failed_write(name)
        except OSError:
            pass  # retried before the next write

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, rename it over the old one, and sync the folder."""
        await self._write(self._replace, name, data)

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}.new"
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._folder / name)
            self._sync_folder()
        except OSError as error:
            self._try_remove(temporary)  # a partial file would occupy disk space
            raise StorageError(str(error), step="replace", peer=name) from error

    @staticmethod
    def _try_remove(path: Path) -> None:
        try:
            path.unlink(missing_ok=True)
        except OSError:
            pass  # the next replacement of the file overwrites it

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file and sync it; if this fails, retry before the next write."""
        self._discard_state(name)
        self._truncate_to_bytes[name] = size
        self._try_truncate_failed_write(name)

    async def delete(self, name: str) -> None:
        """Remove a file if it exists; a slow disk blocks only a worker thread."""
        damaged = self._truncate_to_bytes.get(name)
        self._discard_state(name)
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._delete, name)
        except StorageError:
            if damaged is not None:
                self._truncate_to_bytes[name] = damaged  # the file is truncated before its next use
            raise

    def _delete(self, name: str) -> None:
        try:
            (self._folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise StorageError(str(error), step="delete", peer=name) from error

    def _discard_state(self, name: str) -> None:
        self._truncate_to_bytes.pop(name, None)
        descriptor = self._descriptors.pop(name, None)
        self._synced_names.discard(name)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Close all open files; a write in progress may still finish."""
        self._writer.shutdown(wait=False, cancel_futures=True)
        for name in list(self._descriptors):
            self._discard_state(name)
