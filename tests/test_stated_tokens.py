"""A tenant's prepaid tokens hold whatever a caller states about a request; over real sockets."""

import asyncio
import random
import unittest
from dataclasses import dataclass

from heronladder_router.event_stream import EventSplitter, ForwardedEvents
from heronladder_router.token_bounds import TokenBounds, charged_bounds, parse_token_bounds
from heronladder_router.token_counts import MAX_TOKENS, parse_token_count
from platform_stand_ins import (
    END_OF_CHUNKS,
    HOST,
    KEY,
    SERVICE,
    UNHURRIED_MS,
    Fleet,
    Received,
    StandInReplica,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

_PREPAID = 20_000
_PROMPT = 1_000
_EVENTS = 10
_TOKENS_PER_EVENT = 8
_ENGINE = {"slots": 8, "kvCapacityTokens": 100_000, "stride": _TOKENS_PER_EVENT}
_PATH = "/stream/"
_PATIENCE_S = 10.0
_MALFORMED = ("x,y", "1500", "1500,-1", "-5,50", "1e9,5", "1500,", ",50", "", "1500,50,1", "1_0,5")
_OTHER_SCRIPTS = ("\u0661\u0665,\u0665", "\u00b2,5")  # digits that str.isdigit accepts


@dataclass
class Outcome:
    """What a caller received."""

    status: int
    events: int
    is_complete: bool


class StatedTokensTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        tenant = {"name": "tenant-a", "apiKeys": [KEY], "prepaid": _PREPAID}
        service = {"name": SERVICE, "healthPath": "/h", "maxConnections": 9, "engine": _ENGINE}
        stream = route(
            _PATH, kind="streaming", resumable=False, gapAimMs=400, targetLatencyMs=UNHURRIED_MS
        )
        self.fleet: Fleet = await start_fleet(
            configuration(1, stream, tenants=[tenant], services=[service])
        )
        self.addAsyncCleanup(self.fleet.stop)
        self.received: list[Received] = []
        await self.fleet.add_replica("i-1", self._answer)
        self.handed_out = 0

    async def _answer(self, replica: StandInReplica, received: Received) -> bytes:
        self.received.append(received)
        events = b"".join(event(number) for number in range(1, _EVENTS + 1))
        return stream_head(received) + events + END_OF_CHUNKS

    async def _ask(self, *stated: str, parts: tuple[str, ...] = ("a:1000",)) -> Outcome:
        """Send a request with these headers."""
        lines = [
            f"POST {_PATH} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Token {KEY}",
            "Connection: close",
            "Content-Length: 0",
            f"Request-Id: r-{random.getrandbits(64):x}",
            *(f"Token-Usage: {text}" for text in stated),
            *(f"Prompt-Prefix: {text}" for text in parts),
        ]
        host, _, port = self.fleet.gateway_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join([*lines, "", ""]).encode())
        try:
            async with asyncio.timeout(_PATIENCE_S):
                response = bytearray()
                while data := await reader.read(4096):
                    response += data
        except ConnectionResetError:
            pass  # what had arrived before the reset is kept
        finally:
            writer.close()
        status = int(response.split(b" ", 2)[1]) if response else 0
        outcome = Outcome(status, response.count(b"id:"), response.endswith(END_OF_CHUNKS))
        if outcome.events:
            self.handed_out += _PROMPT + outcome.events * _TOKENS_PER_EVENT
        return outcome

    @property
    def spent(self) -> int:
        """Tokens that the gateway charged."""
        assert self.fleet.gateway.gateway is not None
        return self.fleet.gateway.gateway.tokens.held._balances["tenant-a"].spent

    async def test_malformed_bounds_do_not_run(self) -> None:
        """Guards against a tenant without a limit, who states no bounds or no numbers."""
        for stated in ((), *((text,) for text in (*_MALFORMED, *_OTHER_SCRIPTS))):
            with self.subTest(stated=stated):
                self.assertEqual((await self._ask(*stated)).status, 400)
        self.assertEqual((await self._ask("1000,80", "1,1")).status, 400)
        self.assertEqual((await self._ask("0,0")).status, 400)
        self.assertEqual(self.received, [])

    async def test_malformed_parts_do_not_run(self) -> None:
        """Guards against a prompt whose parts are not counted because one of them is malformed."""
        for parts in (("a:1000,b",), ("a:-1",), ("a:\u0661",), ("a:1000", "a:1")):
            with self.subTest(parts=parts):
                self.assertEqual((await self._ask("1000,80", parts=parts)).status, 400)
        self.assertEqual(self.received, [])

    async def test_tenant_that_understates_stays_within_its_prepaid(self) -> None:
        """Guards against a tenant that receives more than its prepaid by stating less."""
        refused = 0
        for _ in range(60):
            outcome = await self._ask("1,1")
            refused += outcome.status == 402
            self.assertLessEqual(outcome.events, 1)
            self.assertFalse(outcome.is_complete)
        self.assertLessEqual(self.handed_out, _PREPAID)
        self.assertGreater(refused, 0)

    async def test_prompt_costs_at_least_its_parts(self) -> None:
        await self._ask(f"1,{_EVENTS * _TOKENS_PER_EVENT}")
        self.assertEqual(self.spent, _PROMPT + _EVENTS * _TOKENS_PER_EVENT)

    async def test_truthful_stream_is_complete(self) -> None:
        """Guards against a stream cut short whose last event holds fewer tokens than the others."""
        outcome = await self._ask(f"{_PROMPT},{_EVENTS * _TOKENS_PER_EVENT - 7}")
        self.assertEqual(outcome, Outcome(200, _EVENTS, True))

    async def test_stream_beyond_its_stated_output_is_broken_off(self) -> None:
        outcome = await self._ask(f"{_PROMPT},{3 * _TOKENS_PER_EVENT}")
        self.assertEqual(outcome, Outcome(200, 3, False))
        self.assertEqual(self.spent, _PROMPT + 3 * _TOKENS_PER_EVENT)

    async def test_request_above_the_limit_is_refused_at_once(self) -> None:
        """Guards against rates and loans that a request without a limit on its tokens distorts."""
        for number in (2**31, 2**63 - 1, 2**63, 2**64 - 1, 10**40):
            for stated in (f"1500,{number}", f"{number},50"):
                with self.subTest(stated=stated):
                    self.assertEqual((await self._ask(stated)).status, 402)
        self.assertEqual(self.received, [])
        assert self.fleet.gateway.gateway is not None
        balance = self.fleet.gateway.gateway.tokens.held._balances["tenant-a"]
        self.assertEqual((balance.rate, balance._interval_tokens, balance.reserved), (0.0, 0, 0))


class TokenBoundsTest(unittest.TestCase):
    def test_numbers_are_bounded(self) -> None:
        self.assertEqual(parse_token_count(str(MAX_TOKENS)), MAX_TOKENS)
        self.assertEqual(parse_token_count(str(MAX_TOKENS + 1)), MAX_TOKENS)
        self.assertEqual(parse_token_count("9" * 5000), MAX_TOKENS)
        self.assertEqual(parse_token_count("0" * 5000 + "7"), 7)

    def test_malformed_numbers_are_none(self) -> None:
        for text in (*_MALFORMED, *_OTHER_SCRIPTS):
            with self.subTest(text=text):
                self.assertIsNone(parse_token_bounds(text))

    def test_output_is_reserved_in_whole_events(self) -> None:
        self.assertEqual(charged_bounds(["10,80"], ["a:4,b:5"], 6), TokenBounds(10, 84))
        self.assertEqual(charged_bounds(["1,80"], ["a:4,b:5"], 8), TokenBounds(9, 80))
        self.assertEqual(charged_bounds(["1,80"], [], 0), TokenBounds(1, 80))


class EventLimitTest(unittest.TestCase):
    def test_no_event_beyond_the_limit_is_released(self) -> None:
        events = [b"id: %d\ndata: x\n\n" % number for number in range(5)]
        for size in (1, 7, 30, 200):
            with self.subTest(size=size):
                stream = b"".join(events)
                splitter, buffer = EventSplitter(), ForwardedEvents(3)
                chunks = [stream[at : at + size] for at in range(0, len(stream), size)]
                released = b"".join(buffer.add(splitter.feed(chunk)) for chunk in chunks)
                self.assertEqual(released, b"".join(events[:3]))
                self.assertTrue(buffer.is_over)
                self.assertEqual((buffer.events, buffer.last_id), (3, "2"))


if __name__ == "__main__":
    unittest.main()
