"""A member that was made a voter just before the leader was lost can vote."""

import asyncio
import logging
import unittest

from heronladder_consensus.members import voters
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.timing import ConsensusTiming
from heronladder_schema.v1 import consensus_pb2
from replaced_group import play
from support import Group, run_virtual

_BROKEN_SEED = 255  # no leader for good, by a listed voter that could not vote


async def _group_with_uncommitted_promotion() -> tuple[Group, ConsensusNode[int], str]:
    """Return a group of three whose third member is lost, its replacement, and its leader's name.

    The replacement holds the entry that lists it as a voter, and does not know that it is
    committed. The leader is down.
    """
    group = Group()
    group.timing = ConsensusTiming(0.8, 1000, losses=1)
    leader = await group.start_all()
    lost = next(name for name in group.names if name != leader.name)
    await group.crash(lost)
    new = await group.start("new", joining=True)
    async with asyncio.timeout(10):
        while not new.is_listed_voter():
            await asyncio.sleep(0.001)
    await group.crash(leader.name)
    return group, new, leader.name


class PromotedVoterTest(unittest.TestCase):
    def test_the_group_elects_a_leader_though_the_promotion_was_not_committed(self) -> None:
        """Guards against a quorum that needs a vote which only the next leader would allow."""

        async def scenario() -> None:
            group, new, earlier_leader = await _group_with_uncommitted_promotion()
            self.assertFalse(new.hard_state.voting_allowed)
            await group.start(earlier_leader)
            leader = await group.leader()
            await leader.propose(b"afterwards")
            self.assertIn("new", [member.name for member in voters(leader.membership())])
            await group.stop()

        run_virtual(scenario())

    def test_a_listed_voter_grants_no_vote_in_the_term_of_its_promotion(self) -> None:
        """An earlier folder of the member may have voted in that term already."""

        async def scenario() -> None:
            group, new, _ = await _group_with_uncommitted_promotion()
            other = next(node for node in group.nodes.values() if node is not new)
            await asyncio.sleep(1.0)

            def request(term: int) -> consensus_pb2.VoteRequest:
                return consensus_pb2.VoteRequest(
                    term=term,
                    candidate=other.name,
                    incarnation=other.hard_state.incarnation,
                    last_index=new.log.last_index,
                    last_term=new.log.last_term,
                )

            self.assertFalse((await new.election.handle(request(new.term))).granted)
            self.assertTrue((await new.election.handle(request(new.term + 1))).granted)
            await group.stop()

        run_virtual(scenario())

    def test_a_replacement_promoted_as_the_leader_is_lost(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.assertEqual(play(_BROKEN_SEED).broken, [])


if __name__ == "__main__":
    unittest.main()
