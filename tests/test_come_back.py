"""Whether a refused caller is told to come back at all."""

import unittest
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.errors import CallerError, PrepaidUnavailableError
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_server import GatewayServer
from heronladder_router.tokens.access import TokenAccess
from heronladder_router.tokens.balance import TokenBalance
from heronladder_router.tokens.borrowing import LoanRefusal
from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.lending import LoanBook
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2, lending_pb2


async def _shortage(result: control_pb2.CommandResult) -> PrepaidUnavailableError:
    """Return what a request gets when control has too few tokens."""
    holder = HeldTokens.__new__(HeldTokens)
    holder._environment = Environment()
    try:
        await holder._act_on_shortage(TokenBalance("t"), 10, result)
    except PrepaidUnavailableError as error:
        return error
    raise AssertionError("it was not refused")


class SpentTokensTest(unittest.IsolatedAsyncioTestCase):
    """1,872 refused callers of two played days came back after 5 s or before; 13 were served."""

    async def test_what_is_charged_for_lost_routers_is_not_expected_free(self) -> None:
        self.assertFalse((await _shortage(control_pb2.CommandResult())).free_expected)

    async def test_a_borrower_hears_of_it_from_a_lender(self) -> None:
        error = await _shortage(control_pb2.CommandResult())
        book = LoanBook.__new__(LoanBook)
        book.stopping = False
        book._held = cast(HeldTokens, SimpleNamespace(window=SimpleNamespace(out_of_touch=False)))
        reply = lending_pb2.LendReply()
        book._refuse(reply, error)
        refusal = LoanRefusal(10)
        refusal.note("lender", reply)
        self.assertFalse(TokenAccess._unavailable("t", refusal).free_expected)
        slow = lending_pb2.LendReply(outcome=lending_pb2.LOAN_OUTCOME_SHORT, retry_after_ms=300)
        other = LoanRefusal(10)
        other.note("lender", slow)
        self.assertTrue(TokenAccess._unavailable("t", other).free_expected)


def _told(error: CallerError, *, hopeless_retries: bool) -> str | None:
    """Return the Retry-After of a refusal."""
    server = GatewayServer(
        cast(Any, None),
        cast(Any, SimpleNamespace(version=1)),
        cast(
            Any,
            SimpleNamespace(
                configuration=SimpleNamespace(revision=1),
                standing=SimpleNamespace(in_force_revision=1),
                last_heard_s=0.0,
                knows_newest=True,
            ),
        ),
        GatewayNames(),
        Environment(),
        Metrics(),
        EventLog("test", "gateway"),
    )
    server.hopeless_retries = hopeless_retries
    return server._refuse(cast(Any, SimpleNamespace(headers={})), error).headers.get("Retry-After")


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_time_is_told_where_none_is_expected(self) -> None:
        where = {"step": "reserve", "peer": "t"}
        spent = PrepaidUnavailableError("none", **where, retry_after_s=5.0, spent=True)
        slow = PrepaidUnavailableError("none", **where, retry_after_s=0.3)
        self.assertIsNone(_told(spent, hopeless_retries=False))
        self.assertEqual(_told(spent, hopeless_retries=True), "5")
        self.assertEqual(_told(slow, hopeless_retries=False), "0.3")


if __name__ == "__main__":
    unittest.main()
