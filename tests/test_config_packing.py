"""Tests of large configurations that are sent to gateways over low-bandwidth links."""

import asyncio
import json
import unittest

from heronladder_platform.configuration import read_configuration
from heronladder_runtime.config_packing import (
    COMPRESSION_THRESHOLD_BYTES,
    PART_BYTES,
    PartJoiner,
    pack,
    part,
    unpack,
    without_source_document,
)
from heronladder_runtime.configuration import FLEET_KIND, FLEET_NAME, ConfigurationStore
from heronladder_schema.v1 import control_pb2
from platform_stand_ins import configuration, route, start_fleet

_LINK_BITS_PER_S = 5_000_000  # link of the machines in large deployments
_TIMEOUT_S = 10.0
_MAX_TRANSFER_S = 0.25  # a quarter of the freshness lease, which a frame in flight may not outlast


def _many_routes(count: int) -> list[dict[str, object]]:
    return [route(f"/{number * 7919:x}/", name=f"r-{number * 104729:x}") for number in range(count)]


def _update(routes: int) -> control_pb2.ConfigUpdate:
    body = json.dumps(configuration(7, *_many_routes(routes))).encode()
    update = control_pb2.ConfigUpdate(revision=9, snapshot=True)
    event = update.events.add(revision=9, kind=FLEET_KIND, name=FLEET_NAME)
    event.resource.fleet_configuration.CopyFrom(read_configuration(body))
    return update


class PackingTest(unittest.TestCase):
    def test_1680_routes_are_sent_within_a_quarter_of_the_freshness_lease(self) -> None:
        """Sent uncompressed, such a configuration left 30 gateways behind for over a second."""
        update = _update(1_680)
        self.assertGreater(update.ByteSize() * 8 / _LINK_BITS_PER_S, 0.7)  # uncompressed
        bare = control_pb2.ConfigUpdate(revision=9, snapshot=True)
        bare.events.extend(without_source_document(event) for event in update.events)
        sent = pack(bare)
        self.assertLess(sent.ByteSize() * 8 / _LINK_BITS_PER_S, _MAX_TRANSFER_S)
        store = ConfigurationStore("gateway")
        store.apply(unpack(sent))
        held = store.fleet()
        assert held is not None
        self.assertEqual(held.routes, update.events[0].resource.fleet_configuration.routes)
        self.assertEqual((store.revision, held.source), (9, b""))

    def test_source_document_is_not_removed_from_the_original(self) -> None:
        update = _update(2)
        without_source_document(update.events[0])
        self.assertTrue(update.events[0].resource.fleet_configuration.source)

    def test_small_updates_are_not_compressed(self) -> None:
        update = control_pb2.ConfigUpdate(revision=3)
        self.assertLess(update.ByteSize(), COMPRESSION_THRESHOLD_BYTES)
        self.assertIs(pack(update), update)
        self.assertIs(unpack(update), update)

    def test_parts_of_an_update_are_joined_again(self) -> None:
        whole = pack(_update(1_680))
        joiner = PartJoiner()
        joined = None
        parts = 0
        while joined is None:
            sent = part(whole, parts * PART_BYTES)
            self.assertLessEqual(len(sent.packed_events), PART_BYTES)
            joined = joiner.add(sent)
            parts += 1
        self.assertGreater(parts, 3)
        self.assertEqual(joined, whole)
        small = control_pb2.ConfigUpdate(revision=3)
        self.assertEqual(joiner.add(part(small, 0)), small)

    def test_invalid_compressed_events_are_rejected(self) -> None:
        sent = pack(_update(400))
        for data in (b"nonsense", sent.packed_events[:-9]):
            with self.assertRaisesRegex(ValueError, "packed configuration"):
                unpack(control_pb2.ConfigUpdate(packed_events=data))


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_serves_by_a_large_configuration_and_operators_read_it_back(
        self,
    ) -> None:
        document = configuration(1, route("/safe/"), *_many_routes(1_680))
        fleet = await start_fleet(document)
        self.addAsyncCleanup(fleet.stop)
        assert fleet.gateway.gateway is not None
        link = fleet.gateway.gateway.link
        # Control acknowledges the change without waiting for a gateway that is not registered yet.
        async with asyncio.timeout(_TIMEOUT_S):
            while link.configuration.fleet() is None:
                await asyncio.sleep(0.02)
        held = link.configuration.fleet()
        assert held is not None
        self.assertEqual((len(held.routes), held.source), (1_681, b""))
        self.assertLess(link.bytes_received * 8 / _LINK_BITS_PER_S, _MAX_TRANSFER_S)
        read = await fleet.call(fleet.control_address, "GET", "/api/Config.Describe")
        self.assertEqual(read.body, json.dumps(document).encode())


if __name__ == "__main__":
    unittest.main()
