"""Files of a member's data folder while the disk is slow and callers give up."""

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

_LONGEST_S = 5.0


class GivenUpWriteTest(unittest.IsolatedAsyncioTestCase):
    """A leader that waits too long for a follower ends its call; the write goes on."""

    async def test_a_write_that_was_given_up_ends_before_the_next_one(self) -> None:
        """Both wrote at once: the later took the earlier's bytes for half a write.

        It cut them off, its own end failed with a KeyError in AppendEntries, and batches of
        the log could stand in the wrong order, the later entries lost.
        """
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            sync, go, stuck = os.fdatasync, threading.Event(), threading.Event()

            def slow(descriptor: int) -> None:
                if not stuck.is_set():
                    stuck.set()
                    go.wait(_LONGEST_S)
                sync(descriptor)

            with mock.patch("os.fdatasync", slow):
                disk.append("log", b"first,")
                given_up = asyncio.create_task(disk.sync("log"))
                while not stuck.is_set():
                    await asyncio.sleep(0.01)
                given_up.cancel()
                disk.append("log", b"second")
                later = asyncio.create_task(disk.sync("log"))
                await asyncio.sleep(0.1)
                go.set()
                await later
            self.assertEqual(disk.read("log"), b"first,second")

    async def test_a_replacement_that_was_given_up_does_not_undo_the_next_one(self) -> None:
        """A vote that was taken back so could be given twice in one term."""
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            write, go, stuck = FolderDisk._replace, threading.Event(), threading.Event()

            def slow(own: FolderDisk, name: str, data: bytes) -> None:
                if not stuck.is_set():
                    stuck.set()
                    go.wait(_LONGEST_S)
                write(own, name, data)

            with mock.patch.object(FolderDisk, "_replace", slow):
                given_up = asyncio.create_task(disk.replace("state", b"first"))
                while not stuck.is_set():
                    await asyncio.sleep(0.01)
                given_up.cancel()
                later = asyncio.create_task(disk.replace("state", b"second"))
                await asyncio.sleep(0.1)
                go.set()
                await later
                await asyncio.sleep(0.1)
            self.assertEqual(disk.read("state"), b"second")

    async def test_a_replacement_given_up_before_its_turn_is_written_all_the_same(self) -> None:
        """It was dropped: memory had a term that the disk never got, and nobody wrote it later."""
        with tempfile.TemporaryDirectory() as folder, _slow_disk() as slow:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            disk.append("log", b"x")
            first = asyncio.create_task(disk.sync("log"))
            await slow.wait_stuck()
            given_up = asyncio.create_task(disk.replace("state", b"new"))
            await asyncio.sleep(0.05)
            given_up.cancel()
            await asyncio.sleep(0.05)
            slow.go.set()
            await first
            await disk.sync("log")  # one thread: what was queued before is done
            self.assertEqual(disk.read("state"), b"new")

    async def test_a_file_removed_while_its_last_write_ends_is_no_error(self) -> None:
        """A snapshot that came with the write's end took its note away: a KeyError in a call."""
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            self.addCleanup(disk.close)
            sync, go, synced = os.fdatasync, threading.Event(), threading.Event()

            def slow(descriptor: int) -> None:
                sync(descriptor)
                synced.set()
                go.wait(_LONGEST_S)

            with mock.patch("os.fdatasync", slow):
                disk.append("log", b"x")
                write = asyncio.create_task(disk.sync("log"))
                while not synced.is_set():
                    await asyncio.sleep(0.01)
                await disk.delete("log")
                go.set()
                await write
            self.assertEqual(disk.names(), [])

    async def test_a_write_that_fails_after_its_caller_went_is_no_stray_error(self) -> None:
        """A member that is stopped in mid-write closes its files under it."""
        stray: list[dict[str, object]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: stray.append(context))
        with tempfile.TemporaryDirectory() as folder, _slow_disk() as slow:
            disk = FolderDisk(Path(folder))
            disk.append("log", b"x")
            write = asyncio.create_task(disk.sync("log"))
            await slow.wait_stuck()
            write.cancel()
            await asyncio.sleep(0.05)
            disk.close()
            slow.go.set()
            await asyncio.sleep(0.1)
            del write
            gc.collect()
        self.assertEqual(stray, [])


class GivenUpTermTest(unittest.IsolatedAsyncioTestCase):
    """A caller that goes while a member enters a term."""

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
        kept = LogStorage(FolderDisk(self.folder)).load().hard_state
        return kept.term, kept.voted_for

    async def test_memory_and_disk_agree_and_nobody_goes_on_before_they_do(self) -> None:
        with _slow_disk() as slow:
            self.disk.append("log", b"x")
            first = asyncio.create_task(self.disk.sync("log"))
            await slow.wait_stuck()
            given_up = asyncio.create_task(self.state.enter_term(5, "m1"))
            other = asyncio.create_task(self.state.save_hard_state())
            await asyncio.sleep(0.05)
            given_up.cancel()
            await asyncio.sleep(0.05)
            again = asyncio.create_task(self.state.enter_term(5, "m1"))
            await asyncio.sleep(0.05)
            self.assertFalse(again.done(), "the term is not on the disk yet")
            slow.go.set()
            await asyncio.gather(first, again, other)
        self.assertEqual(self._kept(), (5, "m1"))
        self.assertEqual((self.state.term, self.state.hard_state.voted_for), (5, "m1"))

    async def test_a_term_whose_write_fails_after_its_caller_went_is_taken_back(self) -> None:
        refuses = StorageError("full", step="replace", peer="hard-state")
        go = asyncio.Event()

        async def refuse(_state: object) -> None:
            await go.wait()
            raise refuses

        with mock.patch.object(self.state.storage, "save_hard_state", refuse):
            given_up = asyncio.create_task(self.state.enter_term(5, "m1"))
            await asyncio.sleep(0.01)
            given_up.cancel()
            await asyncio.sleep(0.01)
            go.set()
            await asyncio.sleep(0.05)
        self.assertEqual((self.state.term, self.state.hard_state.voted_for), (0, ""))


class _SlowDisk:
    """Holds up the first ``fdatasync`` until ``go`` is set."""

    def __init__(self) -> None:
        self.go = threading.Event()
        self._stuck = threading.Event()
        self._sync = os.fdatasync

    def sync(self, descriptor: int) -> None:
        if not self._stuck.is_set():
            self._stuck.set()
            self.go.wait(_LONGEST_S)
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
