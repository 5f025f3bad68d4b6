"""The link to control over real sockets, when control falls silent."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_schema.v1 import control_pb2, ledger_pb2
from heronladder_schema.v1.control_pb2_grpc import ControlServicer, add_ControlServicer_to_server

_HEARTBEAT_S = 0.1
_FAR_ROUND_TRIP_S = 0.024


class _FallsSilent(ControlServicer):
    """Acknowledges the first heartbeats of its first stream, then says nothing on it."""

    def __init__(self) -> None:
        self.streams = 0

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        self.streams += 1
        silent = self.streams == 1
        acknowledged = 0
        async for frame in request_iterator:
            if frame.HasField("heartbeat") and not (silent and acknowledged >= 2):
                acknowledged += 1
                yield control_pb2.ControlFrame(
                    heartbeat_ack=frame.heartbeat.number, freshness_ms=1000, control_time_ms=1
                )


class _Crowded(ControlServicer):
    """Comes to a stream only after twice a link's patience; one given up is as dear."""

    def __init__(self) -> None:
        self.streams = 0

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        self.streams += 1
        await asyncio.sleep(6.5 * _HEARTBEAT_S)
        async for frame in request_iterator:
            if frame.HasField("heartbeat"):
                yield control_pb2.ControlFrame(
                    heartbeat_ack=frame.heartbeat.number, freshness_ms=1000, control_time_ms=1
                )


class _Follows(ControlServicer):
    """Says at once who leads, as a member that does not lead does.

    Args:
        leader: Address of the leader.
    """

    def __init__(self, leader: str) -> None:
        self._leader = leader

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        yield control_pb2.ControlFrame(not_leader=True, leader_address=self._leader)


class _SendsGarbageFirst(ControlServicer):
    """Sends a configuration that cannot be unpacked on its first stream, a sound one after."""

    def __init__(self) -> None:
        self.streams = 0

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        self.streams += 1
        packed = b"garbage" if self.streams == 1 else b""
        update = control_pb2.ConfigUpdate(snapshot=True, revision=5, packed_events=packed)
        yield control_pb2.ControlFrame(config=update)
        async for _ in request_iterator:
            pass


class _StandsFarAway(ControlServicer):
    """Acknowledges each heartbeat a while after it came."""

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        async for frame in request_iterator:
            if frame.HasField("heartbeat"):
                await asyncio.sleep(_FAR_ROUND_TRIP_S)
                yield control_pb2.ControlFrame(
                    heartbeat_ack=frame.heartbeat.number, freshness_ms=1000, control_time_ms=1
                )


class ControlLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_stream_is_given_up_and_another_is_opened(self) -> None:
        service = _FallsSilent()
        async with _linked(service) as link, asyncio.timeout(10):
            while service.streams < 2:
                await asyncio.sleep(0.05)
            link.last_heard_s = float("-inf")
            while link.last_heard_s < 0:
                await asyncio.sleep(0.05)

    async def test_the_way_to_control_is_measured(self) -> None:
        async with _linked(_StandsFarAway()) as link, asyncio.timeout(10):
            self.assertEqual(link.min_round_trip_s, 0.0)
            while not link.min_round_trip_s:
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(link.min_round_trip_s, _FAR_ROUND_TRIP_S)
            self.assertLess(link.min_round_trip_s, 1.0)

    async def test_a_new_stream_has_more_patience_after_some_without_a_word(self) -> None:
        """Before a crowded leader 300 gateways gave their streams up before it came to them,
        and opened others, for ever."""
        service = _Crowded()
        async with _linked(service) as link, asyncio.timeout(10):
            while link.last_heard_s < 0:
                self.assertEqual(link.first_frame_s, float("inf"), "streams without a word")
                await asyncio.sleep(0.05)
            self.assertLessEqual(link.first_frame_s, link.last_heard_s)
            self.assertGreater(service.streams, 2, "the first ones are given up as ever")
            streams = service.streams
            await asyncio.sleep(8 * _HEARTBEAT_S)
            self.assertEqual(service.streams, streams, "the one with a word lasts")

    async def test_a_member_that_only_names_the_leader_takes_no_patience_away(self) -> None:
        """Each stream to the crowded leader came after a follower's word, which counted as
        control's: 36 were given up in 15 s, and none lasted."""
        service = _Crowded()
        async with (
            _served(service) as leader,
            _linked(_Follows(leader)) as link,
            asyncio.timeout(10),
        ):
            while link.last_heard_s < 0:
                await asyncio.sleep(0.05)
            self.assertGreater(service.streams, 2, "the first ones are given up as ever")

    async def test_a_configuration_that_cannot_be_unpacked_is_fetched_anew(self) -> None:
        service = _SendsGarbageFirst()
        async with _linked(service) as link, asyncio.timeout(10):
            while link.configuration.revision < 5:
                await asyncio.sleep(0.05)
        self.assertEqual(service.streams, 2)


@asynccontextmanager
async def _served(service: ControlServicer) -> AsyncIterator[str]:
    """Serve over loopback; give the address."""
    server = make_server()
    add_ControlServicer_to_server(service, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.stop(0)


@asynccontextmanager
async def _linked(service: ControlServicer) -> AsyncIterator[ControlLink]:
    """Run a link to a service over loopback."""
    async with _served(service) as address:
        stubs = GrpcStubs()
        record = ledger_pb2.DaemonRecord(name="gateway-1", role="router", incarnation="a")
        link = ControlLink(
            record, [address], stubs, _HEARTBEAT_S, ControlLinkHandlers(), Environment()
        )
        link.start()
        try:
            yield link
        finally:
            await link.abort()
            await stubs.close()


if __name__ == "__main__":
    unittest.main()
