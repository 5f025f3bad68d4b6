"""Calls of other members, over gRPC, whose callers give up while this member's disk is slow."""

import asyncio
import os
import tempfile
import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import grpc
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming
from heronladder_runtime.clock import Environment
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import add_ConsensusServicer_to_server
from support import AppendingMachine

_DEADLINE_S = 0.3
_LONGEST_S = 10.0


def _append(*, previous: int, command: bytes) -> consensus_pb2.AppendRequest:
    entry = consensus_pb2.LogEntry(index=previous + 1, term=1, command=command)
    return consensus_pb2.AppendRequest(
        term=1,
        leader="m1",
        previous_index=previous,
        previous_term=1 if previous else 0,
        entries=[entry],
    )


class GivenUpCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        stubs = GrpcStubs()
        self.addAsyncCleanup(stubs.close)
        self.node = ConsensusNode(
            "m0",
            LogStorage(FolderDisk(self.folder)),
            AppendingMachine(),
            stubs,
            [
                consensus_pb2.Member(name=name, address=f"{name}:1", voter=True)
                for name in ("m0", "m1", "m2")
            ],
            ConsensusTiming(),
            Environment(),
            lambda error: None,
        )
        self.node.hard_state.voting_allowed = True
        self.node.hard_state.bootstrap.members.add(name="m0", voter=True)
        self.addAsyncCleanup(self.node.stop)
        server = make_server()
        add_ConsensusServicer_to_server(ConsensusService(self.node), server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        self.stub = stubs.consensus(f"127.0.0.1:{port}")

    async def _give_up(self, call: Any, request: Any) -> None:
        with self.assertRaises(grpc.RpcError):
            await call(request, timeout=_DEADLINE_S)
        await asyncio.sleep(0.1)  # the server's side of the deadline

    async def test_entries_whose_leader_gave_up_are_written_once_and_then_acknowledged(
        self,
    ) -> None:
        """The write lock was let go in mid-write, and each call wrote all of them again."""
        first = _append(previous=0, command=b"first-command")
        with _slow("fdatasync") as go:
            await self._give_up(self.stub.AppendEntries, first)
            self.assertTrue(self.node.write_lock.locked())
            again = asyncio.ensure_future(self.stub.AppendEntries(first, timeout=_LONGEST_S))
            await asyncio.sleep(0.1)
            go.set()
            reply = await again
        self.assertTrue(reply.success)
        later = _append(previous=1, command=b"second-command")
        self.assertTrue((await self.stub.AppendEntries(later, timeout=_LONGEST_S)).success)
        log = next(self.folder.glob("segment-*")).read_bytes()
        self.assertEqual(log.count(b"first-command"), 1)
        kept = LogStorage(FolderDisk(self.folder)).load().entries
        self.assertEqual([one.command for one in kept], [b"first-command", b"second-command"])

    async def test_a_snapshot_whose_leader_gave_up_holds_on_disk_and_in_memory(self) -> None:
        """Its files were written and the log's removed; memory kept the log that was gone."""
        await self.stub.AppendEntries(_append(previous=0, command=b"x"), timeout=_LONGEST_S)
        meta = consensus_pb2.SnapshotMeta(index=7, term=1)
        chunk = consensus_pb2.SnapshotChunk(term=1, leader="m1", meta=meta, data=b"a\nb", last=True)
        with _slow("fsync") as go:
            await self._give_up(self.stub.InstallSnapshot, chunk)
            go.set()
            async with asyncio.timeout(_LONGEST_S):
                while self.node.commit_index < 7:
                    await asyncio.sleep(0.01)
        self.assertEqual((self.node.log.base_index, self.node.log.last_index), (7, 7))
        kept = LogStorage(FolderDisk(self.folder)).load()
        assert kept.snapshot is not None
        self.assertEqual((kept.snapshot.meta.index, len(kept.entries)), (7, 0))

    async def test_a_vote_whose_candidate_gave_up_is_not_given_to_another(self) -> None:
        request = consensus_pb2.VoteRequest(term=3, candidate="m1", incarnation="i1")
        with _slow("fsync") as go:
            await self._give_up(self.stub.RequestVote, request)
            request.candidate, request.incarnation = "m2", "i2"
            other = asyncio.ensure_future(self.stub.RequestVote(request, timeout=_LONGEST_S))
            await asyncio.sleep(0.1)
            self.assertFalse(other.done())
            go.set()
            reply = await other
        self.assertFalse(reply.granted)
        kept = LogStorage(FolderDisk(self.folder)).load().hard_state
        self.assertEqual((kept.term, kept.voted_for), (3, "m1"))


@contextmanager
def _slow(call: str) -> Iterator[threading.Event]:
    """Hold the first call to the disk up until the event is set."""
    go, begun, real = threading.Event(), threading.Event(), getattr(os, call)

    def slow(descriptor: int) -> None:
        if not begun.is_set():
            begun.set()
            go.wait(_LONGEST_S)
        real(descriptor)

    with mock.patch(f"os.{call}", slow):
        yield go


if __name__ == "__main__":
    unittest.main()
