"""A stream goes on only at the software version that began it."""

import asyncio
import unittest

from fleet_case import FleetCase
from streaming_fleet import StreamingFleet

_FOUR_EACH = ("v1", "v2") * 4
_STREAMS = 120
_PER_S = 40.0
# The users ask that streams taken up go on half as often as new ones begin; this is our own goal.
_MIN_CONTINUED_FRACTION = 0.95
_MIN_CONTINUED_WHILE_GATEWAYS_ARE_LOST = 0.8


class StreamOriginTest(FleetCase):
    async def start(self, fleet: StreamingFleet) -> StreamingFleet:
        """Start a fleet; it is stopped when the test ends."""
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        return fleet

    def check(self, fleet: StreamingFleet, min_continued: float) -> None:
        """Check that no stream is mixed and that streams that were taken up went on."""
        seen = fleet.describe()
        self.assertEqual([one.versions for one in fleet.streams if one.is_mixed], [], seen)
        taken_up = sum(one.taken_up for one in fleet.streams)
        continued = sum(one.continued for one in fleet.streams)
        self.assertGreaterEqual(taken_up, 12, seen)
        self.assertGreaterEqual(continued / taken_up, min_continued, seen)

    async def test_streams_taken_up_at_another_gateway(self) -> None:
        fleet = await self.start(StreamingFleet(_FOUR_EACH))
        await fleet.read_streams(_STREAMS, _PER_S, cut_fraction=0.6)
        self.check(fleet, _MIN_CONTINUED_FRACTION)

    async def test_streams_taken_up_where_one_version_has_one_replica(self) -> None:
        fleet = await self.start(StreamingFleet(("v1",) * 7 + ("v2",)))
        await fleet.read_streams(_STREAMS, _PER_S, cut_fraction=0.6)
        self.check(fleet, _MIN_CONTINUED_FRACTION)

    async def test_answers_that_end_with_their_connection(self) -> None:
        fleet = await self.start(StreamingFleet(_FOUR_EACH, chunked=False))
        await fleet.read_streams(_STREAMS, _PER_S, cut_fraction=0.6)
        self.check(fleet, _MIN_CONTINUED_FRACTION)

    async def test_streams_that_replicas_reset(self) -> None:
        fleet = await self.start(StreamingFleet(_FOUR_EACH))

        async def reset() -> None:
            while True:
                await asyncio.sleep(0.7)
                for replica in fleet.source.sample(fleet.replicas, 3):
                    replica.reset_streams()

        resets = asyncio.create_task(reset())
        await fleet.read_streams(_STREAMS, _PER_S)
        resets.cancel()
        self.assertEqual([one for one in fleet.streams if one.is_mixed], [], fleet.describe())
        complete = sum(one.complete for one in fleet.streams)
        self.assertGreaterEqual(complete / len(fleet.streams), 0.95, fleet.describe())

    async def test_streams_of_lost_gateways(self) -> None:
        fleet = await self.start(StreamingFleet(_FOUR_EACH, gateways=4))

        async def lose_gateways() -> None:
            for number in range(6):
                await asyncio.sleep(0.5)
                position = number % 4
                await fleet.restart_gateway(position, f"front-{position + 1}")

        losses = asyncio.create_task(lose_gateways())
        await fleet.read_streams(_STREAMS, _PER_S)
        await losses
        self.check(fleet, _MIN_CONTINUED_WHILE_GATEWAYS_ARE_LOST)

    async def test_a_second_version_that_comes_while_streams_run(self) -> None:
        fleet = await self.start(StreamingFleet(("v1",) * 4))

        async def add_versions() -> None:
            for number in range(4):
                await asyncio.sleep(0.4)
                await fleet.add_replica(f"n{number}", "v2" if number % 2 else "v3")

        added = asyncio.create_task(add_versions())
        await fleet.read_streams(_STREAMS, _PER_S, cut_fraction=0.6)
        await added
        self.check(fleet, _MIN_CONTINUED_FRACTION)


if __name__ == "__main__":
    unittest.main()
