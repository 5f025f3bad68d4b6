"""A member whose disk refuses, delays or only partly completes writes."""

import asyncio
import errno
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.storage import LogStorage, StoredSnapshot
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.errors import StorageError
from heronladder_schema.v1 import consensus_pb2
from support import Group, run_virtual

_FULL = OSError(errno.ENOSPC, "No space left on device")
_SNAPSHOT_ENTRIES = 10


def _entries(first: int, last: int) -> list[consensus_pb2.LogEntry]:
    return [
        consensus_pb2.LogEntry(index=index, term=1, command=b"x" * 50)
        for index in range(first, last + 1)
    ]


class FullDiskFilesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.disk = FolderDisk(self.folder)
        self.storage = LogStorage(self.disk)

    def _sizes(self) -> dict[str, int]:
        return {path.name: path.stat().st_size for path in self.folder.iterdir()}

    async def test_a_file_that_does_not_fit_leaves_no_partial_file(self) -> None:
        """Guards against a partial file that uses up the space left for the log."""
        await self.storage.append(_entries(1, 3))
        before = self._sizes()
        refusal = mock.patch("heronladder_runtime.disk.os.fsync", side_effect=_FULL)
        with refusal, self.assertRaises(StorageError):
            await self.disk.replace("snapshot-1", b"s" * 10_000)
        self.assertEqual(self._sizes(), before)
        await self.storage.append(_entries(4, 4))
        self.assertEqual(len(LogStorage(FolderDisk(self.folder)).load().entries), 4)

    async def test_a_member_starts_on_a_full_disk_whose_last_write_was_torn(self) -> None:
        await self.storage.append(_entries(1, 3))
        self.storage.close()
        segment = next(self.folder.iterdir())
        intact = segment.read_bytes()
        segment.write_bytes(intact + b"\x07\x00half a record")
        disk = FolderDisk(self.folder)
        storage = LogStorage(disk)
        refusal = mock.patch("heronladder_runtime.disk.os.fsync", side_effect=_FULL)
        truncation = mock.patch("heronladder_runtime.disk.os.ftruncate", side_effect=_FULL)
        with refusal, truncation:
            self.assertEqual(len(storage.load().entries), 3)
            with self.assertRaises(StorageError):
                await storage.append(_entries(4, 4))
        self.assertEqual(segment.read_bytes()[: len(intact)], intact)
        await storage.append(_entries(4, 4))  # there is space again
        loaded = LogStorage(FolderDisk(self.folder)).load()
        self.assertEqual((len(loaded.entries), loaded.dropped_bytes), (4, 0))

    async def test_a_partial_record_is_removed_before_the_next_write(self) -> None:
        await self.storage.append(_entries(1, 2))
        refusal = mock.patch("heronladder_runtime.disk.os.fdatasync", side_effect=_FULL)
        with refusal, self.assertRaises(StorageError):
            await self.storage.append(_entries(3, 3))
        await self.storage.append(_entries(3, 4))
        loaded = LogStorage(FolderDisk(self.folder)).load()
        self.assertEqual((len(loaded.entries), loaded.dropped_bytes), (4, 0))

    async def test_a_refused_removal_raises_a_storage_error(self) -> None:
        await self.storage.append(_entries(1, 2))
        refused = mock.patch.object(Path, "unlink", side_effect=_FULL)
        with refused, self.assertRaises(StorageError):
            await self.disk.delete(next(self.folder.iterdir()).name)

    async def test_a_snapshot_is_valid_whichever_removal_fails_after_it(self) -> None:
        """Guards against a failed removal that is taken for a failed snapshot.

        The member went on writing to removed files, and a log with a gap prevented its restart.
        """
        for refused in range(4):
            for drop_log in (False, True):
                with self.subTest(refused=refused, drop_log=drop_log):
                    await self._snapshot_with_a_refused_removal(refused, drop_log=drop_log)

    async def _snapshot_with_a_refused_removal(self, refused: int, *, drop_log: bool) -> None:
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(Path(folder))
            storage = LogStorage(disk)
            with mock.patch("heronladder_consensus.storage._SEGMENT_BYTES", 1):
                for index in range(1, 5):
                    await storage.append(_entries(index, index))
            meta = consensus_pb2.SnapshotMeta(index=2, term=2 if drop_log else 1)
            unlink, calls = Path.unlink, 0

            def refuse_one(path: Path, missing_ok: bool = False) -> None:
                nonlocal calls
                calls += 1
                if calls == refused + 1:
                    raise _FULL
                unlink(path, missing_ok=missing_ok)

            with mock.patch.object(Path, "unlink", refuse_one):
                await storage.save_snapshot(StoredSnapshot(meta, b"s"), drop_log=drop_log)
            if drop_log:  # no entry of the replaced log may be loaded
                self.assertEqual(LogStorage(FolderDisk(Path(folder))).load().entries, [])
            entry = consensus_pb2.LogEntry(index=3, term=meta.term, command=b"new")
            await storage.append([entry])
            disk.close()
            loaded = LogStorage(FolderDisk(Path(folder))).load()
            assert loaded.snapshot is not None
            self.assertEqual(loaded.snapshot.meta.index, 2)
            self.assertEqual(loaded.entries, [entry])

    async def test_a_torn_file_that_cannot_be_removed_is_truncated_before_reuse(self) -> None:
        await self.storage.append(_entries(1, 2))
        name = next(self.folder.iterdir()).name
        sync = mock.patch("heronladder_runtime.disk.os.fdatasync", side_effect=_FULL)
        truncation = mock.patch("heronladder_runtime.disk.os.ftruncate", side_effect=_FULL)
        with sync, truncation, self.assertRaises(StorageError):
            await self.storage.append(_entries(3, 3))
        refused = mock.patch.object(Path, "unlink", side_effect=_FULL)
        with refused, self.assertRaises(StorageError):
            await self.disk.delete(name)
        before = len(self.disk.read(name))
        await self.storage.append(_entries(3, 3))
        self.assertEqual(len(self.disk.read(name)), before)


class MemberDiskFaultTest(unittest.TestCase):
    def test_commits_continue_while_a_slow_disk_delays_a_snapshot(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            group.disks[leader.name].sync_s = 5.0
            for number in range(3 * _SNAPSHOT_ENTRIES):
                async with asyncio.timeout(0.5):
                    await leader.propose(f"c{number}".encode())
            self.assertTrue(leader.is_leader)
            group.disks[leader.name].sync_s = 0.001
            await asyncio.sleep(15)
            self.assertGreater(leader.log.base_index, 0)  # the snapshot was saved in the end
            commands = list(group.machines[leader.name].commands)
            await group.crash(leader.name)
            await group.start(leader.name)  # from intact files
            await asyncio.sleep(3)
            self.assertEqual(group.machines[leader.name].commands, commands)
            await group.stop()

        run_virtual(scenario())

    def test_a_refused_removal_does_not_stop_applying(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            for disk in group.disks.values():
                disk.fail_deletions = True
            for number in range(3 * _SNAPSHOT_ENTRIES):
                async with asyncio.timeout(2):
                    await leader.propose(f"c{number}".encode())
            await asyncio.sleep(3)
            for machine in group.machines.values():
                self.assertEqual(len(machine.commands), 3 * _SNAPSHOT_ENTRIES)
            self.assertFalse(group.failures)
            await group.stop()

        run_virtual(scenario())

    def test_refused_removals_are_retried_with_the_next_snapshot(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            disk = group.disks[leader.name]
            disk.fail_deletions = True
            for number in range(3 * _SNAPSHOT_ENTRIES):
                await leader.propose(f"c{number}".encode())
                await asyncio.sleep(0.01)
            self.assertGreater(leader.log.base_index, _SNAPSHOT_ENTRIES)
            assert leader.snapshots.newest is not None
            self.assertGreater(leader.snapshots.newest.meta.index, 2 * _SNAPSHOT_ENTRIES)
            disk.fail_deletions = False
            for number in range(2 * _SNAPSHOT_ENTRIES):
                await leader.propose(f"d{number}".encode())
                await asyncio.sleep(0.01)
            kept = [name for name in disk.names() if name.startswith("snapshot-")]
            self.assertEqual(len(kept), 1)
            await group.stop()

        run_virtual(scenario())

    def test_a_snapshot_that_raises_is_retried_after_a_delay(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            made = 0

            def broken() -> bytes:
                nonlocal made
                made += 1
                raise ValueError("broken")

            group.machines[leader.name].snapshot = broken  # type: ignore[method-assign]
            for number in range(5 * _SNAPSHOT_ENTRIES):
                await leader.propose(f"c{number}".encode())
            self.assertLessEqual(made, 2)
            await group.stop()

        run_virtual(scenario())

    def test_a_snapshot_that_does_not_fit_is_retried_after_a_delay(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            made = 0
            snapshot = group.machines[leader.name].snapshot

            def counted() -> bytes:
                nonlocal made
                made += 1
                return snapshot()

            group.machines[leader.name].snapshot = counted  # type: ignore[method-assign]
            group.disks[leader.name].fail_replacements = True
            for number in range(5 * _SNAPSHOT_ENTRIES):
                async with asyncio.timeout(2):
                    await leader.propose(f"c{number}".encode())
            self.assertLessEqual(made, 2)
            group.disks[leader.name].fail_replacements = False
            await asyncio.sleep(10)
            await leader.propose(b"one more")
            await asyncio.sleep(1)
            self.assertGreater(leader.log.base_index, 0)
            await group.stop()

        run_virtual(scenario())

    def test_a_refused_snapshot_is_not_sent_again_at_each_heartbeat(self) -> None:
        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            name = next(name for name in group.names if name != leader.name)
            await group.crash(name)
            for number in range(3 * _SNAPSHOT_ENTRIES):
                await leader.propose(f"c{number}".encode())
            await asyncio.sleep(1)
            group.disks[name].fail_replacements = True
            node = await group.start(name)
            sent = 0
            install = node.snapshots.install

            async def counted(snapshot: StoredSnapshot) -> None:
                nonlocal sent
                sent += 1
                await install(snapshot)

            node.snapshots.install = counted  # type: ignore[method-assign]
            await asyncio.sleep(6)
            self.assertTrue(1 <= sent <= 4, sent)
            group.disks[name].fail_replacements = False
            await asyncio.sleep(6)
            self.assertEqual(len(group.machines[name].commands), 3 * _SNAPSHOT_ENTRIES)
            await group.stop()

        run_virtual(scenario())

    def test_a_follower_that_refuses_a_snapshot_gets_heartbeats_but_does_not_count(self) -> None:
        """Guards against a follower without heartbeats until the next snapshot attempt.

        It knew no leader during that time, while its refusals counted as replies for the quorum.
        """

        async def scenario() -> None:
            group = Group(snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            name = next(name for name in group.names if name != leader.name)
            await group.crash(name)
            for number in range(3 * _SNAPSHOT_ENTRIES):
                await leader.propose(f"c{number}".encode())
            await asyncio.sleep(1)
            group.disks[name].fail_replacements = True
            node = await group.start(name)
            await asyncio.sleep(2)
            for _ in range(60):
                await asyncio.sleep(0.1)
                self.assertEqual(node.leader, leader.name)
                silent_s = group.environment.monotonic() - node.election_timer_reset_s
                self.assertLess(silent_s, 2 * group.timing.heartbeat_s)
                self.assertFalse(leader.replication.reachable(name))
            await group.stop()

        run_virtual(scenario())

    def test_a_snapshot_whose_term_the_disk_refuses_gets_a_reply(self) -> None:
        """Guards against an RPC error instead of a reply: the member looked unreachable."""

        async def scenario() -> None:
            group = Group()
            leader = await group.start_all()
            name = next(name for name in group.names if name != leader.name)
            group.disks[name].fail_syncs = True
            meta = consensus_pb2.SnapshotMeta(index=100, term=leader.term + 1)
            chunk = consensus_pb2.SnapshotChunk(
                term=leader.term + 1, leader=leader.name, meta=meta, data=b"x", last=True
            )
            reply = await group.nodes[name].snapshot_receiver.handle(chunk)
            self.assertTrue(reply.disk_refuses)
            self.assertFalse(reply.success)
            await group.stop()

        run_virtual(scenario())

    def test_two_full_disks_of_five_lose_nothing_and_the_members_recover(self) -> None:
        async def scenario(seed: int) -> None:
            group = Group(size=5, seed=seed, snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            full = [leader.name, next(name for name in group.names if name != leader.name)]
            for name in full:
                group.disks[name].fail_syncs = True
            accepted = []
            for number in range(40):
                command = f"c{number}".encode()
                for _ in range(40):
                    try:
                        async with asyncio.timeout(4):
                            leader = await group.leader()
                            await leader.propose(command)
                        accepted.append(command)
                        break
                    except (NotLeaderError, LeadershipLostError, TimeoutError):
                        await asyncio.sleep(0.1)
            self.assertEqual(len(accepted), 40)
            self.assertNotIn(leader.name, full)
            for name in full:
                group.disks[name].fail_syncs = False
            await asyncio.sleep(10)
            for name in full:
                kept = set(group.machines[name].commands)
                self.assertTrue(kept.issuperset(accepted), name)
            self.assertFalse(group.failures)
            await group.stop()

        for seed in range(3):
            run_virtual(scenario(seed))

    def test_a_full_disk_is_logged_once_and_its_recovery_once(self) -> None:
        async def scenario() -> None:
            group = Group()
            leader = await group.start_all()
            name = next(name for name in group.names if name != leader.name)
            group.disks[name].fail_syncs = True
            for number in range(20):
                await leader.propose(f"c{number}".encode())
                await asyncio.sleep(0.1)
            group.disks[name].fail_syncs = False
            await asyncio.sleep(2)
            self.assertEqual(len(group.machines[name].commands), 20)
            self.assertTrue(leader.is_leader)
            await group.stop()

        with self.assertLogs("heronladder.consensus", "INFO") as logs:
            run_virtual(scenario())
        disk_events = [line for line in logs.output if "event=disk_" in line]
        self.assertEqual(len(disk_events), 2, disk_events)
        self.assertIn("event=disk_refuses_writes", disk_events[0])
        self.assertIn("event=disk_takes_writes", disk_events[1])

    def test_followers_with_full_disks_form_no_quorum(self) -> None:
        async def scenario() -> None:
            group = Group()
            leader = await group.start_all()
            for name in group.names:
                group.disks[name].fail_syncs = name != leader.name
            with self.assertRaises(LeadershipLostError):
                async with asyncio.timeout(5):
                    await leader.propose(b"never acknowledged")
            self.assertFalse(leader.is_leader)
            for disk in group.disks.values():
                disk.fail_syncs = False
            leader = await group.leader()
            await leader.propose(b"after")
            await group.stop()

        run_virtual(scenario())

    def test_a_new_member_whose_disk_is_full_starts_once_there_is_room(self) -> None:
        async def scenario() -> None:
            group = Group()
            await group.start_all()
            name = group.names[0]
            await group.crash(name, wipe=True)
            disk = group.disks[name]
            disk.fail_syncs = True
            start = asyncio.ensure_future(group.start(name))
            await asyncio.sleep(5)
            disk.fail_syncs = False
            await asyncio.sleep(5)
            self.assertTrue(start.done())
            node = await start
            leader = await group.leader()
            await leader.propose(b"after")
            await asyncio.sleep(3)
            self.assertIn(b"after", group.machines[node.name].commands)
            await group.stop()

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
