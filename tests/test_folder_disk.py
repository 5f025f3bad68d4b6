"""Data folder of a member whose disk is slow and whose callers are cancelled."""

import asyncio
import gc
import os
import tempfile
import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

from heronladder_consensus.member_state import MemberState
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming
from heronladder_runtime.clock import Environment
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.errors import StorageError

_MAX_WAIT_S = 5.0


class CancelledWriteTest(unittest.IsolatedAsyncioTestCase):
    """A write continues when its caller is cancelled, as when an RPC deadline expires."""

    async def test_a_cancelled_write_completes_before_the_next_one(self) -> None:
        """Guards against two concurrent writes to one file.

        The later write took the bytes of the earlier one for a partial write and truncated them.
        AppendEntries failed with a KeyError, and batches of the log could be in the wrong order,
        with later entries lost.
        """
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            sync, release, stuck = os.fdatasync, threading.Event(), threading.Event()

            def slow(descriptor: int) -> None:
                if not stuck.is_set():
                    stuck.set()
                    release.wait(_MAX_WAIT_S)
                sync(descriptor)

            with mock.patch("os.fdatasync", slow):
                disk.append("log", b"first,")
                cancelled = asyncio.create_task(disk.sync("log"))
                while not stuck.is_set():
                    await asyncio.sleep(0.01)
                cancelled.cancel()
                disk.append("log", b"second")
                later = asyncio.create_task(disk.sync("log"))
                await asyncio.sleep(0.1)
                release.set()
                await later
            self.assertEqual(disk.read("log"), b"first,second")

    async def test_a_cancelled_replacement_does_not_undo_the_next_one(self) -> None:
        """Guards against a vote that is undone on disk, and could be granted twice in one term."""
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            write, release, stuck = FolderDisk._replace, threading.Event(), threading.Event()

            def slow(own: FolderDisk, name: str, data: bytes) -> None:
                if not stuck.is_set():
                    stuck.set()
                    release.wait(_MAX_WAIT_S)
                write(own, name, data)

            with mock.patch.object(FolderDisk, "_replace", slow):
                cancelled = asyncio.create_task(disk.replace("state", b"first"))
                while not stuck.is_set():
                    await asyncio.sleep(0.01)
                cancelled.cancel()
                later = asyncio.create_task(disk.replace("state", b"second"))
                await asyncio.sleep(0.1)
                release.set()
                await later
                await asyncio.sleep(0.1)
            self.assertEqual(disk.read("state"), b"second")

    async def test_a_replacement_cancelled_in_the_queue_is_still_written(self) -> None:
        """Guards against a cancelled write that leaves a term in memory that is never on disk."""
        with tempfile.TemporaryDirectory() as folder, _slow_disk() as slow:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            disk.append("log", b"x")
            first = asyncio.create_task(disk.sync("log"))
            await slow.wait_stuck()
            cancelled = asyncio.create_task(disk.replace("state", b"new"))
            await asyncio.sleep(0.05)
            cancelled.cancel()
            await asyncio.sleep(0.05)
            slow.release.set()
            await first
            await disk.sync("log")  # writes share one thread, so earlier ones are complete
            self.assertEqual(disk.read("state"), b"new")

    async def test_removing_a_file_while_its_last_write_ends_is_no_error(self) -> None:
        """Guards against a KeyError when a snapshot removes a file whose write is ending."""
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            sync, release, synced = os.fdatasync, threading.Event(), threading.Event()

            def slow(descriptor: int) -> None:
                sync(descriptor)
                synced.set()
                release.wait(_MAX_WAIT_S)

            with mock.patch("os.fdatasync", slow):
                disk.append("log", b"x")
                write = asyncio.create_task(disk.sync("log"))
                while not synced.is_set():
                    await asyncio.sleep(0.01)
                await disk.delete("log")
                release.set()
                await write
            self.assertEqual(disk.names(), [])

    async def test_a_write_that_fails_after_cancellation_leaves_no_unhandled_error(self) -> None:
        """A member that stops during a write closes the file while the write is in progress."""
        unhandled: list[dict[str, object]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: unhandled.append(context))
        with tempfile.TemporaryDirectory() as folder, _slow_disk() as slow:
            disk = FolderDisk(Path(folder))
            disk.append("log", b"x")
            write = asyncio.create_task(disk.sync("log"))
            await slow.wait_stuck()
            write.cancel()
            await asyncio.sleep(0.05)
            disk.close()
            slow.release.set()
            await asyncio.sleep(0.1)
            del write
            gc.collect()
        self.assertEqual(unhandled, [])


class CancelledTermTest(unittest.IsolatedAsyncioTestCase):
    """A caller that is cancelled while a member enters a term."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.disk = FolderDisk(self.folder)
        self.addCleanup(self.disk.close)
        storage = LogStorage(self.disk)
        self.state = MemberState(
            "m0",
            storage,
            storage.load(),
            mock.Mock(),
            ConsensusTiming(),
            Environment(),
        )
        self.addAsyncCleanup(self.state.tasks.stop)

    def _kept(self) -> tuple[int, str]:
        stored = LogStorage(FolderDisk(self.folder)).load().hard_state
        return stored.term, stored.voted_for

    async def test_a_term_is_used_only_once_it_is_durable(self) -> None:
        with _slow_disk() as slow:
            self.disk.append("log", b"x")
            first = asyncio.create_task(self.disk.sync("log"))
            await slow.wait_stuck()
            cancelled = asyncio.create_task(self.state.enter_term(5, "m1"))
            other = asyncio.create_task(self.state.save_hard_state())
            await asyncio.sleep(0.05)
            cancelled.cancel()
            await asyncio.sleep(0.05)
            again = asyncio.create_task(self.state.enter_term(5, "m1"))
            await asyncio.sleep(0.05)
            self.assertFalse(again.done(), "the term is not on the disk yet")
            slow.release.set()
            await asyncio.gather(first, again, other)
        self.assertEqual(self._kept(), (5, "m1"))
        self.assertEqual((self.state.term, self.state.hard_state.voted_for), (5, "m1"))

    async def test_a_term_whose_write_fails_after_cancellation_is_reverted(self) -> None:
        refuses = StorageError("full", step="replace", peer="hard-state")
        release = asyncio.Event()

        async def refuse(_state: object) -> None:
            await release.wait()
            raise refuses

        with mock.patch.object(self.state.storage, "save_hard_state", refuse):
            cancelled = asyncio.create_task(self.state.enter_term(5, "m1"))
            await asyncio.sleep(0.01)
            cancelled.cancel()
            await asyncio.sleep(0.01)
            release.set()
            await asyncio.sleep(0.05)
        self.assertEqual((self.state.term, self.state.hard_state.voted_for), (0, ""))


class _SlowDisk:
    """Blocks the first ``fdatasync`` until ``release`` is set."""

    def __init__(self) -> None:
        self.release = threading.Event()
        self._stuck = threading.Event()
        self._sync = os.fdatasync

    def sync(self, descriptor: int) -> None:
        if not self._stuck.is_set():
            self._stuck.set()
            self.release.wait(_MAX_WAIT_S)
        self._sync(descriptor)

    async def wait_stuck(self) -> None:
        while not self._stuck.is_set():
            await asyncio.sleep(0.01)


@contextmanager
def _slow_disk() -> Iterator[_SlowDisk]:
    slow = _SlowDisk()
    with mock.patch("os.fdatasync", slow.sync):
        yield slow


if __name__ == "__main__":
    unittest.main()
