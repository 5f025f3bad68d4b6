"""Lending of prepaid tokens between gateways over real sockets, with control down."""

import asyncio
import itertools
import unittest

from fleet_case import FleetCase
from heronladder_control import grant_rules
from platform_stand_ins import (
    KEY,
    SERVICE,
    UNHURRIED_MS,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    configuration,
    route,
    start_fleet,
)

_LIMIT = 1_000_000
_PROMPT_TOKENS = 1_000
_MAX_OUTPUT_TOKENS = 80
_GATEWAYS = 4
_DISCONNECTED_S = 2.5  # gateways are disconnected from control by then
_TIMEOUT_S = 10.0
_ENGINE = {"slots": 8, "kvCapacityTokens": 100_000, "stride": 8}


async def _done(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class LendingTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self._numbers = itertools.count()
        tenant = {"name": "tenant-a", "apiKeys": [KEY], "prepaid": _LIMIT}
        service = {"name": SERVICE, "healthPath": "/h", "maxConnections": 9, "engine": _ENGINE}
        self.fleet: Fleet = await start_fleet(
            configuration(
                1,
                route("/safe/", targetLatencyMs=UNHURRIED_MS),
                tenants=[tenant],
                services=[service],
            )
        )
        self.addAsyncCleanup(self.fleet.stop)
        for number in range(2, _GATEWAYS + 1):
            await self.fleet.add_gateway(f"front-{number}")
        await self.fleet.add_replica("i-1", _done)
        async with asyncio.timeout(_TIMEOUT_S):
            while not all(
                gateway.knows("i-1") and self._lenders(gateway) == _GATEWAYS
                for gateway in self.fleet.gateways
            ):
                await asyncio.sleep(0.05)

    @staticmethod
    def _lenders(gateway: StartedGateway) -> int:
        assert gateway.daemon.gateway is not None
        return len(gateway.daemon.gateway.tokens.lenders._known)

    async def _ask(self, gateway: StartedGateway, number: int) -> Answer:
        return await self.fleet.request_at(
            gateway.address,
            "/safe/",
            Request_Id=f"r-{number}",
            Deadline_Ms="900",
            Token_Usage=f"{_PROMPT_TOKENS},{_MAX_OUTPUT_TOKENS}",
            Prompt_Prefix="a:1000",
        )

    async def _ask_until_served(self, gateway: StartedGateway) -> None:
        """Retry after the announced time until served, since a loan may arrive too late."""
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                got = await self._ask(gateway, next(self._numbers))
                if got.status == 200:
                    return
                self.assertEqual(got.status, 503, got)
                await asyncio.sleep(float(got.headers["Retry-After"]))

    def _holder(self) -> StartedGateway:
        for gateway in self.fleet.gateways:
            role = gateway.daemon.gateway
            assert role is not None
            if role.tokens.lenders.is_holder("tenant-a"):
                return gateway
        raise AssertionError("no gateway holds the tenant")

    def _spent_and_on_loan(self) -> tuple[int, int]:
        """Return the spent tokens and the open loans of all gateways.

        Each holder has a balance and may lend, and any other gateway may have drawn tokens.
        """
        spent = on_loan = 0
        for gateway in self.fleet.gateways:
            role = gateway.daemon.gateway
            assert role is not None
            if "tenant-a" in role.tokens.held._balances:
                spent += role.tokens.held._balances["tenant-a"].spent
            on_loan += role.tokens.loan_book.open_loans
        return spent, on_loan

    async def test_gateways_that_were_never_asked_serve_in_a_cut(self) -> None:
        """With tokens at one gateway only, the others reject everything while control is down."""
        await self._ask_until_served(self.fleet.gateways[0])
        await self.fleet.control.abort()
        await asyncio.sleep(_DISCONNECTED_S)
        for gateway in self.fleet.gateways:
            await self._ask_until_served(gateway)
        async with asyncio.timeout(_TIMEOUT_S):
            while self._spent_and_on_loan()[1]:
                await asyncio.sleep(0.05)
        each = _PROMPT_TOKENS + _MAX_OUTPUT_TOKENS
        self.assertEqual(self._spent_and_on_loan(), ((_GATEWAYS + 1) * each, 0))

    async def test_with_the_holder_gone_a_gateway_draws_itself(self) -> None:
        holder = self._holder()
        others = [gateway for gateway in self.fleet.gateways if gateway is not holder]
        await holder.daemon.abort()
        for gateway in others:
            await self._ask_until_served(gateway)

    async def test_a_planned_stop_of_the_holder_loses_nothing(self) -> None:
        holder = self._holder()
        others = [gateway for gateway in self.fleet.gateways if gateway is not holder]
        await self._ask_until_served(others[0])
        await asyncio.sleep(0.5)
        assert holder.daemon.gateway is not None
        # Each of the tenant's holders has a balance, and any of them may have lent tokens.
        used = holder.daemon.gateway.tokens.held._balances["tenant-a"].spent
        await holder.daemon.gateway.stop()
        assert self.fleet.control.control is not None
        account = self.fleet.control.control.state.prepaid.accounts["tenant-a"]
        async with asyncio.timeout(_TIMEOUT_S):
            # The gateway that is now a holder in place of the stopped one draws its balance.
            while (
                grant_rules.charged(account) - self._free_tokens_at(others)
                != _PROMPT_TOKENS + _MAX_OUTPUT_TOKENS
            ):
                await asyncio.sleep(0.05)
            while any(
                entry.holder == holder.daemon.settings.common.name for entry in account.holders
            ):
                await asyncio.sleep(0.05)
        self.assertIn(used, (0, _PROMPT_TOKENS + _MAX_OUTPUT_TOKENS))
        self.assertEqual(account.closed_charge, used)

    @staticmethod
    def _free_tokens_at(gateways: "list[StartedGateway]") -> int:
        roles = [gateway.daemon.gateway for gateway in gateways]
        return sum(role.tokens.held.free("tenant-a") for role in roles if role is not None)


if __name__ == "__main__":
    unittest.main()
