"""Members of two versions in virtual time: no member receives an entry that it can't read."""

import unittest

from heronladder_runtime.cluster_versions import LATEST_VERSION
from mixed_group import MixedGroup
from support import run_virtual

_SEEDS = (*range(8), 28)


class MixedVersionsTest(unittest.TestCase):
    def test_members_of_an_earlier_version_can_read_their_whole_log(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                run_virtual(self._run(seed))

    async def _run(self, seed: int) -> None:
        group = MixedGroup(seed, 5 if seed % 2 else 3)
        await group.run()
        states = [member.state for member in group.running.values()]
        await group.stop()
        self.assertEqual(group.failures, [])
        self.assertEqual(group.unsupported_commands, [])
        self.assertGreater(group.registered, 30)
        self.assertEqual({state.cluster_version for state in states}, {LATEST_VERSION})
        self.assertEqual({state.named_group for state in states}, {"fleet"})
        newest = max(state.applied_index for state in states)
        snapshots = {state.snapshot() for state in states if state.applied_index == newest}
        self.assertEqual(len(snapshots), 1)


if __name__ == "__main__":
    unittest.main()
