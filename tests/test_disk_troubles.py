"""A member whose disk refuses, holds up or half takes what it is to write."""

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

    async def test_a_whole_file_that_does_not_fit_leaves_nothing_behind(self) -> None:
        """Its half would take the room that the log still has."""
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
        whole = segment.read_bytes()
        segment.write_bytes(whole + b"\x07\x00half a record")
        disk = FolderDisk(self.folder)
        storage = LogStorage(disk)
        refusal = mock.patch("heronladder_runtime.disk.os.fsync", side_effect=_FULL)
        cut = mock.patch("heronladder_runtime.disk.os.ftruncate", side_effect=_FULL)
        with refusal, cut:
            self.assertEqual(len(storage.load().entries), 3)
            with self.assertRaises(StorageError):
                await storage.append(_entries(4, 4))
        self.assertEqual(segment.read_bytes()[: len(whole)], whole)
        await storage.append(_entries(4, 4))  # there is room again
        loaded = LogStorage(FolderDisk(self.folder)).load()
        self.assertEqual((len(loaded.entries), loaded.dropped_bytes), (4, 0))

    async def test_half_a_record_is_gone_before_the_next_one(self) -> None:
        await self.storage.append(_entries(1, 2))
        refusal = mock.patch("heronladder_runtime.disk.os.fdatasync", side_effect=_FULL)
        with refusal, self.assertRaises(StorageError):
            await self.storage.append(_entries(3, 3))
        await self.storage.append(_entries(3, 4))
        loaded = LogStorage(FolderDisk(self.folder)).load()
        self.assertEqual((len(loaded.entries), loaded.dropped_bytes), (4, 0))

    async def test_a_removal_that_is_refused_is_an_error_of_storage(self) -> None:
        await self.storage.append(_entries(1, 2))
        refused = mock.patch.object(Path, "unlink", side_effect=_FULL)
        with refused, self.assertRaises(StorageError):
            await self.disk.delete(next(self.folder.iterdir()).name)

    async def test_a_snapshot_holds_whatever_removal_the_disk_refuses_after_it(self) -> None:
        """The member took it for not saved; files that were gone were still written to, and a
        log without its middle kept the member from starting."""
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
            if drop_log:  # nothing of the log that the snapshot replaced may come back
                self.assertEqual(LogStorage(FolderDisk(Path(folder))).load().entries, [])
            entry = consensus_pb2.LogEntry(index=3, term=meta.term, command=b"new")
            await storage.append([entry])
            disk.close()
            loaded = LogStorage(FolderDisk(Path(folder))).load()
            assert loaded.snapshot is not None
            self.assertEqual(loaded.snapshot.meta.index, 2)
            self.assertEqual(loaded.entries, [entry])

    async def test_a_torn_file_that_cannot_be_removed_is_still_cut_before_it_is_used(self) -> None:
        await self.storage.append(_entries(1, 2))
        name = next(self.folder.iterdir()).name
        sync = mock.patch("heronladder_runtime.disk.os.fdatasync", side_effect=_FULL)
        cut = mock.patch("heronladder_runtime.disk.os.ftruncate", side_effect=_FULL)
        with sync, cut, self.assertRaises(StorageError):
            await self.storage.append(_entries(3, 3))
        refused = mock.patch.object(Path, "unlink", side_effect=_FULL)
        with refused, self.assertRaises(StorageError):
            await self.disk.delete(name)
        before = len(self.disk.read(name))
        await self.storage.append(_entries(3, 3))
        self.assertEqual(len(self.disk.read(name)), before)


class MemberWithDiskTroublesTest(unittest.TestCase):
    def test_acknowledgements_go_on_while_the_leader_s_disk_holds_up_a_snapshot(self) -> None:
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
            self.assertGreater(leader.log.base_index, 0)  # a snapshot came about after all
            commands = list(group.machines[leader.name].commands)
            await group.crash(leader.name)
            await group.start(leader.name)  # its files are whole
            await asyncio.sleep(3)
            self.assertEqual(group.machines[leader.name].commands, commands)
            await group.stop()

        run_virtual(scenario())

    def test_a_refused_removal_does_not_end_applying(self) -> None:
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

    def test_a_snapshot_whose_removals_are_refused_is_saved_and_they_come_next_time(self) -> None:
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

    def test_a_snapshot_that_fails_in_any_way_is_tried_again_in_a_while(self) -> None:
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

    def test_a_snapshot_that_does_not_fit_is_tried_again_in_a_while_not_at_each_entry(
        self,
    ) -> None:
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

    def test_a_snapshot_that_a_follower_cannot_keep_is_not_sent_at_each_heartbeat(self) -> None:
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

    def test_a_follower_that_cannot_keep_a_snapshot_hears_of_its_leader_and_is_no_quorum(
        self,
    ) -> None:
        """It heard nothing until the next try, and knew no leader; its refusals counted as
        answers."""

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
                silent_s = group.environment.monotonic() - node.last_heard_s
                self.assertLess(silent_s, 2 * group.timing.heartbeat_s)
                self.assertFalse(leader.replication.reachable(name))
            await group.stop()

        run_virtual(scenario())

    def test_a_snapshot_of_a_term_that_the_disk_refuses_is_refused_in_words(self) -> None:
        """The error went through to the caller, who took the member for gone."""

        async def scenario() -> None:
            group = Group()
            leader = await group.start_all()
            name = next(name for name in group.names if name != leader.name)
            group.disks[name].fail_syncs = True
            meta = consensus_pb2.SnapshotMeta(index=100, term=leader.term + 1)
            chunk = consensus_pb2.SnapshotChunk(
                term=leader.term + 1, leader=leader.name, meta=meta, data=b"x", last=True
            )
            reply = await group.nodes[name].snapshot_intake.answer(chunk)
            self.assertTrue(reply.disk_refuses)
            self.assertFalse(reply.success)
            await group.stop()

        run_virtual(scenario())

    def test_two_members_of_five_with_full_disks_cost_nothing_and_come_back_by_themselves(
        self,
    ) -> None:
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

    def test_a_follower_with_a_full_disk_says_so_once_and_once_that_it_is_back(self) -> None:
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
        told = [line for line in logs.output if "event=disk_" in line]
        self.assertEqual(len(told), 2, told)
        self.assertIn("event=disk_refuses_writes", told[0])
        self.assertIn("event=disk_takes_writes", told[1])

    def test_followers_with_full_disks_are_no_quorum(self) -> None:
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
