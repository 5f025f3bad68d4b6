"""Tests that invalid heartbeats from other programs are rejected and change no state."""

import json
import unittest
from random import Random
from typing import Any

from heronladder_platform.documents import DocumentError
from heronladder_platform.replica_heartbeats import read_replica
from platform_stand_ins import Received, StandInReplica, answer, configuration, start_fleet

_VALID: dict[str, Any] = {
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
_REQUIRED = ("service", "address", "zone", "version", "slots", "state", "sequence")
_INVALID_VALUES = (
    None,
    [],
    {},
    "",
    -1,
    0.5,
    10**400,
    True,
    "x" * 5_000,
    [["v1"]],
    "warming",
    "1:2:3",
)
_INVALID_BODIES = (
    b"",
    b"\xff\xfe\x00",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"null",
    b"[]",
    json.dumps(_VALID)[:-3].encode(),
    json.dumps(_VALID).replace(": 4,", ": Infinity,").encode(),
    json.dumps(_VALID).replace(": 8,", ": NaN,").encode(),
    json.dumps(_VALID | {"more": "x" * 70_000}).encode(),
)
_INVALID_FIELDS: tuple[dict[str, Any], ...] = (
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


class HeartbeatParsingTest(unittest.TestCase):
    def test_rejects_invalid_heartbeats(self) -> None:
        bodies = [
            *_INVALID_BODIES,
            *(json.dumps(_VALID | wrong).encode() for wrong in _INVALID_FIELDS),
        ]
        for body in bodies:
            with self.subTest(body=body[:80]), self.assertRaises(DocumentError):
                read_replica("i-1", body)

    def test_accepts_heartbeat_without_start_or_cold_time(self) -> None:
        heartbeat = {name: _VALID[name] for name in _REQUIRED}
        replica = read_replica("i-1", json.dumps(heartbeat).encode())
        self.assertEqual((replica.start_ms, replica.cold_ms, replica.slots), (0, 0, 8))

    def test_rejects_all_randomly_damaged_heartbeats(self) -> None:
        """Parse 10,000 heartbeats with missing fields, wrong types or truncated bodies."""
        source = Random(11)
        accepted = 0
        for _ in range(10_000):
            heartbeat = dict(_VALID)
            name = source.choice(_REQUIRED)
            if source.random() < 0.5:
                del heartbeat[name]
            else:
                wrong = source.choice(_INVALID_VALUES)
                heartbeat[name] = {"deeper": wrong} if name in ("version", "zone") else wrong
                if name == "service":
                    heartbeat[name] = [wrong]
            body = bytearray(json.dumps(heartbeat).encode())
            if source.random() < 0.3:
                del body[source.randrange(len(body)) :]
            try:
                read_replica("i-1", bytes(body))
                accepted += 1
            except DocumentError:
                continue
        self.assertEqual(accepted, 0)


class HeartbeatRejectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_rejected_heartbeats_change_no_state_and_requests_are_served(self) -> None:
        async def serve(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        replica = await fleet.add_replica("good", serve)
        heartbeat = replica.heartbeat()
        bodies = [
            *_INVALID_BODIES,
            *(json.dumps(heartbeat | wrong).encode() for wrong in _INVALID_FIELDS),
        ]
        for identity in ("good", "never-heard"):
            for body in bodies:
                path = f"/api/Replicas.Heartbeat/{identity}"
                with self.subTest(identity=identity, body=body[:80]):
                    got = await fleet.call(fleet.control_address, "POST", path, body)
                    self.assertEqual(got.status, 400, got)
        assert fleet.control.control is not None
        self.assertIsNone(fleet.control.control.state.fleet.replica("never-heard"))
        undeclared = heartbeat | {"service": "not declared"}
        path = "/api/Replicas.Heartbeat/other-writer"
        await fleet.call(fleet.control_address, "POST", path, undeclared)
        self.assertEqual((await fleet.request("/safe/")).status, 200)
        metrics = fleet.control.control.metrics
        self.assertEqual(metrics.counters["heartbeats_unreadable", ""], 2 * len(bodies))


if __name__ == "__main__":
    unittest.main()
