"""End-to-end tests over loopback sockets, with a small fleet of real daemons.

They cover callers (OpenAI client and plain HTTP), the operator API, planned stops, and replay of
a control member's data folder.
"""

import asyncio
import io
import json
import logging
import tempfile
import unittest
from pathlib import Path

import aiohttp
import openai
from heronladder_emulator.engine import EngineFaults, expected_completion
from heronladder_runtime.clock import seconds
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_tools.demo_fleet import OPERATOR_TOKEN, DemoFleet
from heronladder_tools.operator_client import ApiError, OperatorClient
from heronladder_tools.profiles import PROFILES, tenant_key
from heronladder_tools.replay import bill_text, replay
from test_resources import _policy

PROFILE = PROFILES["comedores"]


class HttpEndToEndTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.getLogger("heronladder").setLevel(logging.CRITICAL)
        asyncio.get_running_loop().set_debug(False)
        INVARIANT_COUNTERS.clear()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.fleet = DemoFleet(PROFILE, self.folder, 100_000)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.router = next(iter(self.fleet.router_addresses.values()))
        self.operator = OperatorClient(self.fleet.api_addresses, OPERATOR_TOKEN)

    async def asyncTearDown(self) -> None:
        self.assertEqual(INVARIANT_COUNTERS.messages, [])

    def _openai(self, key: str = "") -> openai.AsyncOpenAI:
        client = openai.AsyncOpenAI(
            base_url=f"http://{self.router}/v1",
            api_key=key or tenant_key(PROFILE, 0),
            max_retries=0,
        )
        self.addAsyncCleanup(client.close)
        return client

    async def _post(
        self, path: str, body: object, key: str = "", **headers: str
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        sent_headers = {"Authorization": f"Bearer {key or tenant_key(PROFILE, 0)}", **headers}
        data = io.BytesIO(json.dumps(body).encode())
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{self.router}{path}", data=data, headers=sent_headers
            ) as response,
        ):
            return response, await response.read()

    async def test_unmodified_openai_client(self) -> None:
        client = self._openai()
        models = await client.models.list()
        self.assertEqual([model.id for model in models.data], ["menu-1"])
        messages = [{"role": "user", "content": "Which dishes have nuts?"}]
        expected = expected_completion(b"user: Which dishes have nuts?", 20)
        complete = await client.chat.completions.create(
            model="menu-1", messages=messages, max_tokens=20
        )
        self.assertEqual(complete.choices[0].message.content, expected)
        assert complete.usage is not None
        stream = await client.chat.completions.create(
            model="menu-1",
            messages=messages,
            max_tokens=20,
            stream=True,
            stream_options={"include_usage": True},
        )
        text, usage = "", None
        async for chunk in stream:
            text += "".join(choice.delta.content or "" for choice in chunk.choices)
            usage = chunk.usage or usage
        self.assertEqual(text, expected)
        assert usage is not None
        self.assertEqual(usage.completion_tokens, complete.usage.completion_tokens)
        plain = await client.completions.create(model="menu-1", prompt="Soup", max_tokens=9)
        self.assertEqual(plain.choices[0].text, expected_completion(b"Soup", 9))
        with self.assertRaises(openai.AuthenticationError):
            await self._openai("wrong").models.list()
        with self.assertRaises(openai.NotFoundError) as not_found:
            await client.completions.create(model="none", prompt="Soup", max_tokens=9)
        self.assertEqual(not_found.exception.code, "model_not_found")
        with self.assertRaises(openai.RateLimitError) as rate_limited:
            await client.completions.create(model="menu-1", prompt="x", max_tokens=200_000)
        self.assertEqual(rate_limited.exception.code, "budget_exhausted")
        self.assertEqual(rate_limited.exception.response.headers["Heronladder-Outcome"], "not-run")

    async def test_orders_run_once_and_errors_report_the_outcome(self) -> None:
        path = "/services/pre-orders/orders"
        key = {"Idempotency-Key": "order-1"}
        first, body = await self._post(path, {"order_id": "o1"}, **key)
        again, same_body = await self._post(path, {"order_id": "o1"}, **key)
        self.assertEqual((first.status, again.status, body), (200, 200, same_body))
        self.assertEqual(self.fleet.books.executions["o1"], 1)
        self.assertEqual(first.headers["Heronladder-Outcome"], "ran")
        other, _ = await self._post(path, {"order_id": "o2"}, **key)
        self.assertEqual(other.status, 422)
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.router}/v1/outcomes/order-1"
            headers = {"Authorization": f"Bearer {tenant_key(PROFILE, 0)}"}
            async with session.get(url, headers=headers) as response:
                self.assertEqual((await response.json())["outcome"], "ran")
        unknown, body = await self._post("/services/none/x", {})
        self.assertEqual(unknown.status, 404)
        self.assertEqual(json.loads(body)["error"]["code"], "model_not_found")
        large, body = await self._post(path, {"order_id": "x" * 5_000_000})
        self.assertEqual((large.status, json.loads(body)["error"]["code"]), (413, "body_too_large"))

    async def test_disconnected_caller_stops_the_engine(self) -> None:
        for engine in self.fleet.engines.values():
            engine.set_faults(EngineFaults(slow_factor=20.0))
        async with aiohttp.ClientSession() as session:
            body = {"model": "menu-1", "prompt": "a" * 31, "max_tokens": 64, "stream": True}
            headers = {"Authorization": f"Bearer {tenant_key(PROFILE, 0)}"}
            url = f"http://{self.router}/v1/completions"
            async with session.post(url, json=body, headers=headers) as response:
                await response.content.readline()
        running = 1
        for _ in range(200):  # at most 10 s
            running = sum(len(engine._running) for engine in self.fleet.engines.values())
            if not running:
                break
            await asyncio.sleep(0.05)
        self.assertEqual(running, 0)
        (run,) = next(iter(self.fleet.books.engine_runs.values()))
        self.assertFalse(run.finished)

    async def test_operator_api_writes_conflicts_watch_and_status(self) -> None:
        found = await self.operator.get("tenant", "tenant-0")
        assert found is not None
        self.assertTrue(found["status"]["inForce"])
        created = await self.operator.put(_policy("p"), 0, 20.0)
        self.assertTrue(created["status"]["inForce"])
        with self.assertRaises(ApiError) as conflict:
            await self.operator.put(_policy("p", "power_of_two"), 0, 0)
        self.assertEqual(conflict.exception.status, 409)
        self.assertEqual(conflict.exception.document["currentVersion"], 1)
        tenant_client = OperatorClient(self.fleet.api_addresses, tenant_key(PROFILE, 0))
        with self.assertRaises(ApiError) as unauthorized:
            await tenant_client.list("tenant")
        self.assertEqual(unauthorized.exception.status, 401)
        with self.assertRaises(ApiError) as referenced:
            await self.operator.call("DELETE", "/v1/Budget/budget-0")
        self.assertEqual(referenced.exception.status, 409)
        document = await self.operator.call("GET", "/v1/status")
        self.assertEqual(document["heldUpBy"], [])
        self.assertEqual(len(document["daemons"]), 15)
        watched_names = []
        async for event in self.operator.watch(0, "RoutingPolicy"):
            if event["type"] == "bookmark":
                break
            watched_names.append(event["resource"]["metadata"]["name"])
        self.assertEqual(watched_names, ["default", "p"])

    async def test_watch_from_a_compacted_revision_is_told_to_resync(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None and leader.control is not None
        table = leader.control.state.resources
        table.compact(3)
        kinds = []
        async for event in self.operator.watch(1, ""):
            if event["type"] == "bookmark":
                break
            kinds.append(event["type"])
        self.assertEqual(kinds[0], "resync")
        self.assertEqual(kinds.count("put"), 35)  # number of resources in the profile
        later_kinds = []
        async for event in self.operator.watch(table.compacted_revision, ""):
            if event["type"] == "bookmark":
                break
            later_kinds.append(event["type"])
        self.assertEqual(later_kinds, ["put"] * 3)

    async def test_planned_stop_completes_streams_and_returns_leases(self) -> None:
        body = {"model": "menu-1", "prompt": "a" * 31, "max_tokens": 64, "stream": True}
        call = asyncio.ensure_future(self._post("/v1/completions", body))
        await asyncio.sleep(0.05)
        name = next(iter(self.fleet.routers))
        daemon = self.fleet.routers.pop(name)
        await daemon.stop()
        _, body_received = await call
        self.assertTrue(body_received.endswith(b"data: [DONE]\n\n"))
        leader = self.fleet.leader()
        assert leader is not None and leader.control is not None
        account = leader.control.state.ledger.account("budget-0")
        assert account is not None
        self.assertEqual(account.available + account.billed, account.allotted)
        self.assertGreater(account.billed, 0)

    async def test_a_request_late_in_a_planned_stop_is_rejected_and_does_not_run(self) -> None:
        for engine in self.fleet.engines.values():
            engine.set_faults(EngineFaults(slow_factor=20.0))
        body = {"model": "menu-1", "prompt": "a" * 31, "max_tokens": 64, "stream": True}
        headers = {"Authorization": f"Bearer {tenant_key(PROFILE, 0)}"}
        url = f"http://{self.router}/v1/completions"
        holding = asyncio.ensure_future(self._post("/v1/completions", body))
        await asyncio.sleep(0.05)
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{self.router}/v1/models", headers=headers) as before:
                self.assertEqual(before.status, 200)
            daemon = self.fleet.routers.pop(next(iter(self.fleet.routers)))
            stopping = asyncio.ensure_future(daemon.stop())
            await asyncio.sleep(seconds(daemon.settings.router.balancer_lag_ms) + 0.2)
            runs = len(self.fleet.books.engine_runs)
            async with session.post(url, json=body, headers=headers) as late:
                self.assertEqual(late.status, 503)
                self.assertEqual(late.headers["Heronladder-Outcome"], "not-run")
        _, received = await holding
        await stopping
        self.assertTrue(received.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(len(self.fleet.books.engine_runs), runs)

    async def test_replay_explains_a_bill_from_the_data_folder(self) -> None:
        response, _ = await self._post(
            "/services/pre-orders/orders", {"order_id": "o1"}, **{"Idempotency-Key": "k"}
        )
        request_id = response.headers["Heronladder-Request-Id"]
        leader = self.fleet.leader()
        assert leader is not None
        name = leader.settings.common.name
        replayed = replay(self.folder / name / "control", request_id=request_id)
        self.assertIn(request_id, bill_text(replayed, "tenant-0"))
        story = "\n".join(replayed.story)
        self.assertIn("claimed under key k", story)
        self.assertIn("outcome ran", story)
