"""Tests of a gateway that is behind the configuration in force: what it serves and refuses."""

import asyncio
import json
import unittest

from heronladder_control.config_feed import ConfigFeed
from heronladder_control.daemon_session import DaemonSession
from heronladder_runtime.config_packing import PART_BYTES
from heronladder_runtime.configuration_status import ConfigurationStatus
from heronladder_schema.v1 import control_pb2, ledger_pb2
from platform_stand_ins import Answer, Received, StandInReplica, answer, configuration, route
from platform_stand_ins import start_fleet as start

_KNOWN, _UNKNOWN = "/known/", "/unknown/"
_GRACE_PERIOD_S = 1.0  # time for which the gateway continues with the configuration it has
_MANY_ROUTES = 1_500


def _code(got: Answer) -> str:
    return str(json.loads(got.body)["error"]["code"])


class BehindTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that is notified of a revision it has not received."""

    async def asyncSetUp(self) -> None:
        self.fleet = await start(configuration(1, route(_KNOWN)))
        self.addAsyncCleanup(self.fleet.stop)
        self.received: list[str] = []
        await self.fleet.add_replica("one", self._answer)
        await self.fleet.add_replica("two", self._answer)
        self.reject = False
        assert self.fleet.gateway.gateway is not None
        self.gateway = self.fleet.gateway.gateway
        async with asyncio.timeout(5):
            while not self.gateway.link.knows_newest:
                await asyncio.sleep(0.02)

    async def _answer(self, replica: StandInReplica, received: Received) -> bytes:
        self.received.append(replica.identity)
        if not self.reject:
            return answer(received)
        self._standing.record_in_force(0, self._next_revision)
        return answer(received, "503 Full", Not_Executed="1")

    @property
    def _standing(self) -> ConfigurationStatus:
        return self.gateway.link.configuration_status

    @property
    def _next_revision(self) -> int:
        return self.gateway.link.configuration.revision + 1

    async def test_it_gives_no_final_response_about_what_it_does_not_know(self) -> None:
        """A 404 would reject callers of a route that was just added."""
        self.assertEqual((await self.fleet.request(_UNKNOWN)).status, 404)
        self._standing.record_in_force(self._next_revision, 0)
        unknown = await self.fleet.request(_UNKNOWN)
        self.assertEqual((unknown.status, _code(unknown)), (503, "configuration_unconfirmed"))
        self.assertIn("Retry-After", unknown.headers)
        wrong_key = await self.fleet.request(_KNOWN, Authorization="Token other")
        self.assertEqual((wrong_key.status, _code(wrong_key)), (503, "configuration_unconfirmed"))
        self.assertEqual((await self.fleet.request(_KNOWN)).status, 200)

    async def test_it_refuses_all_requests_and_is_not_ready_after_the_grace_period(self) -> None:
        self._standing.record_in_force(self._next_revision, 0)
        await asyncio.sleep(_GRACE_PERIOD_S)
        refused = await self.fleet.request(_KNOWN)
        self.assertEqual((refused.status, _code(refused)), (503, "configuration_behind"))
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(self.received, [])
        self.assertEqual(await self._readiness(), 503)
        await self.fleet.replace(configuration(2, route(_KNOWN)))
        self.assertEqual((await self.fleet.request(_KNOWN)).status, 200)
        self.assertEqual(await self._readiness(), 200)

    async def test_a_hold_order_takes_effect_at_once_and_is_confirmed_to_control(self) -> None:
        below = self._next_revision
        assert self.fleet.control.control is not None
        service = self.fleet.control.control.service
        self.assertTrue(service.hold("front-1", below))
        self.assertFalse(service.hold("front-1", below))
        progress = self.fleet.control.control.in_force.daemons["front-1"]
        async with asyncio.timeout(5):
            while progress.held_below < below:
                await asyncio.sleep(0.01)
        refused = await self.fleet.request(_KNOWN)
        self.assertEqual((refused.status, _code(refused)), (503, "configuration_behind"))

    async def test_a_request_in_flight_is_not_retried(self) -> None:
        """A retry would select a replica from a list that is known to be superseded."""
        self.reject = True
        refused = await self.fleet.request(_KNOWN, Deadline_Ms="400")
        self.assertEqual(refused.status, 503)
        self.assertEqual(len(self.received), 1)

    async def test_a_late_leave_does_not_remove_a_successor(self) -> None:
        assert self.fleet.control.control is not None
        record = ledger_pb2.DaemonRecord(name="front-1", role="router", incarnation="earlier")
        earlier = DaemonSession(control_pb2.Hello(daemon=record), 1)
        await self.fleet.control.control.service._leave(earlier)
        self.assertIn("front-1", self.fleet.control.control.in_force.daemons)

    async def _readiness(self) -> int:
        return (await self.fleet.call(self.fleet.ready_address, "GET", "/api/readyz")).status


class FeedTest(unittest.IsolatedAsyncioTestCase):
    """Parts of configuration updates on the stream of one gateway."""

    async def test_parts_wait_for_confirmation_and_an_update_ends_before_the_next(self) -> None:
        many = [route(f"/{number:x}/", name=f"{number * 7919:x}") for number in range(_MANY_ROUTES)]
        fleet = await start(configuration(1, *many))
        self.addAsyncCleanup(fleet.stop)
        assert fleet.control.control is not None
        feed = ConfigFeed(fleet.control.control)
        record = ledger_pb2.DaemonRecord(name="front-2", role="router", incarnation="1")
        session = DaemonSession(control_pb2.Hello(daemon=record), 1)
        first = feed.next_part(session)
        assert first is not None
        self.assertTrue(first.more)
        self.assertEqual(len(first.packed_events), PART_BYTES)
        await fleet.replace(configuration(2, *many[1:]))
        revisions = [first.revision]
        while revisions[-1] == first.revision:
            part = feed.next_part(session)
            if part is None:
                session.parts_received = session.parts_sent
                continue
            self.assertLessEqual(session.parts_sent - session.parts_received, 2)
            revisions.append(part.revision)
        self.assertGreater(revisions.count(first.revision), 1)
        self.assertGreater(revisions[-1], first.revision)


if __name__ == "__main__":
    unittest.main()
