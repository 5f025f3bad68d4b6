"""Heartbeats of other writers name no replica to use, and change nothing that is known."""

import json
import unittest
from random import Random
from typing import Any

from heronladder_platform.documents import DocumentError
from heronladder_platform.replica_heartbeats import read_replica
from platform_stand_ins import Received, StandInReplica, answer, configuration, start_fleet

_GOOD: dict[str, Any] = {
    "service": "app",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_791_443_401_234,
}
_NEEDED = ("service", "address", "zone", "version", "slots", "state", "sequence")
_WRONG = (None, [], {}, "", -1, 0.5, 10**400, True, "x" * 5_000, [["v1"]], "warming", "1:2:3")
_BAD_BODIES = (
    b"",
    b"\xff\xfe\x00",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"null",
    b"[]",
    json.dumps(_GOOD)[:-3].encode(),
    json.dumps(_GOOD).replace(": 4,", ": Infinity,").encode(),
    json.dumps(_GOOD).replace(": 8,", ": NaN,").encode(),
    json.dumps(_GOOD | {"more": "x" * 70_000}).encode(),
)
_BAD_FIELDS: tuple[dict[str, Any], ...] = (
    {"state": "warming"},
    {"slots": None},
    {"slots": 2**40},
    {"version": None},
    {"version": ["v1"]},
    {"born": "1791443401234"},
    {"born": 1.5},
    {"born": -3},
    {"sequence": 1e400},
    {"address": "localhost"},
    {"address": "10.0.0.900:80"},
    {"address": "10.0.0.9:80000"},
    {"service": 3},
)


class ReadingTest(unittest.TestCase):
    def test_what_is_not_as_it_should_be_is_refused_whole(self) -> None:
        bodies = [*_BAD_BODIES, *(json.dumps(_GOOD | wrong).encode() for wrong in _BAD_FIELDS)]
        for body in bodies:
            with self.subTest(body=body[:80]), self.assertRaises(DocumentError):
                read_replica("i-1", body)

    def test_one_without_a_start_or_cold_time_is_read(self) -> None:
        told = {name: _GOOD[name] for name in _NEEDED}
        replica = read_replica("i-1", json.dumps(told).encode())
        self.assertEqual((replica.start_ms, replica.cold_ms, replica.slots), (0, 0, 8))

    def test_random_words_are_refused_clearly_and_never_taken(self) -> None:
        """10,000 heartbeats with fields lost, of other types, or bytes changed."""
        source = Random(11)
        taken = 0
        for _ in range(10_000):
            told = dict(_GOOD)
            lost = source.choice(_NEEDED)
            if source.random() < 0.5:
                del told[lost]
            else:
                wrong = source.choice(_WRONG)
                told[lost] = {"deeper": wrong} if lost in ("version", "zone") else wrong
                if lost == "service":
                    told[lost] = [wrong]
            body = bytearray(json.dumps(told).encode())
            if source.random() < 0.3:
                del body[source.randrange(len(body)) :]
            try:
                read_replica("i-1", bytes(body))
                taken += 1
            except DocumentError:
                continue
        self.assertEqual(taken, 0)


class RefusingTest(unittest.IsolatedAsyncioTestCase):
    async def test_they_change_nothing_known_and_others_are_served(self) -> None:
        async def serve(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        replica = await fleet.add_replica("good", serve)
        told = replica.heartbeat()
        bodies = [*_BAD_BODIES, *(json.dumps(told | wrong).encode() for wrong in _BAD_FIELDS)]
        for identity in ("good", "never-heard"):
            for body in bodies:
                path = f"/api/Replicas.Heartbeat/{identity}"
                with self.subTest(identity=identity, body=body[:80]):
                    got = await fleet.call(fleet.control_address, "POST", path, body)
                    self.assertEqual(got.status, 400, got)
        assert fleet.control.control is not None
        self.assertIsNone(fleet.control.control.state.fleet.replica("never-heard"))
        undeclared = told | {"service": "not declared"}
        path = "/api/Replicas.Heartbeat/other-writer"
        await fleet.call(fleet.control_address, "POST", path, undeclared)
        self.assertEqual((await fleet.request("/safe/")).status, 200)
        metrics = fleet.control.control.metrics
        self.assertEqual(metrics.counters["heartbeats_unreadable", ""], 2 * len(bodies))


if __name__ == "__main__":
    unittest.main()
