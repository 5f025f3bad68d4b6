"""Streams to control on machines and processes that run for longer than 32 bits of milliseconds."""

import asyncio
import unittest
from unittest.mock import patch

from heronladder_runtime.clock import MAX_DURATION_MS, Environment, duration_ms
from support import run_virtual
from test_leader_terms import Pair

_SIXTY_DAYS_S = 60 * 24 * 3600.0
_SETTLE_S = 3.0


class LongLivedMachinesTest(unittest.TestCase):
    def test_old_process_reconnects_to_control(self) -> None:
        """Guards against a gateway that is cut off control for good 50 days after its start."""

        async def scenario() -> float:
            pair = Pair()
            with patch.object(Environment, "process_age_s", lambda self: _SIXTY_DAYS_S):
                await pair.start()
            fresh_s = pair.link.last_heard_s
            await pair.stop()
            return fresh_s

        self.assertGreater(run_virtual(scenario()), float("-inf"))

    def test_revision_that_is_long_in_force_is_told(self) -> None:
        """Guards against streams that end at once after 50 days without a change."""

        async def scenario() -> bool:
            pair = Pair()
            await pair.start()
            pair.member.in_force_since_s -= _SIXTY_DAYS_S
            pair.member.state.in_force_revision = pair.member.state.resources.revision = 1
            await pair.lead_again()  # the router connects anew
            await asyncio.sleep(_SETTLE_S)
            session = pair.member.sessions.get("front-1")
            await pair.stop()
            return session is not None and session.in_force_sent == 1

        self.assertTrue(run_virtual(scenario()))

    def test_router_that_starts_long_after_the_first_is_told_so(self) -> None:
        """Guards against a gateway that cannot connect to a fleet of 50 days."""

        async def scenario() -> bool:
            pair = Pair()
            await pair.start()
            counts = pair.member.service._router_counts
            session = pair.member.sessions["front-1"]
            session.started_s, session.sent_fleet_start = 0.0, False
            counts._fleet_started_s = -_SIXTY_DAYS_S
            session.wake.notify_waiters()
            await asyncio.sleep(_SETTLE_S)
            kept = pair.member.sessions.get("front-1") is session and session.sent_fleet_start
            await pair.stop()
            return kept

        self.assertTrue(run_virtual(scenario()))

    def test_duration_fits_its_field(self) -> None:
        self.assertEqual(duration_ms(1.5), 1500)
        self.assertEqual(duration_ms(-1.0), 0)
        self.assertEqual(duration_ms(MAX_DURATION_MS / 1000), MAX_DURATION_MS)
        self.assertEqual(duration_ms(float("inf")), MAX_DURATION_MS)


if __name__ == "__main__":
    unittest.main()
