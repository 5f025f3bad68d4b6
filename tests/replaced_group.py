"""A replicated log whose members are replaced and then lose disks, in virtual time.

A member is replaced by one at a new address, as planned (the new one first, then a stop) or after
it was killed for good. At a moment drawn around the stop, as many disks are lost at once as the
group must tolerate, while the operator's commands go on. Whether the member comes back at its old
address, a second member is restarted meanwhile, or the leader is lost between the request and the
commit, is drawn from the seed too.

Usage: ``python tests/replaced_group.py --seeds 1-300 [--restarts-first]``.
"""

import argparse
import asyncio
import logging
import sys
from collections import Counter
from collections.abc import Callable
from random import Random

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.members import find_member, voters
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.timing import ConsensusTiming
from support import Group, run_virtual

_INITIAL = 3
_ELECTION_TIMEOUT_S = 0.8
_SNAPSHOT_ENTRIES = (20, 1000)
CATCH_UP_S = 4.2  # from the start of a replacement until the replaced member is no loss any more
_LEAVE_WITHIN_S = 4.0
_BACK_AFTER_S = 1.0
# After the start of a replacement; an election and a change of the membership fit into the rest.
_LEADER_LOST_WITHIN_S = 2.0
_CALM_S = 3.0
_LEADER_WITHIN_S = 12.0


class ReplacementRun:
    """One run.

    Args:
        seed: Seed of all random values.
        restarts_first: Whether members are restarted, some on an empty disk, just before they are
            stopped for good.

    Attributes:
        broken: What did not hold.
        kinds: How often each kind of trouble was played.
    """

    def __init__(self, seed: int, *, restarts_first: bool = False) -> None:
        self._random = Random(seed)
        self._restarts_first = restarts_first
        self._losses = self._random.choice((1, 2, 2))
        entries = self._random.choice(_SNAPSHOT_ENTRIES)
        self.group = Group(size=_INITIAL, seed=seed, snapshot_entries=entries)
        self.group.timing = ConsensusTiming(_ELECTION_TIMEOUT_S, entries, losses=self._losses)
        self._accepted: list[bytes] = []
        self._number = 0
        self.broken: list[str] = []
        self.kinds: Counter[str] = Counter()

    @property
    def _size(self) -> int:
        return self.group.timing.group_size

    async def run(self) -> None:
        """Play all replacements, each followed by a loss of disks and a check."""
        await self.group.start_all()
        for number in range(self._size - _INITIAL):
            await self.group.start(f"x{number}", joining=True)
        await self._wait_for(self._is_whole, _LEADER_WITHIN_S)
        for number in range(self._random.randint(1, 3)):
            await asyncio.sleep(_CALM_S)
            await self._replace(f"new{number}")
            await self._check()
            if self.broken:
                break
        await self.group.stop()

    def _is_whole(self) -> bool:
        """Whether a leader lists just the members that run, all of them as voters."""
        listed = [
            {member.name for member in voters(node.membership())}
            for node in self.group.nodes.values()
            if node.is_leader
        ]
        return set(self.group.nodes) in listed and len(self.group.nodes) >= self._size

    async def _replace(self, new: str) -> None:
        old = self._choose_replaced()
        is_planned = self._random.random() < 0.7
        if is_planned:
            await self._join(new)
            await asyncio.sleep(CATCH_UP_S)
            await self._stop_as_planned(old)
        else:
            await self._kill_for_good(old, new)
        returns = is_planned and self._random.random() < 0.2
        lost = self._random.sample(sorted(self.group.nodes), self._losses)
        for name in lost:
            await self.group.crash(name, wipe=True)
        if returns:
            self.kinds["back at the old address"] += 1
            await self._join(old)
        await asyncio.sleep(_BACK_AFTER_S)
        for name in lost:
            await self._join(name)

    async def _join(self, name: str) -> None:
        """Start a member whose settings name those that run as contacts."""
        self.group.contacts = sorted({*self.group.nodes, name})
        await self.group.start(name, joining=name not in self.group.names)

    def _choose_replaced(self) -> str:
        leaders = [node.name for node in self.group.nodes.values() if node.is_leader]
        is_leader = bool(leaders) and self._random.random() < 0.4
        followers = sorted(set(self.group.nodes) - set(leaders))
        old = leaders[0] if is_leader else self._random.choice(followers)
        self.kinds["leader replaced" if is_leader else "follower replaced"] += 1
        return old

    async def _stop_as_planned(self, old: str) -> None:
        """Stop a member as SIGTERM does, with commands and other troubles meanwhile."""
        self.kinds["planned"] += 1
        if self._restarts_first:
            await self.group.crash(old, wipe=self._random.random() < 0.3)
            await self._join(old)
            await asyncio.sleep(self._random.choice((0.0, 0.3)) * self._random.random())
        stopping = asyncio.ensure_future(self._leave_and_end(old))
        trouble = self._random.choice(("none", "none", "restart", "leader restarts"))
        if trouble != "none":
            self.kinds[trouble] += 1
            await asyncio.sleep(self._random.choice((0.0, 0.001, 0.01)) * self._random.random())
            await self._restart_another(old, leader=trouble == "leader restarts")
        await self._accept_some()
        await stopping
        if self._random.random() < 0.5:
            await self._accept_some()

    async def _leave_and_end(self, name: str) -> None:
        node = self.group.nodes[name]
        await node.leaver.run(_LEAVE_WITHIN_S)
        await self.group.crash(name)

    async def _restart_another(self, old: str, *, leader: bool) -> None:
        """Kill and start another member, which keeps its disk and has time to catch up."""
        others = [node for node in self.group.nodes.values() if node.name != old]
        chosen = [node for node in others if node.is_leader == leader] or others
        name = self._random.choice(sorted(node.name for node in chosen))
        await self.group.crash(name)
        await asyncio.sleep(0.2)
        await self._join(name)
        await asyncio.sleep(CATCH_UP_S)

    async def _kill_for_good(self, old: str, new: str) -> None:
        """Kill a member for good; its replacement starts later and has time to catch up."""
        self.kinds["killed"] += 1
        await self.group.crash(old)
        await asyncio.sleep(self._random.choice((0.1, 1.0)))
        caught_up_s = asyncio.get_running_loop().time() + CATCH_UP_S
        await self._join(new)
        if self._random.random() < 0.5:
            self.kinds["leader restarts after a kill"] += 1
            await asyncio.sleep(_LEADER_LOST_WITHIN_S * self._random.random())
            leaders = [node.name for node in self.group.nodes.values() if node.is_leader]
            if leaders:
                await self.group.crash(leaders[0])
                await asyncio.sleep(0.2)
                await self._join(leaders[0])
        await asyncio.sleep(caught_up_s - asyncio.get_running_loop().time())

    async def _accept_some(self) -> None:
        for _ in range(self._random.choice((1, 1, 30))):
            self._number += 1
            command = f"c{self._number}".encode()
            try:
                async with asyncio.timeout(_LEADER_WITHIN_S):
                    await self._accept(command)
            except TimeoutError:
                self.broken.append(f"no command accepted within {_LEADER_WITHIN_S} s")
                return

    async def _accept(self, command: bytes) -> None:
        while True:
            leaders = [node for node in self.group.nodes.values() if node.is_leader]
            if leaders:
                try:
                    await leaders[-1].propose(command)
                except (NotLeaderError, LeadershipLostError):
                    pass
                else:
                    self._accepted.append(command)
                    return
            await asyncio.sleep(0.02)

    async def _wait_for(self, condition: Callable[[], bool], within_s: float) -> bool:
        try:
            async with asyncio.timeout(within_s):
                while not condition():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return False
        return True

    async def _check(self) -> None:
        """Check that the group is led again, keeps what was accepted and regains its size."""
        if not await self._wait_for(self._is_led, _LEADER_WITHIN_S):
            self.broken.append(f"no leader within {_LEADER_WITHIN_S} s: {self._describe()}")
            return
        await self._accept_some()
        if not await self._wait_for(self._is_whole, _LEADER_WITHIN_S):
            self.broken.append(f"the group does not regain its size: {self._describe()}")
        await asyncio.sleep(_CALM_S)
        for name, machine in self.group.machines.items():
            if name not in self.group.nodes:
                continue
            missing = set(self._accepted).difference(machine.commands)
            if missing:
                self.broken.append(f"{name} lacks {len(missing)} accepted commands")

    def _is_led(self) -> bool:
        return any(node.is_leader for node in self.group.nodes.values())

    def _describe(self) -> str:
        return "; ".join(self._describe_one(node) for node in self.group.nodes.values())

    @staticmethod
    def _describe_one(node: ConsensusNode[int]) -> str:
        listed = ",".join(
            member.name + ("" if member.voter else "*") for member in node.membership().members
        )
        own = find_member(node.membership(), node.name)
        known = own is not None and own.incarnation == node.hard_state.incarnation
        return f"{node.name} lists {listed}, its folder {'is' if known else 'is not'} known"


def play(seed: int, *, restarts_first: bool = False) -> ReplacementRun:
    """Play one run in virtual time."""
    run = ReplacementRun(seed, restarts_first=restarts_first)
    run_virtual(run.run())
    return run


def main() -> int:
    """Play a range of seeds and print those that broke; return 1 if any did."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-100")
    parser.add_argument("--restarts-first", action="store_true")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    logging.disable(logging.CRITICAL)
    broken, kinds = 0, Counter[str]()
    for seed in range(int(first), int(last or first) + 1):
        run = play(seed, restarts_first=options.restarts_first)
        kinds += run.kinds
        if run.broken:
            broken += 1
            print(f"seed {seed}: {run.broken}", flush=True)
    print(f"{broken} broken; {dict(kinds)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
