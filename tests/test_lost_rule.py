"""Tests of the rule LOST: each of its conditions and excuses."""

import math
import unittest
from dataclasses import replace

from lost_rule import CallRecord, LostBounds, WorkRecord, find_lost

_BOUNDS = LostBounds(grace_s=6.0)
_CUT = CallRecord("r", "g1", sent_s=100.0, deadline_s=115.0, ended_s=102.5, reached_s=100.1)
_STOP = WorkRecord(sigterms={"g1": [101.0]})


class LostRuleTest(unittest.TestCase):
    def lost(self, work: WorkRecord = _STOP, **changes: float | bool | str) -> bool:
        """Whether a request that is cut around SIGTERM, changed so, counts as lost."""
        return bool(find_lost([replace(_CUT, **changes)], work, _BOUNDS))  # type: ignore[arg-type]

    def test_a_request_cut_after_sigterm_is_lost(self) -> None:
        self.assertTrue(self.lost())

    def test_a_complete_response_is_not(self) -> None:
        self.assertFalse(self.lost(complete=True))

    def test_a_caller_that_left_is_not(self) -> None:
        self.assertFalse(self.lost(left=True))

    def test_one_that_no_replica_had_counts_after_the_slack(self) -> None:
        self.assertTrue(self.lost(reached_s=math.inf))
        self.assertFalse(self.lost(reached_s=math.inf, sent_s=102.4))

    def test_cuts_before_sigterm_or_a_second_after_the_grace_do_not_count(self) -> None:
        self.assertFalse(self.lost(ended_s=100.9))
        self.assertTrue(self.lost(ended_s=107.9, replica_done_s=103.0))
        self.assertFalse(self.lost(ended_s=108.1, replica_done_s=103.0))

    def test_another_machine_does_not_count(self) -> None:
        self.assertFalse(self.lost(gateway="g2"))

    def test_excuses(self) -> None:
        self.assertFalse(self.lost(replica_broke=True))
        self.assertFalse(self.lost(deadline_s=102.5))
        at_work = {"ended_s": 106.2, "replica_done_s": 106.2}
        self.assertFalse(self.lost(**at_work))
        self.assertTrue(self.lost(**at_work, sent_s=104.1, reached_s=104.2))
        self.assertTrue(self.lost(ended_s=106.2, replica_done_s=105.9))

    def test_an_unplanned_disruption_excuses_from_a_while_before(self) -> None:
        for at_s, is_lost in ((96.9, True), (97.1, False), (102.4, False), (102.6, True)):
            work = WorkRecord(sigterms=_STOP.sigterms, unplanned=[at_s])
            self.assertEqual(self.lost(work), is_lost, at_s)

    def test_requests_after_a_reload_count(self) -> None:
        self.assertTrue(self.lost(WorkRecord(sighups={"g1": [99.0]})))
        self.assertFalse(self.lost(WorkRecord(sighups={"g1": [97.9]})))
        self.assertFalse(self.lost(WorkRecord(sighups={"g1": [103.0]})))

    def test_changes_count_where_cuts_are_more_frequent_during_them(self) -> None:
        work = WorkRecord(changes=[(101.0, 101.2)])
        whole = [replace(_CUT, complete=True) for _ in range(9)]
        calm_cut = [replace(_CUT, ended_s=90.0, sent_s=89.0, reached_s=89.0) for _ in range(2)]
        calm_whole = [replace(one, complete=True) for one in calm_cut * 4]
        self.assertEqual(find_lost([_CUT, *whole, *calm_whole], work, _BOUNDS), [_CUT])
        self.assertEqual(find_lost([_CUT, *whole, *calm_cut, *calm_whole], work, _BOUNDS), [])
        elsewhere = [replace(one, gateway="g2") for one in calm_cut]
        self.assertEqual(find_lost([_CUT, *whole, *elsewhere, *calm_whole], work, _BOUNDS), [_CUT])
        late = replace(_CUT, deadline_s=103.0)
        self.assertEqual(find_lost([late, *whole, *calm_whole], work, _BOUNDS), [])


if __name__ == "__main__":
    unittest.main()
