"""Tests of the link to control over real sockets, with control that is silent, slow or faulty."""

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
_REMOTE_ROUND_TRIP_S = 0.024


class _SilentAfterTwoHeartbeats(ControlServicer):
    """Acknowledges two heartbeats of its first stream, then sends nothing more on it."""

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


class _OverloadedLeader(ControlServicer):
    """Serves a stream only after twice a link's timeout, as an overloaded leader does."""

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


class _Follower(ControlServicer):
    """Redirects to the leader at once, as a follower does.

    Args:
        leader: Address of the leader.
    """

    def __init__(self, leader: str) -> None:
        self._leader = leader

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        yield control_pb2.ControlFrame(not_leader=True, leader_address=self._leader)


class _InvalidConfigurationFirst(ControlServicer):
    """Sends an invalid configuration on its first stream, and valid ones on later streams."""

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


class _RemoteControl(ControlServicer):
    """Acknowledges each heartbeat after the round trip to a remote region."""

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        async for frame in request_iterator:
            if frame.HasField("heartbeat"):
                await asyncio.sleep(_REMOTE_ROUND_TRIP_S)
                yield control_pb2.ControlFrame(
                    heartbeat_ack=frame.heartbeat.number, freshness_ms=1000, control_time_ms=1
                )


class ControlLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_stream_is_closed_and_reopened(self) -> None:
        service = _SilentAfterTwoHeartbeats()
        async with _linked(service) as link, asyncio.timeout(10):
            while service.streams < 2:
                await asyncio.sleep(0.05)
            link.last_heard_s = float("-inf")
            while link.last_heard_s < 0:
                await asyncio.sleep(0.05)

    async def test_heartbeat_round_trip_is_measured(self) -> None:
        async with _linked(_RemoteControl()) as link, asyncio.timeout(10):
            self.assertEqual(link.min_round_trip_s, 0.0)
            while not link.min_round_trip_s:
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(link.min_round_trip_s, _REMOTE_ROUND_TRIP_S)
            self.assertLess(link.min_round_trip_s, 1.0)

    async def test_timeout_grows_after_streams_without_a_frame(self) -> None:
        """With a fixed timeout, 300 gateways closed their streams before an overloaded leader
        served them, and opened new ones, without end."""
        service = _OverloadedLeader()
        async with _linked(service) as link, asyncio.timeout(10):
            while link.last_heard_s < 0:
                self.assertEqual(
                    link.first_frame_s, float("inf"), "a frame without a heartbeat response"
                )
                await asyncio.sleep(0.05)
            self.assertLessEqual(link.first_frame_s, link.last_heard_s)
            self.assertGreater(
                service.streams, 2, "the first streams are closed at the usual timeout"
            )
            streams = service.streams
            await asyncio.sleep(8 * _HEARTBEAT_S)
            self.assertEqual(service.streams, streams, "the stream with a frame is kept")

    async def test_redirect_by_a_follower_does_not_reset_the_timeout(self) -> None:
        """Each stream to the overloaded leader followed a redirect by a follower. Counted as a
        frame from control, it reset the timeout: 36 streams were closed in 15 s."""
        service = _OverloadedLeader()
        async with (
            _served(service) as leader,
            _linked(_Follower(leader)) as link,
            asyncio.timeout(10),
        ):
            while link.last_heard_s < 0:
                await asyncio.sleep(0.05)
            self.assertGreater(
                service.streams, 2, "the first streams are closed at the usual timeout"
            )

    async def test_invalid_configuration_is_requested_again(self) -> None:
        service = _InvalidConfigurationFirst()
        async with _linked(service) as link, asyncio.timeout(10):
            while link.configuration.revision < 5:
                await asyncio.sleep(0.05)
        self.assertEqual(service.streams, 2)


@asynccontextmanager
async def _served(service: ControlServicer) -> AsyncIterator[str]:
    """Serve over loopback and yield the address."""
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
    """Run a link to a service over loopback and yield it."""
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
