"""Tests of a gateway between callers and replicas, over real sockets."""

import asyncio
import json
import unittest

from platform_stand_ins import (
    END_OF_CHUNKS,
    UNHURRIED_MS,
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
    route("/plain-stream/", kind="streaming", resumable=False, gapAimMs=400),
    route("/open/", allowAnonymous=True),
    route("/safe/deeper/", timeoutMs=300),
    route("/slow/", kind="unsafe", timeoutMs=9000),
)


async def _done(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


async def _reject(replica: StandInReplica, received: Received) -> bytes:
    return b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def _close(replica: StandInReplica, received: Received) -> bytes:
    return b""


async def _misdirected(replica: StandInReplica, received: Received) -> bytes:
    return b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1, *_ROUTES))

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def test_method_path_query_and_body_arrive_unchanged(self) -> None:
        replica = await self.fleet.add_replica("i-1", _done)
        path = "/safe/a%2Fb//c/..;x?q=%20&empty=&q=2"
        got = await self.fleet.request(path, method="PUT", body=b"\x00body", Deadline_Ms="900")
        self.assertEqual((got.status, got.body), (200, b"done"))
        self.assertEqual(got.headers["Server-Stamp"], "stamp-1")
        received = replica.received[0]
        self.assertEqual((received.method, received.target), ("PUT", path))
        self.assertEqual(received.body, b"\x00body")
        self.assertEqual(received.headers["expect-instance"], "i-1")
        self.assertEqual(received.headers["tenant-id"], "tenant-a")
        self.assertNotIn("authorization", received.headers)
        self.assertLessEqual(int(received.headers["deadline-ms"]), 900)

    async def test_deadline_that_is_no_number_does_not_run(self) -> None:
        """Guards against a 500 for a deadline that cannot be added to a time."""
        replica = await self.fleet.add_replica("i-1", _done)
        for text in ("nan", "inf", "-inf", "soon", ""):
            with self.subTest(text=text):
                got = await self.fleet.request("/safe/a", Deadline_Ms=text)
                self.assertEqual(got.status, 400)
        self.assertEqual(replica.received, [])
        for text in ("-1", "0", "-1e300"):
            with self.subTest(text=text):
                self.assertIn(
                    (await self.fleet.request("/safe/a", Deadline_Ms=text)).status, (503, 504)
                )
        self.assertEqual((await self.fleet.request("/safe/a", Deadline_Ms="1e300")).status, 200)

    async def test_system_headers_of_a_caller_are_dropped(self) -> None:
        """Callers must not set headers that control the engine.

        Forwarded headers made replicas hold slots and copy memory that nobody had asked for, 220
        to 442 times a day.
        """
        attempts: list[Received] = []

        async def lose_once(replica: StandInReplica, received: Received) -> bytes:
            attempts.append(received)
            if received.target == "/stream/" and len(attempts) % 2:
                return stream_head(received) + event(1)  # truncated, so another replica resumes it
            if received.target == "/stream/":
                return stream_head(received) + event(2) + END_OF_CHUNKS
            return answer(received)

        for number in (1, 2):
            replica = await self.fleet.add_replica(f"i-{number}", lose_once)
            replica.close_after = True
        forged = (
            "Hold",
            "Pin-Ms",
            "Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "Expect-Version",
            "Expect-Instance",
            "Tenant-Id",
            "Request-Priority",
        )
        for path in ("/once/", "/safe/", "/stream/", "/plain-stream/"):
            headers = [(spelt, "forged") for name in forged for spelt in (name, name.upper())]
            headers += [("Connection", "pIN-mS, x-mine"), ("X-Mine", "forged"), ("X-Kept", "1")]
            got = await self.fleet.request_with(path, headers)
            self.assertEqual(got.status, 200, path)
        self.assertEqual(len(attempts), 5)
        for received in attempts:
            self.assertNotIn("forged", received.headers.values(), received.target)
            self.assertEqual(received.headers["x-kept"], "1")

    async def test_unknown_routes_unknown_keys_and_large_bodies_are_refused(self) -> None:
        await self.fleet.add_replica("i-1", _done)
        unknown_route = await self.fleet.request("/nowhere/")
        self.assertEqual(unknown_route.status, 404)
        self.assertEqual(json.loads(unknown_route.body)["error"]["code"], "route_not_found")
        unknown_key = await self.fleet.request("/safe/", Authorization="Token other")
        self.assertEqual(unknown_key.status, 401)
        anonymous = await self.fleet.request("/open/", Authorization="Token other")
        self.assertEqual(anonymous.status, 200)
        large_body = await self.fleet.request("/safe/", body=b"x" * 1001)
        self.assertEqual(large_body.status, 413)

    async def test_rejected_request_is_sent_to_another_replica(self) -> None:
        rejecting = await self.fleet.add_replica("i-1", _reject)
        accepting = await self.fleet.add_replica("i-2", _done)
        for number in range(4):
            got = await self.fleet.request("/once/", Request_Id=f"a{number}")
            self.assertEqual(got.status, 200)
        self.assertEqual(len(accepting.received), 4)
        self.assertGreaterEqual(len(rejecting.received), 0)

    async def test_refusal_carries_retry_after_when_no_replica_accepts(self) -> None:
        await self.fleet.add_replica("i-1", _reject)
        await self.fleet.add_replica("i-2", _misdirected)
        got = await self.fleet.request("/once/")
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["Retry-After"]), 0)
        self.assertNotIn("Server-Stamp", got.headers)

    async def test_request_that_may_have_run_is_retried_only_if_repeatable(self) -> None:
        first = await self.fleet.add_replica("i-1", _close)
        second = await self.fleet.add_replica("i-2", _close)
        got = await self.fleet.request("/once/", Request_Id="once")
        self.assertEqual(got.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)
        got = await self.fleet.request("/safe/", Request_Id="twice")
        self.assertEqual(got.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 3)

    async def test_response_to_another_request_is_not_forwarded(self) -> None:
        async def stale(replica: StandInReplica, received: Received) -> bytes:
            received.headers["request-id"] = "another"
            return answer(received, body=b"not yours")

        await self.fleet.add_replica("i-1", stale)
        got = await self.fleet.request("/once/")
        self.assertEqual(got.status, 502)
        self.assertNotIn(b"not yours", got.body)

    async def test_unsolicited_second_response_is_ignored(self) -> None:
        async def doubled(replica: StandInReplica, received: Received) -> bytes:
            return answer(received) + answer(received, body=b"extra")

        await self.fleet.add_replica("i-1", doubled)
        for number in range(3):
            got = await self.fleet.request("/safe/", Request_Id=f"d{number}")
            self.assertEqual((got.status, got.body), (200, b"done"))

    async def test_truncated_or_reset_response_is_reported_as_an_error(self) -> None:
        async def cut(replica: StandInReplica, received: Received) -> bytes:
            replica.close_after = True
            return answer(received)[:-2]

        async def reset_without_length(replica: StandInReplica, received: Received) -> bytes:
            replica.reset = True
            response = answer(received).replace(b"Content-Length: 4\r\n", b"")
            return response

        for script in (cut, reset_without_length):
            replica = await self.fleet.add_replica(f"i-{script.__name__}", script)
            got = await self.fleet.request("/once/", Request_Id=script.__name__)
            self.assertEqual(got.status, 502, script.__name__)
            path = f"/api/Replicas.Deregister/{replica.identity}"
            await self.fleet.call(self.fleet.control_address, "POST", path)
            await asyncio.sleep(0.2)

    async def test_error_response_of_a_replica_is_forwarded_unchanged(self) -> None:
        async def fail(replica: StandInReplica, received: Received) -> bytes:
            return answer(received, "500 Internal Server Error", b"broken")

        await self.fleet.add_replica("i-1", fail)
        got = await self.fleet.request("/once/")
        self.assertEqual((got.status, got.body), (500, b"broken"))
        self.assertEqual(got.headers["Server-Stamp"], "stamp-1")

    async def test_request_ends_at_the_time_limit_of_its_route(self) -> None:
        async def never(replica: StandInReplica, received: Received) -> bytes:
            await asyncio.sleep(10)
            return b""

        await self.fleet.add_replica("i-1", never)
        began_s = asyncio.get_running_loop().time()
        got = await self.fleet.request("/safe/deeper/")
        self.assertEqual(got.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began_s, 0.6)
        self.assertNotIn("Retry-After", got.headers)

    async def test_broken_stream_is_resumed_at_another_replica(self) -> None:
        async def break_stream(replica: StandInReplica, received: Received) -> bytes:
            replica.reset = True
            return stream_head(received) + event(1) + event(2) + event(3)[:-9]

        async def resume(replica: StandInReplica, received: Received) -> bytes:
            after = int(received.headers["last-event-id"])
            events = b"".join(event(number) for number in range(after + 1, 6))
            return stream_head(received) + events + END_OF_CHUNKS

        async def break_then_resume(replica: StandInReplica, received: Received) -> bytes:
            is_resumed = "last-event-id" in received.headers
            return await (resume if is_resumed else break_stream)(replica, received)

        first = await self.fleet.add_replica("i-1", break_then_resume)
        second = await self.fleet.add_replica("i-2", break_then_resume)
        got = await self.fleet.request("/stream/")
        self.assertEqual(got.status, 200)
        ids = [line for line in got.body.decode().splitlines() if line.startswith("id:")]
        self.assertEqual(ids, [f"id: {number}" for number in range(1, 6)])
        self.assertEqual((len(first.received), len(second.received)), (1, 1))

    async def test_broken_stream_that_is_not_resumable_is_aborted(self) -> None:
        async def break_stream(replica: StandInReplica, received: Received) -> bytes:
            replica.reset = True
            return stream_head(received) + event(1)

        replica = await self.fleet.add_replica("i-1", break_stream)
        with self.assertRaises(Exception) as raised:
            await self.fleet.request("/plain-stream/")
        self.assertIn("Client", type(raised.exception).__name__ + str(raised.exception.__class__))
        self.assertEqual(len(replica.received), 1)

    async def test_caller_disconnect_cancels_the_request(self) -> None:
        closed = asyncio.Event()

        async def hold(replica: StandInReplica, received: Received) -> bytes:
            try:
                await asyncio.sleep(30)
            finally:
                closed.set()
            return b""

        replica = await self.fleet.add_replica("i-1", hold)
        caller = asyncio.ensure_future(self.fleet.request("/once/"))
        async with asyncio.timeout(5):
            while not replica.received:
                await asyncio.sleep(0.01)
        assert self.fleet.gateway.gateway is not None
        caller.cancel()
        async with asyncio.timeout(2):
            while self.fleet.gateway.gateway.server.in_flight:
                await asyncio.sleep(0.01)

    async def test_draining_replica_receives_no_requests_after_the_acknowledgement(self) -> None:
        draining = await self.fleet.add_replica("i-1", _done)
        staying = await self.fleet.add_replica("i-2", _done)
        acknowledged = await self.fleet.call(
            self.fleet.control_address,
            "POST",
            "/api/Replicas.Heartbeat/i-1",
            draining.heartbeat(state="draining", sequence=2),
        )
        self.assertEqual(acknowledged.status, 200)
        outdated = draining.heartbeat(state="ready", sequence=1)
        path = "/api/Replicas.Heartbeat/i-1"
        await self.fleet.call(self.fleet.control_address, "POST", path, outdated)
        for number in range(6):
            await self.fleet.request("/safe/", Request_Id=f"n{number}")
        self.assertEqual((len(draining.received), len(staying.received)), (0, 6))

    async def test_planned_stop_ends_readiness_and_finishes_requests(self) -> None:
        async def slow(replica: StandInReplica, received: Received) -> bytes:
            await asyncio.sleep(1.0)
            return answer(received)

        await self.fleet.add_replica("i-1", slow)
        async with asyncio.timeout(5):  # the first configuration may not have arrived yet
            while True:
                ready = await self.fleet.call(self.fleet.ready_address, "GET", "/api/readyz")
                if ready.status == 200:
                    break
                await asyncio.sleep(0.05)
        running = asyncio.ensure_future(self.fleet.request("/once/", Request_Id="before"))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.fleet.gateway.stop())
        await asyncio.sleep(0.1)
        ready = await self.fleet.call(self.fleet.ready_address, "GET", "/api/readyz")
        self.assertEqual(ready.status, 503)
        late = await self.fleet.request("/once/", Request_Id="noticed-late")
        self.assertEqual((late.status, late.headers["Connection"]), (200, "close"))
        self.assertEqual((await running).status, 200)
        await stopping

    async def test_stopping_gateway_answers_on_idle_connections(self) -> None:
        async def by_path(replica: StandInReplica, received: Received) -> bytes:
            if "slow" in received.target:
                await asyncio.sleep(4.0)
            return answer(received)

        await self.fleet.add_replica("i-1", by_path)
        host, _, port = self.fleet.gateway_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            b"GET /safe/a HTTP/1.1\r\nHost: canteen.example\r\nRequest-Id: kept\r\n"
            b"Authorization: Token key-of-tenant-a\r\n\r\n"
        )
        writer.write(head)
        self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(4)
        running = asyncio.ensure_future(self.fleet.request("/slow/slow", Request_Id="long"))
        await asyncio.sleep(0.2)
        stopping = asyncio.ensure_future(self.fleet.gateway.stop())
        await asyncio.sleep(3.0)
        writer.write(head)
        late = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 0.5)
        self.assertIn(b"503 Service Unavailable", late)
        self.assertIn(b"Retry-After", late)
        self.assertIn(b"Connection: close", late)
        writer.close()
        self.assertEqual((await running).status, 200)
        await stopping


class PrepaidTest(unittest.IsolatedAsyncioTestCase):
    async def test_most_tokens_are_reserved_and_402_means_the_balance_is_too_low(self) -> None:
        tenant = {"name": "tenant-a", "apiKeys": ["key-of-tenant-a"], "prepaid": 10_000}
        engine = {"slots": 4, "kvCapacityTokens": 100_000, "stride": 5}
        service = {"name": "app", "healthPath": "/healthz", "engine": engine}
        declared = configuration(
            1,
            route("/stream/", kind="streaming", resumable=True, targetLatencyMs=UNHURRIED_MS),
            tenants=[tenant],
            services=[service],
        )
        fleet = await start_fleet(declared)
        try:

            async def two_events(replica: StandInReplica, received: Received) -> bytes:
                return stream_head(received) + event(1) + event(2) + END_OF_CHUNKS

            await fleet.add_replica("i-1", two_events)
            statuses = []
            for number in range(12):
                got = await fleet.request(
                    "/stream/", Request_Id=f"p{number}", Token_Usage="990,100"
                )
                statuses.append(got.status)
            # Each request used 990 + 2 x 5 tokens. The tenth is refused: its bound of 990 + 100
            # tokens exceeds the remaining balance.
            self.assertEqual(statuses[:9], [200] * 9)
            self.assertEqual(statuses[9:], [402] * 3)
            raised = json.loads(json.dumps(declared)) | {"version": 2}
            raised["tenants"][0]["prepaid"] = 20_000
            self.assertEqual((await fleet.replace(raised)).status, 200)
            got = await fleet.request("/stream/", Request_Id="after", Token_Usage="990,100")
            self.assertEqual(got.status, 200)
        finally:
            await fleet.stop()
