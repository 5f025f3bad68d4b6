"""Membership that a member learns from a snapshot: it counts as if its entry had been applied."""

import asyncio
import unittest

from heronladder_consensus.members import find_member
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.storage import LogStorage, StoredSnapshot
from heronladder_schema.v1 import consensus_pb2
from support import Group, run_virtual

_SNAPSHOT_ENTRIES = 20
_INCARNATION = "folder-of-m1"


async def _repair_until_listed(group: Group, victim: str) -> None:
    """Replace a member's disk, and crash it before it learns that it is a voter again."""
    leader = await group.leader()
    await group.crash(victim, wipe=True)
    repaired = await group.start(victim)
    while True:
        member = find_member(leader.membership(), victim)
        assert member is not None
        if member.voter and member.incarnation == repaired.hard_state.incarnation:
            break
        await asyncio.sleep(0.001)
    assert not repaired.hard_state.voting_allowed
    await group.crash(victim)


async def _propose_past_the_log(group: Group) -> None:
    """Apply so many entries that a member that missed them is sent a snapshot."""
    leader = await group.leader()
    while leader.log.base_index < _SNAPSHOT_ENTRIES:
        await leader.propose(b"change")


def _folder_with_snapshot(group: Group, name: str) -> None:
    """Write a folder whose snapshot lists the member as a voter, but that may not vote yet."""
    members = [
        consensus_pb2.Member(name=other, address=f"{other}:1", voter=True) for other in group.names
    ]
    for member in members:
        member.incarnation = _INCARNATION if member.name == name else f"folder-of-{member.name}"
    meta = consensus_pb2.SnapshotMeta(
        index=7, term=1, membership=consensus_pb2.Membership(members=members)
    )
    storage = LogStorage(group.disks[name].handle())
    storage.load()

    async def write() -> None:
        await storage.save_hard_state(consensus_pb2.HardState(term=1, incarnation=_INCARNATION))
        await storage.save_snapshot(StoredSnapshot(meta, b""), drop_log=False)

    asyncio.run(write())
    storage.close()


class SnapshotMembershipTest(unittest.TestCase):
    def test_a_voter_that_learns_of_it_from_a_snapshot_votes(self) -> None:
        """Guards against a group without a leader for good after two of five disks are lost."""

        async def scenario(seed: int) -> None:
            group = Group(size=5, seed=seed, snapshot_entries=_SNAPSHOT_ENTRIES)
            leader = await group.start_all()
            victim, other = [name for name in group.names if name != leader.name][:2]
            await _repair_until_listed(group, victim)
            await _propose_past_the_log(group)
            returned = await group.start(victim)
            await asyncio.sleep(4)
            self.assertGreater(returned.log.base_index, 0)
            self.assertTrue(returned.may_vote())
            leader = await group.leader()
            for lost in (leader.name, other):
                await group.crash(lost, wipe=True)
            await asyncio.sleep(1)
            for lost in (leader.name, other):
                await group.start(lost)
            await (await group.leader()).propose(b"after")
            await group.stop()

        for seed in range(5):
            with self.subTest(seed=seed):
                run_virtual(scenario(seed))

    def test_a_voter_that_learns_of_it_from_its_own_snapshot_votes(self) -> None:
        """Guards against a member without a vote whose snapshot covers its admission."""
        group = Group()
        _folder_with_snapshot(group, "m1")

        async def scenario() -> ConsensusNode[int]:
            node = await group.start("m1")
            await asyncio.sleep(0.5)
            await group.stop()
            return node

        self.assertTrue(run_virtual(scenario()).may_vote())
        loaded = LogStorage(group.disks["m1"].handle()).load()
        self.assertTrue(loaded.hard_state.voting_allowed)


if __name__ == "__main__":
    unittest.main()
