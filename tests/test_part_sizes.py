"""Tests that parts of a large update grow on a fast stream and stay small on a slow one."""

import unittest
from types import SimpleNamespace
from typing import cast

from heronladder_control.config_feed import ConfigFeed
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member import ControlMember
from heronladder_control.state import ControlState
from heronladder_runtime.clock import Environment
from heronladder_runtime.config_packing import PART_BYTES
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

_REPLICAS = 3_000


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class PartSizeTest(unittest.TestCase):
    def setUp(self) -> None:
        state = ControlState("r")
        command = control_pb2.Command()
        for number in range(_REPLICAS):
            command.register_replicas.orders.add().replica.CopyFrom(
                resources_pb2.Replica(
                    id=f"{number * 7919 % 1_000_003:x}-{number}",
                    service="s",
                    address=f"10.0.{number // 250}.{number % 250}:80",
                )
            )
        state.apply(1, command.SerializeToString())
        self.clock = _Clock()
        member = SimpleNamespace(state=state, environment=self.clock)
        self.feed = ConfigFeed(cast(ControlMember, member))
        record = ledger_pb2.DaemonRecord(name="g", role="router", incarnation="1")
        self.session = DaemonSession(control_pb2.Hello(daemon=record), 1)

    def _sizes(self, confirmed_after_s: float) -> list[int]:
        """Send the whole update; return the sizes of its parts in bytes."""
        sizes = []
        while True:
            part = self.feed.next_part(self.session)
            if part is not None:
                sizes.append(len(part.packed_events))
            if part is None or not part.more:
                self.clock.now_s += confirmed_after_s
                self.feed.confirm_parts(self.session, self.session.parts_sent)
            if part is not None and not part.more:
                return sizes

    def test_a_restarted_router_gets_all_replicas_in_few_frames(self) -> None:
        """With fixed parts of 4 KiB, 300 restarted routers take 15,000 frames, and as many back."""
        sizes = self._sizes(0.01)
        self.assertLess(len(sizes), sum(sizes) / PART_BYTES / 2)
        self.assertEqual(sizes[0], PART_BYTES)

    def test_parts_stay_small_on_a_slow_link(self) -> None:
        self.assertEqual(max(self._sizes(0.8)), PART_BYTES)

    def test_parts_shrink_on_a_slow_link_so_that_orders_are_not_delayed(self) -> None:
        """A hold order would wait a second behind two parts of 4 KiB, which counts as silence."""
        sizes = self._sizes(0.8)[:-1]
        self.assertEqual(sizes[0], PART_BYTES)
        self.assertLessEqual(max(sizes[8:]), PART_BYTES // 4)


if __name__ == "__main__":
    unittest.main()
