"""Planned stops of a gateway as a process of its own, with callers that keep their connections."""

import asyncio
import math
import tempfile
import unittest
from pathlib import Path

import aiohttp
from call_book import CallBook
from kept_callers import CallPlan, KeptCaller
from lost_rule import CallRecord
from platform_stand_ins import configuration, route
from process_fleet import CONTROL, CONTROL_PORT, GATEWAY, GRACE_S, Machine
from replica_calls import tell
from scripted_replica import ResponseScript, ScriptedReplica

_NET = "127.9.1"
_START_S = 30.0
_TIME_LIMIT_S = 15.0
_LONG_BODY_BYTES = 300_000
_SLOW_READ_PAUSE_S = 0.05  # 40 KB a second
_LATE_S = 3.0  # after SIGTERM
_LATE_LASTS_S = 2.0
_LATE_STEP_S = 0.1
_SETTLE_S = 1.0


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        seeds = [f"{_NET}.1"]
        place = Path(folder.name)
        self.control = Machine(CONTROL, seeds[0], "core-0", place, seeds)
        self.gateway = Machine(GATEWAY, f"{_NET}.51", "front-0", place, seeds)
        self.book = CallBook()
        self.status = 0  # of the last response
        self.statuses: dict[str, int] = {}
        self.replica = ScriptedReplica("r0", self.book.arrived, self.book.done)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        for machine in (self.control, self.gateway):
            self.addCleanup(machine.kill)
            machine.start()
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)
        limit = {"timeoutMs": int(_TIME_LIMIT_S * 1000), "targetLatencyMs": 800}
        streams = limit | {"kind": "streaming", "resumable": True}
        document = configuration(
            1,
            route("/plain/", **limit),
            route("/order/", kind="unsafe", maxAttempts=1, **limit),
            route("/stream/", **streams),
        )
        async with asyncio.timeout(_START_S):
            while await self._tell("/api/Config.Replace", document) != 200:
                await asyncio.sleep(0.1)
            while await self._tell("/api/Replicas.Heartbeat/r0", self._heartbeat()) != 200:
                await asyncio.sleep(0.1)
            while not await self.gateway.is_ready(self.session):
                await asyncio.sleep(0.1)

    def _heartbeat(self) -> dict[str, object]:
        return self.replica.heartbeat()

    async def _tell(self, path: str, body: object) -> int:
        return await tell(self.session, f"{self.control.address}:{CONTROL_PORT}", path, body)

    async def call(self, plan: CallPlan, *, slow: bool = False) -> CallRecord:
        """Make one request."""
        caller = KeptCaller(lambda: self.gateway, slow=slow)
        self.assertTrue(await caller.connect())
        self.addCleanup(caller.close)
        record = self.book.begin("q", self.gateway.name, plan.deadline_s)
        self.status = (await caller.call(plan, record)).status
        return record

    async def test_a_response_that_its_caller_reads_slowly_is_sent_in_full(self) -> None:
        plan = CallPlan(
            "/plain/",
            ResponseScript(body_bytes=_LONG_BODY_BYTES),
            deadline_s=_TIME_LIMIT_S,
            patience_s=_TIME_LIMIT_S,
            read_pause_s=_SLOW_READ_PAUSE_S,
        )
        calling = asyncio.ensure_future(self.call(plan, slow=True))
        await asyncio.sleep(0.3)
        await self.gateway.stop()
        self.assertEqual(self.gateway.faults, [])
        record = await calling
        phases = [line for line in self.gateway.output().splitlines() if "stop_phase" in line]
        self.assertTrue(record.complete, [record.why, *phases])

    async def test_a_request_in_flight_when_the_grace_is_over_gets_a_response(self) -> None:
        plan = CallPlan(
            "/plain/",
            ResponseScript(lasts_s=_TIME_LIMIT_S),
            deadline_s=_TIME_LIMIT_S,
            patience_s=_TIME_LIMIT_S,
        )
        calling = asyncio.ensure_future(self.call(plan))
        await asyncio.sleep(0.3)
        await self.gateway.stop()
        record = await calling
        self.assertTrue(record.complete, record.why)
        self.assertEqual(self.status, 502)
        self.assertIn("phase=grace_over", self.gateway.output())

    async def _call_at(self, path: str, number: int, at_s: asyncio.Future[float]) -> CallRecord:
        """Use a connection before the stop, and once more at a time of the grace."""
        caller = KeptCaller(lambda: self.gateway, slow=False)
        self.assertTrue(await caller.connect())
        self.addCleanup(caller.close)
        streams = path == "/stream/"
        events = 20 if streams else 0
        for lasts_s in (0.05, _LATE_LASTS_S):
            script = ResponseScript(streams=streams, events=events, lasts_s=lasts_s)
            plan = CallPlan(path, script, deadline_s=_TIME_LIMIT_S, patience_s=_TIME_LIMIT_S)
            record = self.book.begin(
                f"{path.strip('/')}-{number}-{lasts_s}", self.gateway.name, _TIME_LIMIT_S
            )
            self.statuses[record.request_id] = (await caller.call(plan, record)).status
            if lasts_s != _LATE_LASTS_S:
                await asyncio.sleep(await at_s + number * _LATE_STEP_S - self._now())
        return record

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def test_requests_late_in_the_grace_are_rejected_and_do_not_run(self) -> None:
        """Guards against requests that are taken late in the grace and cut at its end."""
        signalled_s: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        script = ResponseScript(lasts_s=_TIME_LIMIT_S)
        holding = asyncio.ensure_future(
            self.call(CallPlan("/plain/", script, _TIME_LIMIT_S, _TIME_LIMIT_S))
        )
        calling = [
            asyncio.ensure_future(self._call_at(path, number, signalled_s))
            for path in ("/plain/", "/order/", "/stream/")
            for number in range(round(GRACE_S / _LATE_STEP_S))
        ]
        await asyncio.sleep(_SETTLE_S)
        self.book.sigterm(self.gateway)
        signalled_s.set_result(self._now())
        await self.gateway.stop()
        records = await asyncio.gather(*calling)
        await holding
        late = [one for one in records if one.sent_s - signalled_s.result() > _LATE_S]
        rejected = [one for one in late if self.statuses[one.request_id] == 503]
        self.assertGreater(len(rejected), len(records) / 3)
        for record in late:
            self.assertTrue(record.reached_s == math.inf, record)
            self.assertTrue(record.complete or record not in rejected, record)
        self.assertEqual(self.book.judge([self.gateway], all_cuts=True), [])

    async def test_a_stream_that_is_cut_when_the_grace_is_over_is_recorded(self) -> None:
        plan = CallPlan(
            "/stream/",
            ResponseScript(streams=True, events=100, lasts_s=_TIME_LIMIT_S),
            deadline_s=_TIME_LIMIT_S,
            patience_s=_TIME_LIMIT_S,
        )
        calling = asyncio.ensure_future(self.call(plan))
        await asyncio.sleep(0.3)
        await self.gateway.stop()
        self.assertFalse((await calling).complete)
        cut = [line for line in self.gateway.output().splitlines() if "event=response_cut" in line]
        self.assertEqual(len(cut), 1)
        self.assertIn("request_id=q cause=stop status=200", cut[0])
        self.assertIn("stop_phase=grace_over", cut[0])


if __name__ == "__main__":
    unittest.main()
