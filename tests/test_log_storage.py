"""Storage of a member in a real folder."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from heronladder_consensus.storage import LogStorage
from heronladder_runtime.disk import FolderDisk
from heronladder_schema.v1 import consensus_pb2


class HardStateTest(unittest.IsolatedAsyncioTestCase):
    async def test_votes_saved_concurrently_are_kept_in_order(self) -> None:
        """Guards against concurrent writes, one of which found its temporary file renamed."""
        with tempfile.TemporaryDirectory() as folder:
            storage = LogStorage(FolderDisk(Path(folder)))
            state = consensus_pb2.HardState(incarnation="i")

            async def vote(term: int) -> None:
                state.term = term
                await storage.save_hard_state(state)

            for first in range(0, 400, 8):
                await asyncio.gather(*(vote(first + number) for number in range(8)))
                stored = LogStorage(FolderDisk(Path(folder))).load().hard_state
                self.assertEqual(stored.term, first + 7)


if __name__ == "__main__":
    unittest.main()
