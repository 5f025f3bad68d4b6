"""A request costs its tenant the tokens that the tenant received; over real sockets."""

import unittest

from platform_stand_ins import (
    END_OF_CHUNKS,
    KEY,
    SERVICE,
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

_PROMPT_TOKENS = 1_000
_MAX_OUTPUT_TOKENS = 80
_TOKENS_PER_EVENT = 8
_TOKENS_AFTER_DISCONNECT = 40  # generated before an engine notices a closed connection
_ENGINE = {"slots": 8, "kvCapacityTokens": 100_000, "stride": _TOKENS_PER_EVENT}
_STREAMS = {"kind": "streaming", "gapAimMs": 400, "targetLatencyMs": UNHURRIED_MS}


class PrepaidUseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        tenant = {"name": "tenant-a", "apiKeys": [KEY], "prepaid": 100_000}
        service = {"name": SERVICE, "healthPath": "/h", "maxConnections": 9, "engine": _ENGINE}
        streams = [
            route(
                "/stream/",
                kind="streaming",
                resumable=False,
                gapAimMs=400,
                targetLatencyMs=UNHURRIED_MS,
            ),
            route(
                "/resumable/",
                kind="streaming",
                resumable=True,
                gapAimMs=400,
                targetLatencyMs=UNHURRIED_MS,
            ),
        ]
        self.fleet: Fleet = await start_fleet(
            configuration(1, *streams, tenants=[tenant], services=[service])
        )
        self.addAsyncCleanup(self.fleet.stop)

    async def _used(self, path: str) -> int:
        """Send one request; return the tokens that it cost."""
        headers = {
            "Token_Usage": f"{_PROMPT_TOKENS},{_MAX_OUTPUT_TOKENS}",
            "Prompt_Prefix": "a:1000",
        }
        try:
            await self.fleet.request(path, **headers)
        except OSError:
            pass  # the replica broke the stream
        except Exception as error:
            self.assertIn("Payload", type(error).__name__)
        assert self.fleet.gateway.gateway is not None
        balance = self.fleet.gateway.gateway.tokens.held._balances["tenant-a"]
        self.assertEqual(balance.reserved, 0)
        return balance.spent

    async def test_a_request_without_output_costs_nothing(self) -> None:
        """Charges for lost responses took 4 in 100 of a tenant's tokens."""

        async def lose(replica: StandInReplica, received: Received) -> bytes:
            return b""

        await self.fleet.add_replica("i-1", lose)
        self.assertEqual(await self._used("/stream/"), 0)

    async def test_a_failure_of_the_replica_costs_nothing(self) -> None:
        async def fail(replica: StandInReplica, received: Received) -> bytes:
            return answer(received, "500 Internal Server Error")

        await self.fleet.add_replica("i-1", fail)
        self.assertEqual(await self._used("/stream/"), 0)

    async def test_a_stream_broken_in_the_middle_is_charged_for_possible_output(self) -> None:
        async def break_stream(replica: StandInReplica, received: Received) -> bytes:
            replica.close_after = True
            return stream_head(received) + event(1) + event(2)

        await self.fleet.add_replica("i-1", break_stream)
        expected = _PROMPT_TOKENS + 2 * _TOKENS_PER_EVENT + _TOKENS_AFTER_DISCONNECT
        self.assertEqual(await self._used("/stream/"), expected)

    async def test_a_prompt_is_charged_once_when_a_stream_resumes_elsewhere(self) -> None:
        sent = []

        async def close_after_one_event(replica: StandInReplica, received: Received) -> bytes:
            sent.append(received)
            replica.close_after = True
            if len(sent) == 1:
                return stream_head(received) + event(1)
            return stream_head(received) + event(2) + END_OF_CHUNKS

        await self.fleet.add_replica("i-1", close_after_one_event)
        await self.fleet.add_replica("i-2", close_after_one_event)
        self.assertEqual(await self._used("/resumable/"), _PROMPT_TOKENS + 2 * _TOKENS_PER_EVENT)


if __name__ == "__main__":
    unittest.main()
