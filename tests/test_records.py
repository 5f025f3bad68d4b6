"""Damaged record files: a torn end is dropped, damage before the end raises an error."""

import random
import unittest

from heronladder_consensus.storage import LogStorage
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_runtime.errors import CorruptFileError
from heronladder_runtime.records import frame_record, scan_records
from heronladder_schema.v1 import consensus_pb2
from support import run_virtual

PAYLOADS = [b"one", b"", b"three" * 40]


class ScanTest(unittest.TestCase):
    def test_a_file_truncated_at_any_byte_keeps_the_complete_records(self) -> None:
        data = b"".join(frame_record(payload) for payload in PAYLOADS)
        ends = [0]
        for payload in PAYLOADS:
            ends.append(ends[-1] + len(frame_record(payload)))
        for size in range(len(data) + 1):
            scan = scan_records(data[:size], "f", last_file=True)
            complete = sum(1 for end in ends[1:] if end <= size)
            self.assertEqual(scan.payloads, PAYLOADS[:complete])
            self.assertEqual(scan.good_size, ends[complete])

    def test_a_damaged_byte_before_the_last_record_is_reported(self) -> None:
        data = b"".join(frame_record(payload) for payload in PAYLOADS)
        last_start = len(data) - len(frame_record(PAYLOADS[-1]))
        for position in range(last_start):
            damaged = bytearray(data)
            damaged[position] ^= 0x10
            with self.assertRaises(CorruptFileError) as caught:
                scan_records(bytes(damaged), "segment-1", last_file=True)
            self.assertRegex(caught.exception.peer, r"^segment-1:\d+$")

    def test_a_sealed_file_may_not_end_in_a_torn_record(self) -> None:
        data = frame_record(b"one")[:-1]
        with self.assertRaises(CorruptFileError):
            scan_records(data, "segment-1", last_file=False)


class StorageTest(unittest.TestCase):
    def test_recovers_to_the_last_synced_entry_after_a_crash_in_a_write(self) -> None:
        for seed in range(30):
            run_virtual(self._crash_in_write(seed))

    async def _crash_in_write(self, seed: int) -> None:
        disk = MemoryDisk(random.Random(seed))
        storage = LogStorage(disk.handle())
        storage.load()
        entries = [
            consensus_pb2.LogEntry(index=number, term=1, command=b"x" * number)
            for number in range(1, 6)
        ]
        await storage.append(entries[:2])
        await storage.append(entries[2:3])
        record = consensus_pb2.LogBatch(entries=entries[3:]).SerializeToString()
        disk.append("segment-00000000000000000001", frame_record(record))
        disk.crash()
        state = LogStorage(disk.handle()).load()
        self.assertIn(len(state.entries), (3, 5))
        self.assertEqual([entry.index for entry in state.entries[:3]], [1, 2, 3])

    def test_a_later_batch_replaces_entries_from_its_first_index(self) -> None:
        async def scenario() -> list[tuple[int, int]]:
            disk = MemoryDisk(random.Random(1))
            storage = LogStorage(disk.handle())
            storage.load()
            old = [consensus_pb2.LogEntry(index=number, term=1) for number in (1, 2, 3, 4)]
            await storage.append(old)
            await storage.append([consensus_pb2.LogEntry(index=2, term=2)])
            state = LogStorage(disk.handle()).load()
            return [(entry.index, entry.term) for entry in state.entries]

        self.assertEqual(run_virtual(scenario()), [(1, 1), (2, 2)])
