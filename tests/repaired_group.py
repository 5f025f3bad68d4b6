"""A replicated log whose members are lost and repaired again and again, in virtual time.

At most two of five members are lost at once, as the group must bear; one that is back may be lost
again at any moment of its repair. Which kinds of trouble a run has, and how often the log is
compacted, is drawn from its seed.

Usage: ``python tests/repaired_group.py --seeds 1-300``.
"""

import argparse
import asyncio
import logging
import sys
from collections.abc import Callable
from random import Random

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.members import find_member
from heronladder_consensus.node import ConsensusNode
from support import Group, run_virtual

_MEMBERS = 5
_MAX_LOST = 2
_ROUNDS = 4
_CALM_S = 8.0
_LEADER_WITHIN_S = 12.0
_MOMENT_WITHIN_S = 4.0


class RepairRun:
    """One run.

    Args:
        seed: Seed of all random values.

    Attributes:
        broken: What did not hold.
        repairs: Number of members that were started again.
        snapshots: Number of snapshots that members received.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        entries = self._random.choice((5, 20, 60))
        self.group = Group(size=_MEMBERS, seed=seed, snapshot_entries=entries)
        self._wipe_chance = self._random.choice((0.2, 0.5, 1.0))
        self._changes = self._random.choice(((0, 10), (0, 40, 100), (100,)))
        self._accepted: list[bytes] = []
        self.broken: list[str] = []
        self.repairs = 0
        self.snapshots = 0

    async def run(self) -> None:
        """Play all rounds, each with a check of the calm group."""
        await self.group.start_all()
        await asyncio.sleep(_CALM_S)
        for _ in range(_ROUNDS):
            await self._play_round()
            await asyncio.sleep(_CALM_S)
            self._check_voters()
            if self.broken:
                break
        if not self.broken:
            await self._change(1)
            await asyncio.sleep(_CALM_S)
            self._check_commands()
        await self.group.stop()

    async def _play_round(self) -> None:
        victims = self._random.sample(self.group.names, self._random.randint(1, _MAX_LOST))
        for name in victims:
            await self._lose(name)
        await self._change(self._random.choice(self._changes))
        for name in victims:
            await self._start(name)
        for _ in range(self._random.randint(0, 3)):
            name = self._random.choice(victims)
            await self._wait_for_moment(name)
            await self._lose(name)
            await self._change(self._random.choice(self._changes))
            await self._start(name)

    async def _lose(self, name: str) -> None:
        self.snapshots += self.group.nodes[name].log.base_index > 0
        await self.group.crash(name, wipe=self._random.random() < self._wipe_chance)

    async def _start(self, name: str) -> None:
        self.repairs += 1
        await self.group.start(name)

    async def _wait_for_moment(self, name: str) -> None:
        """Wait for one of the moments of a repair, or for a random time."""
        node = self.group.nodes[name]
        moment = self._random.choice(
            (
                lambda: False,
                lambda: node.log.last_index > 0,
                lambda: node.log.base_index > 0,
                lambda: self._is_listed_voter(node),
                lambda: node.may_vote(),
            )
        )
        pause_s = self._random.choice((0.0, 0.001, 0.01, 0.1, 1.0)) * self._random.random()
        await self._wait_until(moment, self._random.random() * _MOMENT_WITHIN_S)
        await asyncio.sleep(pause_s)

    def _is_listed_voter(self, node: ConsensusNode[int]) -> bool:
        """Whether a leader lists the member's present folder as a voter, committed or not."""
        for other in self.group.nodes.values():
            member = find_member(other.membership(), node.name)
            known = member is not None and member.incarnation == node.hard_state.incarnation
            if other.is_leader and known and member is not None and member.voter:
                return True
        return False

    @staticmethod
    async def _wait_until(moment: Callable[[], bool], within_s: float) -> None:
        try:
            async with asyncio.timeout(within_s):
                while not moment():
                    await asyncio.sleep(0.002)
        except TimeoutError:
            pass

    async def _change(self, count: int) -> None:
        """Have changes accepted, each within the time in which the group must have a leader."""
        for _ in range(count):
            command = f"c{len(self._accepted)}".encode()
            try:
                async with asyncio.timeout(_LEADER_WITHIN_S):
                    await self._accept(command)
            except TimeoutError:
                self.broken.append(f"no change accepted within {_LEADER_WITHIN_S} s")
                return
            self._accepted.append(command)

    async def _accept(self, command: bytes) -> None:
        while True:
            leaders = [node for node in self.group.nodes.values() if node.is_leader]
            if leaders:
                try:
                    await max(leaders, key=lambda node: node.term).propose(command)
                    return
                except (NotLeaderError, LeadershipLostError):
                    pass
            await asyncio.sleep(0.05)

    def _check_voters(self) -> None:
        """Check that a calm group has a leader and that each listed voter can vote."""
        leaders = [node for node in self.group.nodes.values() if node.is_leader]
        if len(leaders) != 1:
            self.broken.append(f"{len(leaders)} leaders in a calm group")
        for node in self.group.nodes.values():
            if not node.may_vote():
                self.broken.append(f"{node.name} may not vote, listed: {node.is_listed_voter()}")

    def _check_commands(self) -> None:
        wanted = set(self._accepted)
        for name, machine in self.group.machines.items():
            seen = list(dict.fromkeys(one for one in machine.commands if one in wanted))
            if seen != self._accepted:
                self.broken.append(f"{name} holds {len(seen)} of {len(self._accepted)} changes")


def play(seed: int) -> RepairRun:
    """Play a run in virtual time."""
    run = RepairRun(seed)
    run_virtual(run.run())
    return run


def main() -> int:
    """Play seeds from the command line; return how many broke something."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-300", help="FIRST-LAST")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    first, _, last = options.seeds.partition("-")
    failed = repairs = 0
    for seed in range(int(first), int(last or first) + 1):
        run = play(seed)
        repairs += run.repairs
        if run.broken:
            failed += 1
            print(f"seed {seed}: {'; '.join(run.broken)}", flush=True)
    print(f"{failed} failed, {repairs} repairs")
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main()))
