"""Reuse of replica addresses by other services.

Every attempt names the intended incarnation. Any other replica at the address responds with 421 and
does not run the request, and gateways stop sending to the old incarnation.
"""

import asyncio
import unittest

from heronladder_router.replica_availability import MISDIRECTED_EXCLUSION_S
from platform_stand_ins import (
    END_OF_CHUNKS,
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

_ROUTES = (
    route("/safe/"),
    route("/once/", kind="unsafe"),
    route("/stream/", kind="streaming", resumable=True, gapAimMs=400),
)


async def _serve_if_addressed(replica: StandInReplica, received: Received) -> bytes:
    """Respond as a replica that checks the name in the request."""
    if received.headers.get("expect-instance") != replica.identity:
        return b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
    return answer(received)


class AddressReuseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1, *_ROUTES))

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def test_a_misdirected_incarnation_is_excluded(self) -> None:
        reused = await self.fleet.add_replica("i-gone", _serve_if_addressed)
        reused.identity = "i-of-another-service"
        sound = await self.fleet.add_replica("i-sound", _serve_if_addressed)
        for number in range(30):
            path = ("/once/", "/safe/", "/stream/")[number % 3]
            got = await self.fleet.request(path, Request_Id=f"u{number}")
            self.assertEqual((got.status, got.body), (200, b"done"))
            await asyncio.sleep(0.05)  # longer than the first suspicion after a failure
        self.assertEqual(len(sound.received), 30)
        self.assertEqual(len(reused.received), 1)

    async def test_a_misdirected_only_replica_is_excluded(self) -> None:
        reused = await self.fleet.add_replica("i-gone", _serve_if_addressed)
        reused.identity = "i-of-another-service"
        for number in range(5):
            got = await self.fleet.request("/once/", Request_Id=f"a{number}")
            self.assertEqual(got.status, 503)
            self.assertGreater(float(got.headers["Retry-After"]), 0)
        self.assertEqual(len(reused.received), 1)

    async def test_a_wrongly_excluded_replica_is_used_again(self) -> None:
        replica = await self.fleet.add_replica("i-1", _serve_if_addressed)
        replica.identity = "for a moment"
        self.assertEqual((await self.fleet.request("/once/")).status, 503)
        replica.identity = "i-1"
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        known = gateway.replicas._replicas["i-1"]
        record = gateway.replicas.availability._records[known.incarnation]
        left_s = record.misdirected_until_s - asyncio.get_running_loop().time()
        self.assertLessEqual(left_s, MISDIRECTED_EXCLUSION_S)
        record.misdirected_until_s = asyncio.get_running_loop().time()
        gateway.replicas._sorted_until_s = record.misdirected_until_s
        self.assertEqual((await self.fleet.request("/once/", Request_Id="b")).status, 200)

    async def test_every_attempt_names_the_incarnation_also_when_resuming(self) -> None:
        async def breaks(replica: StandInReplica, received: Received) -> bytes:
            if "last-event-id" in received.headers:
                return stream_head(received) + event(2) + END_OF_CHUNKS
            replica.close_after = True
            return stream_head(received) + event(1)

        for name in ("i-1", "i-2"):
            await self.fleet.add_replica(name, breaks)
        got = await self.fleet.request("/stream/")
        self.assertEqual(got.status, 200)
        sends = [
            (replica.identity, received.headers.get("expect-instance"))
            for replica in self.fleet.replicas
            for received in replica.received
        ]
        self.assertEqual(len(sends), 2)
        for identity, named in sends:
            self.assertEqual(named, identity)


if __name__ == "__main__":
    unittest.main()
