"""Short random runs that check what acknowledgements promise, and that they would notice."""

import asyncio
import unittest
from unittest.mock import PropertyMock, patch

from acknowledgement_book import BOUND_S, AcknowledgementBook, Asked, Figures, FleetState, Leave
from acknowledgement_run import AcknowledgementRun, RunSizes, told
from heronladder_control.in_force import DaemonProgress, InForceTracker
from heronladder_runtime.configuration_status import ConfigurationStatus

_ONE_MEMBER = RunSizes(members=1, routes=200, seconds=7.0)
_THREE_MEMBERS = RunSizes(members=3, routes=200, seconds=7.0)
_LONG_UPDATES = RunSizes(members=1, routes=2_400, seconds=11.0)
_TELLING_SEEDS = (6, 3)  # updates are under way for long to gateways that are in touch
_CHECKED = ("changes", "leaves", "always there", "bound", "telling", "arrivals", "reads", "ends")


def _run(seed: int, sizes: RunSizes) -> Figures:
    return asyncio.run(AcknowledgementRun(seed, sizes).run())


def _waited_for_its_lease_only(
    tracker: InForceTracker, progress: DaemonProgress, now_s: float
) -> bool:
    """Leave a gateway out once its lease has run out, though it goes on by what it holds."""
    return progress.fresh_until_s > now_s


class RunTest(unittest.TestCase):
    def _check(self, seed: int, sizes: RunSizes) -> None:
        figures = _run(seed, sizes)
        text = "\n".join([told(seed, figures), *figures.violations])
        self.assertEqual(figures.counted["violations"], 0, text)
        for name in _CHECKED:
            self.assertGreater(figures.counted[name], 0, f"{name}: {text}")

    def test_one_member(self) -> None:
        self._check(1, _ONE_MEMBER)

    def test_three_members_whose_leader_ends(self) -> None:
        self._check(1, _THREE_MEMBERS)

    def test_gateways_that_are_left_out_and_go_on_are_noticed(self) -> None:
        """The run must see what callers saw while gateways were left out with their lease."""
        lines = []
        with (
            patch.object(InForceTracker, "_is_awaited", _waited_for_its_lease_only),
            patch.object(ConfigurationStatus, "must_not_act", PropertyMock(return_value=False)),
        ):
            for seed in _TELLING_SEEDS:
                figures = _run(seed, _LONG_UPDATES)
                if figures.counted["violations"]:
                    return
                lines.append(told(seed, figures))
        self.fail("\n".join(lines))


class BookTest(unittest.TestCase):
    """One path: version 1 has it, version 2 does not; version 2 was sent at 10 s."""

    def setUp(self) -> None:
        self.figures = Figures()
        self.book = AcknowledgementBook(self.figures)
        self.book.sending(FleetState(1, {"/a/": "app", "/b/": "app"}, ("key",)), 0.0)
        self.book.acknowledged(1, 0.0)
        self.book.sending(FleetState(2, {"/b/": "app"}, ("key",)), 10.0)

    def _violations(self, sent_s: float, outcome: str, path: str = "/a/") -> int:
        before = self.figures.counted["violations"]
        self.book.judge(Asked("front", path, "key", sent_s, sent_s, outcome))
        return self.figures.counted["violations"] - before

    def test_what_is_not_sent_is_not_in_force(self) -> None:
        self.assertEqual(self._violations(9.0, "404"), 1)
        self.assertEqual(self._violations(9.0, "app"), 0)

    def test_what_is_not_acknowledged_may_be_in_force(self) -> None:
        for outcome in ("404", "app", "503", "0"):
            self.assertEqual(self._violations(30.0, outcome), 0)

    def test_what_is_acknowledged_is_in_force_after_the_bound(self) -> None:
        self.book.acknowledged(2, 12.0)
        self.assertEqual(self._violations(12.0 + BOUND_S - 0.1, "app"), 0)
        self.assertEqual(self._violations(12.0 + BOUND_S, "app"), 1)
        self.assertEqual(self._violations(12.0 + BOUND_S, "503"), 0)
        self.assertEqual(self._violations(12.0 + BOUND_S, "404"), 0)
        self.assertEqual(self._violations(12.0 + BOUND_S, "other", "/b/"), 1)
        self.assertEqual(self._violations(12.0 + BOUND_S, "401", "/b/"), 1)

    def test_what_all_versions_have_is_never_denied(self) -> None:
        for path, outcome in (("/a/", "404"), ("/b/", "503"), ("/b/", "app")):
            self.book.judge_unbound(Asked("front", path, "key", 20.0, 20.0, outcome))
        self.assertEqual(self.figures.counted["violations"], 0)
        for outcome in ("404", "401"):
            self.book.judge_unbound(Asked("front", "/b/", "key", 20.0, 20.0, outcome))
        self.assertEqual(self.figures.counted["violations"], 2)

    def test_a_replica_that_left_gets_nothing_after_the_bound(self) -> None:
        self.book.leaves["one"] = Leave("drain")
        self.book.judge_arrival("one", "front", 20.0)
        self.book.leaves["one"].acknowledged_s = 20.0
        self.book.judge_arrival("one", "front", 20.0 + BOUND_S - 0.1)
        self.book.judge_arrival("two", "front", 20.0 + BOUND_S)
        self.assertEqual(self.figures.counted["violations"], 0)
        self.book.judge_arrival("one", "front", 20.0 + BOUND_S)
        self.assertEqual(self.figures.counted["violations"], 1)

    def test_a_read_is_not_older_than_what_was_acknowledged(self) -> None:
        self.book.acknowledged(2, 12.0)
        self.book.judge_read(1, 12.0 + BOUND_S - 0.1, 15.0)
        self.book.judge_read(2, 12.0 + BOUND_S, 15.0)
        self.assertEqual(self.figures.counted["violations"], 0)
        self.book.judge_read(1, 12.0 + BOUND_S, 15.0)
        self.assertEqual(self.figures.counted["violations"], 1)


if __name__ == "__main__":
    unittest.main()
