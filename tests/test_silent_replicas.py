"""Replicas that are silent in the middle of a response, and then go on."""

import asyncio
import unittest

from fleet_case import FleetCase
from platform_stand_ins import (
    END_OF_CHUNKS,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

_EVENTS = 6
_PAUSE_S = 2.8  # longer than a silence of a stream after which a retry is asked for
_HEAD_PAUSE_S = 1.6  # longer than the attempt timeout of a request with an objective of 400 ms
_TIME_LIMIT_MS = 8_000
_CALLER_PATIENCE_S = 8.0


class Pausing:
    """Script of a replica that is silent before an event of each stream.

    Args:
        before: Number of the event.
        pause_s: Length of the silence, in seconds.
    """

    def __init__(self, before: int, pause_s: float = _PAUSE_S) -> None:
        self.before = before
        self.pause_s = pause_s


class PausingReplica(StandInReplica):
    """A replica that writes each event as it is due.

    Args:
        identity: Its id.
        pause: When it is silent; None: never.
    """

    def __init__(self, identity: str, pause: Pausing | None) -> None:
        super().__init__(identity, _unused)
        self.pause = pause
        self.cancelled = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while True:
                received = await self._read(reader)
                self.received.append(received)
                await self._stream(received, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            self.cancelled += 1
        finally:
            self._serving.discard(task)
            writer.close()

    async def _stream(self, received: Received, writer: asyncio.StreamWriter) -> None:
        first = int(received.headers.get("last-event-id", 0)) + 1
        head = stream_head(received)
        for number in range(first, _EVENTS + 1):
            if self.pause is not None and number == self.pause.before:
                writer.write(head)
                head = b""
                await asyncio.sleep(self.pause.pause_s)
            writer.write(head + event(number))
            head = b""
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(END_OF_CHUNKS)
        await writer.drain()


async def _unused(_replica: StandInReplica, _received: Received) -> bytes:
    return b""


def _whole(answered: Answer) -> bool:
    numbers = [line[4:] for line in answered.body.splitlines() if line.startswith(b"id: ")]
    return numbers == [str(number).encode() for number in range(1, _EVENTS + 1)]


class SilentReplicasTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {"timeoutMs": _TIME_LIMIT_MS}
        self.fleet: Fleet = await start_fleet(
            configuration(
                1,
                route("/safe/", **limits),
                route("/stream/", kind="streaming", resumable=True, gapAimMs=500, **limits),
            )
        )
        self.addAsyncCleanup(self.fleet.stop)
        assert self.fleet.gateway.gateway is not None
        self.gateway = self.fleet.gateway.gateway

    async def add(self, identity: str, pause: Pausing | None) -> PausingReplica:
        """Add a replica of streams."""
        replica = PausingReplica(identity, pause)
        await replica.start()
        self.fleet.replicas.append(replica)
        path = f"/api/Replicas.Heartbeat/{identity}"
        told = await self.fleet.call(
            self.fleet.control_address, "POST", path, replica.heartbeat(slots=64)
        )
        self.assertEqual(told.status, 200)
        async with asyncio.timeout(5):
            while not all(gateway.knows(identity) for gateway in self.fleet.gateways):
                await asyncio.sleep(0.01)
        return replica

    async def _spend_retries(self) -> None:
        while True:
            while self.gateway.retry_budget.try_spend("app").allowed:
                pass
            await asyncio.sleep(0.02)

    def spend_retries(self) -> None:
        """Use up the gateway's retry budget, also what is added to it later."""
        spending = asyncio.create_task(self._spend_retries())
        self.addCleanup(spending.cancel)

    async def stream(self, request_id: str = "q") -> Answer:
        """Read a stream."""
        async with asyncio.timeout(_CALLER_PATIENCE_S):
            return await self.fleet.request("/stream/x", Request_Id=request_id)

    async def test_a_stream_is_read_on_where_no_other_replica_may_take_it(self) -> None:
        await self.add("r0", Pausing(before=3))
        self.assertTrue(_whole(await self.stream()))

    async def test_a_stream_is_read_on_where_a_retry_is_refused(self) -> None:
        paused = [await self.add(f"r{number}", Pausing(before=3)) for number in range(2)]
        self.spend_retries()
        self.assertTrue(_whole(await self.stream()))
        self.assertEqual(sum(len(replica.received) for replica in paused), 1)

    async def test_a_stream_is_read_on_where_the_retry_is_silent_as_well(self) -> None:
        replicas = [await self.add(f"r{number}", Pausing(before=3)) for number in range(2)]
        self.assertTrue(_whole(await self.stream()))
        self.assertEqual([len(replica.received) for replica in replicas], [1, 1])

    async def test_a_stream_goes_on_at_the_replica_that_sends_the_next_event(self) -> None:
        replicas = [await self.add(f"r{number}", None) for number in range(2)]
        for replica in replicas:
            replica.pause = Pausing(before=3, pause_s=60.0)
        asking = asyncio.ensure_future(self.stream())
        while not any(replica.received for replica in replicas):
            await asyncio.sleep(0.01)
        for replica in replicas:
            if not replica.received:
                replica.pause = None
        self.assertTrue(_whole(await asking))
        self.assertEqual([len(replica.received) for replica in replicas], [1, 1])

    async def test_a_stream_is_read_on_after_its_replica_paused_before_the_first_event(
        self,
    ) -> None:
        await self.add("r0", Pausing(before=1))
        self.assertTrue(_whole(await self.stream()))

    async def test_a_plain_request_waits_for_the_replica_that_has_it(self) -> None:
        async def slow(_replica: StandInReplica, received: Received) -> bytes:
            await asyncio.sleep(_HEAD_PAUSE_S)
            return answer(received)

        await self.fleet.add_replica("r0", slow)
        answered = await self.fleet.request("/safe/x", Request_Id="q")
        self.assertEqual((answered.status, answered.body), (200, b"done"))

    async def test_no_stream_is_cut_around_a_planned_stop_while_replicas_pause(self) -> None:
        for number in range(3):
            await self.add(f"r{number}", Pausing(before=3, pause_s=2.4))
        self.spend_retries()
        streams = [asyncio.ensure_future(self.stream(f"q{number}")) for number in range(12)]
        await asyncio.sleep(0.2)
        stopping = asyncio.ensure_future(self.fleet.gateway.stop())
        self.assertTrue(all(_whole(answered) for answered in await asyncio.gather(*streams)))
        await stopping


if __name__ == "__main__":
    unittest.main()
