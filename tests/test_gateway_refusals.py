"""Tests of how long a gateway waits for prepaid tokens before it refuses a request."""

import asyncio
import itertools
import unittest
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.gateway_dispatch import DispatchContext, GatewayDispatcher
from heronladder_router.gateway_request import GatewayRequest, ResponseSink, TokenBounds
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import resources_pb2

# A caller that is refused later than a quarter of the latency objective cannot meet it by a retry.
_REFUSAL_DIVISOR = 4


class _Clock(Environment):
    def monotonic(self) -> float:
        return 100.0


class _NoTokens:
    """Prepaid tokens that are never available; records how long a request waited for them."""

    def __init__(self) -> None:
        self.waited_s = -1.0

    def describe_balance(self, tenant: str) -> str:
        return "none"

    async def reserve(self, tenant: Any, tokens: int, wait_s: float, request_id: str) -> None:
        self.waited_s = wait_s
        raise PrepaidUnavailableError("none", step="test", peer="t", retry_after_s=1.0)


async def _begins_a_stream(_request: object) -> None:
    """Stand in for the origins of streams: the request continues none."""


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_token_refusal_comes_within_a_quarter_of_the_latency_objective(
        self,
    ) -> None:
        """A fixed wait of 0.3 s exceeded a quarter of short objectives, such as 0.2 s of 0.8 s."""
        tokens = _NoTokens()
        link = SimpleNamespace(min_round_trip_s=0.0)
        parts = SimpleNamespace(
            link=link,
            routes=None,
            retry_budget=SimpleNamespace(request=lambda service: None),
            replicas=SimpleNamespace(
                availability=SimpleNamespace(any_unavailable=False),
                limits=SimpleNamespace(requested=lambda service: None),
            ),
            slot_queue=None,
            attempts=None,
            crash_reports=None,
            unreached=None,
            metrics=None,
            tokens=tokens,
            crashing=SimpleNamespace(refused_attribute=lambda request: ""),
            origins=SimpleNamespace(resolve=_begins_a_stream),
            environment=_Clock(),
            log=EventLog("test", "gateway"),
        )
        waited = {}
        for objective_ms, round_trip_s in itertools.product((800, 1500), (0.0, 0.024, 2.0)):
            link.min_round_trip_s = round_trip_s
            request = SimpleNamespace(
                request_id="r",
                fingerprint="f",
                profile=SimpleNamespace(service="model"),
                bounds=TokenBounds(1000, 100),
                deadline_s=115.0,
                matched=SimpleNamespace(
                    tenant=resources_pb2.PrepaidTenant(name="t", prepaid_tokens=1100, limited=True),
                    route=resources_pb2.HostRoute(objective_ms=objective_ms),
                    version=1,
                ),
            )
            dispatcher = GatewayDispatcher(cast(DispatchContext, parts))
            with self.assertRaises(PrepaidUnavailableError):
                await dispatcher.serve(cast(GatewayRequest, request), cast(ResponseSink, None))
            self.assertLess(tokens.waited_s, objective_ms / 1000 / _REFUSAL_DIVISOR)
            waited[objective_ms, round_trip_s] = tokens.waited_s
        for objective_ms in (800, 1500):
            self.assertLess(waited[objective_ms, 0.0], waited[objective_ms, 0.024])

    async def test_a_stop_ends_requests_whose_time_limit_is_just_over(self) -> None:
        """Guards against a stop that fails because a time limit cannot be moved any more."""
        parts = SimpleNamespace(
            link=None,
            routes=None,
            retry_budget=None,
            replicas=None,
            slot_queue=None,
            attempts=None,
            crash_reports=None,
            unreached=None,
            metrics=None,
            tokens=None,
            crashing=None,
            origins=None,
            environment=_Clock(),
            log=EventLog("test", "gateway"),
        )
        dispatcher = GatewayDispatcher(cast(DispatchContext, parts))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0) as time_limit:
                dispatcher._time_limits.add(time_limit)
                try:
                    await asyncio.sleep(1.0)
                finally:
                    dispatcher.end_all()


if __name__ == "__main__":
    unittest.main()
