"""Files of a member's data folder while the disk is slow and callers give up."""

import asyncio
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from heronladder_runtime.disk import FolderDisk

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


if __name__ == "__main__":
    unittest.main()
