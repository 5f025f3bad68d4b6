"""Tests of engine management and of the platform's machine list over loopback HTTP.

They cover orders to engines, load reports, prefix cache events and leaving machines.
"""

import asyncio
import logging
import random
import unittest

from heronladder_agent.engine_control import EngineOrder, EngineReconciler, HttpEngineControl
from heronladder_daemon.http_listener import HttpListener
from heronladder_emulator.engine import EmulatedEngine, EngineFaults, EngineOptions
from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_emulator.http import EngineFront, PlatformFront
from heronladder_emulator.platform import Machine, PlatformList, WeightStore
from heronladder_router.platform_watch import PlatformWatch
from heronladder_router.replicas import ReplicaDirectory
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, resources_pb2

LOG = EventLog("test", "agent")


class _FakeLink:
    """Fake link to control with a fresh configuration that holds one backend."""

    def __init__(self) -> None:
        self.fresh = True
        self.configuration = ConfigurationStore("agent")

    def declare(self, revision: int, **spec: object) -> None:
        resource = resources_pb2.Resource(backend=resources_pb2.Backend(**spec))
        resource.metadata.revision = revision
        event = control_pb2.ConfigEvent(kind="backend", name="b", resource=resource)
        self.configuration.apply(control_pb2.ConfigUpdate(events=[event], revision=revision))


async def _wait_until(condition, seconds: float = 10.0) -> None:  # type: ignore[no-untyped-def]
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class EngineControlTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.getLogger("heronladder").setLevel(logging.CRITICAL)
        options = EngineOptions(
            "e", checks_fences=True, report_lag_s=0.0, event_lag_s=0.0, event_gap_every=3
        )
        self.engine = EmulatedEngine(options, ExecutionRecords(), Environment(random.Random(1)))
        self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        front = HttpListener(EngineFront(self.engine).application(), "127.0.0.1:0")
        await front.start()
        self.addAsyncCleanup(front.stop)
        self.control = HttpEngineControl(front.address)

    async def test_engine_is_brought_to_declared_state(self) -> None:
        link = _FakeLink()
        reconciler = EngineReconciler("b", self.control, link, LOG)
        link.declare(5, models=["m-1"], adapters=["a-1"], engine_role="prefill")
        reconciler.start()
        self.addAsyncCleanup(reconciler.stop)
        await _wait_until(lambda: self.engine.role == "prefill")
        self.assertEqual((self.engine.models, self.engine.adapters), ({"m-1"}, {"a-1"}))
        link.declare(9, models=["m-1", "m-2"], engine_role="decode")
        await _wait_until(lambda: self.engine.role == "decode")
        self.assertIn("m-2", self.engine.models)
        self.assertEqual(self.engine.highest_fence, 9)

    async def test_outdated_fence_is_refused_and_stale_agent_sends_no_orders(self) -> None:
        self.addAsyncCleanup(self.control.close)
        self.assertTrue(await self.control.order(EngineOrder("set_role", "decode"), 7))
        self.assertFalse(await self.control.order(EngineOrder("set_role", "prefill"), 6))
        self.assertEqual(self.engine.role, "decode")
        link = _FakeLink()
        link.fresh = False
        link.declare(9, engine_role="prefill")
        reconciler = EngineReconciler("b", self.control, link, LOG)
        await reconciler._send_orders()
        self.assertEqual(self.engine.role, "decode")

    async def test_load_is_polled_and_reset_when_engine_is_unreachable(self) -> None:
        reconciler = EngineReconciler("b", self.control, _FakeLink(), LOG)
        self.engine.set_faults(EngineFaults(slow_factor=100.0))
        self.engine.submit("r", b"x" * 400, 8, 1)
        reconciler.start()
        self.addAsyncCleanup(reconciler.stop)
        await _wait_until(lambda: reconciler.load.running == 1)
        self.control._address = "127.0.0.1:1"
        await _wait_until(lambda: reconciler.load.running == 0)

    async def test_blocks_are_imported_and_event_gaps_are_visible(self) -> None:
        self.addAsyncCleanup(self.control.close)
        await self.control.import_blocks([11, 22, 33, 44])
        self.assertEqual(await self.control.export_blocks(), [11, 22, 33, 44])
        numbers = [event.number for event in await self.control.cache_events(0)]
        self.assertEqual(numbers, [1, 2, 4])  # The engine drops every third event.
        self.assertEqual([e.block for e in await self.control.cache_events(2)], [44])


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def test_leaving_machine_receives_no_new_requests(self) -> None:
        logging.getLogger("heronladder").setLevel(logging.CRITICAL)
        environment = Environment(random.Random(1))
        machines = PlatformList(environment, lag_s=0.0)
        front = HttpListener(PlatformFront(machines, WeightStore(1e6)).application(), "127.0.0.1:0")
        await front.start()
        self.addAsyncCleanup(front.stop)
        configuration = ConfigurationStore("router")
        directory = ReplicaDirectory(configuration, environment)
        spec = resources_pb2.Backend(service="s", agent="a", concurrency=4)
        event = control_pb2.ConfigEvent(
            kind="backend", name="b", resource=resources_pb2.Resource(backend=spec)
        )
        configuration.apply(control_pb2.ConfigUpdate(events=[event], revision=1))
        directory.notice(control_pb2.DaemonNotice(name="a", incarnation="i"))
        watch = PlatformWatch(front.address, directory, LOG)
        watch.start()
        self.addAsyncCleanup(watch.stop)
        self.assertEqual(len(directory.usable("s")), 1)
        machines.set(Machine("a", "127.0.0.1", leaving=True))
        await _wait_until(lambda: not directory.usable("s"))
        configuration.apply(control_pb2.ConfigUpdate(events=[event], revision=2))
        # A new configuration keeps the machine excluded.
        self.assertEqual(directory.usable("s"), [])
        await front.stop()
        await asyncio.sleep(1.2)
        # So does a platform list that cannot be read.
        self.assertEqual(directory.usable("s"), [])
