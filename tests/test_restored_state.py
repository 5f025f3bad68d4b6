"""What a control member derives from its state, after a snapshot has replaced it."""

import asyncio
import random
import unittest

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_control.state import ControlState
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import MemoryNetwork, NetworkConditions
from heronladder_runtime.clock import Environment
from support import run_virtual

_REVISION = 7


def _member() -> ControlMember:
    source = random.Random(1)
    return ControlMember(
        ControlOptions("control-0", "r", [], ConsensusTiming(1.0)),
        MemoryDisk(source).handle(),
        MemoryStubs(MemoryNetwork(source, NetworkConditions()), "control-0"),
        Environment(source, virtual=True),
        lambda error: None,
    )


def _snapshot() -> bytes:
    state = ControlState("r")
    state.resources.revision = state.in_force_revision = _REVISION
    return state.snapshot()


class RestoredStateTest(unittest.TestCase):
    def test_revision_in_force_that_comes_in_a_snapshot_is_new(self) -> None:
        """Guards against gateways that are denied the time to catch up with a change.

        They were told that the revision had been in force since the machine's start.
        """

        async def scenario() -> None:
            member = _member()
            await asyncio.sleep(100.0)
            waiting = asyncio.create_task(member.in_force_changed.wait(1.0))
            await asyncio.sleep(0)
            member.state.restore(_snapshot())
            self.assertEqual(member.in_force_since_s, member.environment.monotonic())
            self.assertTrue(await waiting)
            await asyncio.sleep(1.0)
            member.state.restore(_snapshot())  # the same revision again
            self.assertEqual(member.in_force_since_s, member.environment.monotonic() - 1.0)

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
