"""gRPC calls from other members whose deadline expires while this member's disk is slow."""

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
_MAX_WAIT_S = 10.0


def _append(*, previous: int, command: bytes) -> consensus_pb2.AppendRequest:
    entry = consensus_pb2.LogEntry(index=previous + 1, term=1, command=command)
    return consensus_pb2.AppendRequest(
        term=1,
        leader="m1",
        previous_index=previous,
        previous_term=1 if previous else 0,
        entries=[entry],
    )


class ExpiredCallTest(unittest.IsolatedAsyncioTestCase):
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

    async def _call_until_deadline(self, call: Any, request: Any) -> None:
        with self.assertRaises(grpc.RpcError):
            await call(request, timeout=_DEADLINE_S)
        await asyncio.sleep(0.1)  # until the server has noticed the deadline

    async def test_entries_of_an_expired_call_are_written_once(self) -> None:
        """Guards against a write lock that is released too early: each call wrote all again."""
        first = _append(previous=0, command=b"first-command")
        with _slow_disk_call("fdatasync") as release:
            await self._call_until_deadline(self.stub.AppendEntries, first)
            self.assertTrue(self.node.write_lock.locked())
            again = asyncio.ensure_future(self.stub.AppendEntries(first, timeout=_MAX_WAIT_S))
            await asyncio.sleep(0.1)
            release.set()
            reply = await again
        self.assertTrue(reply.success)
        later = _append(previous=1, command=b"second-command")
        self.assertTrue((await self.stub.AppendEntries(later, timeout=_MAX_WAIT_S)).success)
        log = next(self.folder.glob("segment-*")).read_bytes()
        self.assertEqual(log.count(b"first-command"), 1)
        stored = LogStorage(FolderDisk(self.folder)).load().entries
        self.assertEqual([entry.command for entry in stored], [b"first-command", b"second-command"])

    async def test_a_snapshot_of_an_expired_call_is_kept_on_disk_and_in_memory(self) -> None:
        """Guards against a log in memory whose files the snapshot has removed from disk."""
        await self.stub.AppendEntries(_append(previous=0, command=b"x"), timeout=_MAX_WAIT_S)
        meta = consensus_pb2.SnapshotMeta(index=7, term=1)
        chunk = consensus_pb2.SnapshotChunk(term=1, leader="m1", meta=meta, data=b"a\nb", last=True)
        with _slow_disk_call("fsync") as release:
            await self._call_until_deadline(self.stub.InstallSnapshot, chunk)
            release.set()
            async with asyncio.timeout(_MAX_WAIT_S):
                while self.node.commit_index < 7:
                    await asyncio.sleep(0.01)
        self.assertEqual((self.node.log.base_index, self.node.log.last_index), (7, 7))
        stored = LogStorage(FolderDisk(self.folder)).load()
        assert stored.snapshot is not None
        self.assertEqual((stored.snapshot.meta.index, len(stored.entries)), (7, 0))

    async def test_a_vote_of_an_expired_call_is_not_granted_to_another(self) -> None:
        request = consensus_pb2.VoteRequest(term=3, candidate="m1", incarnation="i1")
        with _slow_disk_call("fsync") as release:
            await self._call_until_deadline(self.stub.RequestVote, request)
            request.candidate, request.incarnation = "m2", "i2"
            other = asyncio.ensure_future(self.stub.RequestVote(request, timeout=_MAX_WAIT_S))
            await asyncio.sleep(0.1)
            self.assertFalse(other.done())
            release.set()
            reply = await other
        self.assertFalse(reply.granted)
        stored = LogStorage(FolderDisk(self.folder)).load().hard_state
        self.assertEqual((stored.term, stored.voted_for), (3, "m1"))


@contextmanager
def _slow_disk_call(call: str) -> Iterator[threading.Event]:
    """Block the first call of an ``os`` function until the yielded event is set."""
    release, begun, real = threading.Event(), threading.Event(), getattr(os, call)

    def slow(descriptor: int) -> None:
        if not begun.is_set():
            begun.set()
            release.wait(_MAX_WAIT_S)
        real(descriptor)

    with mock.patch(f"os.{call}", slow):
        yield release


if __name__ == "__main__":
    unittest.main()
