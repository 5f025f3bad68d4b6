"""Tests of the translation to the users' platform and of the responses to its operator."""

import json
import unittest
from pathlib import Path
from typing import Any

from heronladder_platform.configuration import read_configuration
from heronladder_platform.documents import DocumentError
from heronladder_platform.replica_heartbeats import read_replica
from heronladder_platform.settings import CONTROL, GATEWAY, translate
from heronladder_runtime.errors import SettingsError
from heronladder_schema.v1 import resources_pb2
from platform_stand_ins import (
    KEY,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_ROOT = Path(__file__).parent.parent
_PLATFORM_NAMES = (
    "Server-Stamp",
    "Not-Executed",
    "Expect-Instance",
    "Token-Usage",
    "Prompt-Prefix",
    "Deadline-Ms",
    "Tenant-Id",
    "Replicas.Heartbeat",
    "Config.Replace",
    "pathPrefix",
    "trafficSplit",
    "targetLatencyMs",
    "kvCapacityTokens",
    "apiKeys",
    "coldRemainingMs",
    "HERONLADDER_CONFIG",
)
_SETTINGS = {
    "nodeName": "core-a-1",
    "ip": "10.0.0.2",
    "zone": "a",
    "region": "r",
    "listen": {"control": "10.0.0.2:8229"},
    "internalPorts": [7340, 7355],
    "seeds": ["10.0.0.3:8229", "10.0.0.2:8229", "10.0.0.1:8229"],
    "bootstrap": True,
    "dataDir": "/data/x",
    "faultTolerance": {"machines": 2},
    "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 52, "graceS": 8},
    "somethingNew": {"to": "ignore"},
}


class BoundaryTest(unittest.TestCase):
    def test_no_other_package_contains_platform_names(self) -> None:
        found = [
            f"{path.relative_to(_ROOT)}: {word}"
            for path in sorted((_ROOT / "packages").rglob("*.py"))
            for word in _PLATFORM_NAMES
            if word in path.read_text() and not (word == "pathPrefix" and "validation" in path.name)
        ]
        self.assertEqual(found, [])

    def test_folder_shadows_no_module_and_stays_small(self) -> None:
        self.assertFalse((_ROOT / "platform" / "__init__.py").exists())
        lines = sum(
            len(path.read_text().splitlines()) for path in (_ROOT / "platform").rglob("*.py")
        )
        self.assertLess(lines, 800)


class SettingsTest(unittest.TestCase):
    def test_seeds_form_group_and_other_machines_join(self) -> None:
        seed = translate(_SETTINGS, CONTROL)
        self.assertEqual(
            seed.control.initial_members,
            ",".join(f"10.0.0.{n}=10.0.0.{n}:7340/10.0.0.{n}:8229" for n in (1, 2, 3)),
        )
        self.assertEqual(seed.control.tolerated_losses, 2)
        joining = {"ip": "10.0.0.9", "listen": {"control": "10.0.0.9:8229"}}
        for changes in (joining, {"bootstrap": False}):
            other = translate(_SETTINGS | changes, CONTROL)
            self.assertEqual(other.control.initial_members, "")
            self.assertIn("10.0.0.1:7340", other.control.join_contacts)

    def test_enables_only_options_that_improve_results(self) -> None:
        front = {"listen": {"front": "10.0.0.2:80"}}
        gateway = translate(_SETTINGS | front, GATEWAY).gateway
        for name in ("measured_patience", "behind_after_ms"):
            self.assertGreater(getattr(gateway, name), 0, name)
        for name in ("wait_for_places", "measured_speed"):
            self.assertEqual(getattr(gateway, name), 0, name)

    def test_error_names_missing_settings_field(self) -> None:
        wrong = {key: value for key, value in _SETTINGS.items() if key != "internalPorts"}
        with self.assertRaises(SettingsError) as raised:
            translate(wrong, GATEWAY)
        self.assertIn("internalPorts", str(raised.exception))


class DocumentTest(unittest.TestCase):
    def test_configuration_keeps_document_and_hides_keys(self) -> None:
        document = configuration(3, route("/a/"), unknown={"field": [1, 2]})
        body = json.dumps(document).encode()
        read = read_configuration(body)
        self.assertEqual((read.version, read.source), (3, body))
        self.assertEqual(read.routes[0].kind, resources_pb2.ROUTE_KIND_REPEATABLE)
        self.assertNotIn(KEY, str(read.tenants))

    def test_error_names_invalid_field(self) -> None:
        good: dict[str, Any] = configuration(1, route("/a/"))
        cases = {
            "version": good | {"version": "7"},
            "routes": good | {"routes": None},
            "routes[0].kind": good | {"routes": [route("/a/", kind="odd")]},
            "routes[0].timeoutMs": good | {"routes": [route("/a/", timeoutMs=None)]},
            "tenants[0].apiKeys": good | {"tenants": [{"name": "t"}]},
        }
        for field, document in cases.items():
            with self.assertRaises(DocumentError) as raised:
                read_configuration(json.dumps(document).encode())
            self.assertIn(field, str(raised.exception))
        with self.assertRaises(DocumentError):
            read_configuration(json.dumps(good).encode()[:-5])

    def test_rejects_heartbeat_without_address(self) -> None:
        with self.assertRaises(DocumentError):
            read_replica("i-1", b'{"service": "s", "zone": "z", "state": "ready"}')


class AllowedRegionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests to replicas outside the regions of their route or tenant."""

    async def asyncSetUp(self) -> None:
        away = route("/away/", allowedRegions=["r2"])
        both = route("/both/", allowedRegions=["r1", "r2"])
        none = route("/none/", allowedRegions=["r1"])
        tenants = [{"name": "t", "apiKeys": [KEY], "allowedRegions": ["r2"]}]
        self.fleet: Fleet = await start_fleet(configuration(1, away, both, none, tenants=tenants))
        self.addAsyncCleanup(self.fleet.stop)
        self.served: list[str] = []

        async def script(replica: StandInReplica, received: Received) -> bytes:
            self.served.append(replica.identity)
            return answer(received)

        for zone in ("z1", "z2"):
            await self.fleet.add_replica(f"in-{zone}", script, zone=zone)

    async def test_applies_regions_of_route_and_tenant(self) -> None:
        for path in ("/away/", "/both/") * 4:
            self.assertEqual((await self.fleet.request(path)).status, 200)
        self.assertEqual(set(self.served), {"in-z2"})

    async def test_sends_nothing_without_common_region(self) -> None:
        got = await self.fleet.request("/none/")
        self.assertEqual((got.status, got.headers["Heronladder-Outcome"]), (503, "not-run"))
        self.assertIn(b"region_unserved", got.body)
        self.assertEqual(self.served, [])


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet()

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def _describe_configuration(self) -> tuple[int, bytes]:
        got = await self.fleet.call(self.fleet.control_address, "GET", "/api/Config.Describe")
        return got.status, got.body

    async def test_keeps_highest_version_and_returns_it_unchanged(self) -> None:
        self.assertEqual((await self._describe_configuration())[0], 503)
        second = json.dumps(configuration(2, extra="kept")).encode()
        self.assertEqual((await self.fleet.replace(second)).status, 200)
        self.assertEqual(await self._describe_configuration(), (200, second))
        self.assertEqual((await self.fleet.replace(second)).status, 200)
        lower = await self.fleet.replace(configuration(1))
        self.assertEqual(lower.status, 200)
        other = await self.fleet.replace(configuration(2, route("/other/")))
        self.assertEqual(other.status, 409)
        self.assertEqual(await self._describe_configuration(), (200, second))

    async def test_rejects_invalid_configurations_without_effect(self) -> None:
        good = json.dumps(configuration(1)).encode()
        await self.fleet.replace(good)
        split = [{"service": "app", "weight": 0}, {"service": "app", "weight": 0}]
        weightless = route("/a/", trafficSplit=split)
        shared = [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]
        invalid: dict[str, Any] = {
            "cut short": good[: len(good) // 2],
            "unknown service": configuration(2, route("/a/", service="none")),
            "same place": configuration(2, route("/a/"), route("/a/", name="other")),
            "no weight": configuration(2, weightless),
            "no time limit": configuration(2, route("/a/", timeoutMs=0)),
            "shared key": configuration(2, tenants=shared),
        }
        for name, document in invalid.items():
            got = await self.fleet.replace(document)
            self.assertEqual(got.status, 400, name)
            self.assertTrue(json.loads(got.body)["error"], name)
        self.assertEqual(await self._describe_configuration(), (200, good))

    async def test_malformed_heartbeat_and_unknown_deregistration(self) -> None:
        address = self.fleet.control_address
        wrong = await self.fleet.call(address, "POST", "/api/Replicas.Heartbeat/i-1", b"{")
        self.assertEqual(wrong.status, 400)
        unknown = await self.fleet.call(address, "POST", "/api/Replicas.Deregister/i-9")
        self.assertEqual(unknown.status, 200)
