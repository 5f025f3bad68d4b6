"""How long a gateway waits for prepaid tokens before it refuses."""

import itertools
import unittest
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.gateway_dispatch import GatewayDispatcher, GatewayParts
from heronladder_router.gateway_request import AnswerSink, GatewayRequest, TokenBounds
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import resources_pb2

_PART_OF_OBJECTIVE = 4  # a refusal later than a quarter of it cannot be made good


class _Clock(Environment):
    def monotonic(self) -> float:
        return 100.0


class _NoTokens:
    """Prepaid tokens that are never to be had; notes how long they were waited for."""

    def __init__(self) -> None:
        self.waited_s = -1.0

    def state_of(self, tenant: str) -> str:
        return "none"

    async def reserve(self, tenant: Any, tokens: int, wait_s: float, request_id: str) -> None:
        self.waited_s = wait_s
        raise PrepaidUnavailableError("none", step="test", peer="t", retry_after_s=1.0)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_for_want_of_tokens_comes_within_a_quarter_of_the_objective(
        self,
    ) -> None:
        """Each waited 0.3 s where a quarter of the objective is 0.2 s (canteens)."""
        tokens = _NoTokens()
        link = SimpleNamespace(routers=1, min_round_trip_s=0.0)
        parts = SimpleNamespace(
            link=link,
            routes=None,
            allowance=SimpleNamespace(gateways=1, request=lambda service: None),
            replicas=SimpleNamespace(
                availability=SimpleNamespace(any_unavailable=False),
                limits=SimpleNamespace(requested=lambda service: None),
            ),
            places=None,
            tokens=tokens,
            crashing=SimpleNamespace(is_refused=lambda fingerprint: False),
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
                    tenant=resources_pb2.PrepaidTenant(name="t", prepaid_tokens=1, limited=True),
                    route=resources_pb2.HostRoute(objective_ms=objective_ms),
                    version=1,
                ),
            )
            dispatcher = GatewayDispatcher(cast(GatewayParts, parts))
            with self.assertRaises(PrepaidUnavailableError):
                await dispatcher.serve(cast(GatewayRequest, request), cast(AnswerSink, None))
            self.assertLess(tokens.waited_s, objective_ms / 1000 / _PART_OF_OBJECTIVE)
            waited[objective_ms, round_trip_s] = tokens.waited_s
        for objective_ms in (800, 1500):
            self.assertLess(waited[objective_ms, 0.0], waited[objective_ms, 0.024])


if __name__ == "__main__":
    unittest.main()
