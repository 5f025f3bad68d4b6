"""Tokens borrowed from other gateways, for one request each.

Few are asked, one after the other: the holder of the own zone first, one in another region last,
with time that the way there and back takes. A loan that was
asked for is settled at its lender, whether its answer came or not, until the lender has
confirmed that or has ended.
"""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import lending_pb2

from heronladder_router.tokens.lender_account import LenderAccount
from heronladder_router.tokens.lenders import Lender, Lenders
from heronladder_router.tokens.lending_group import LendingGroup
from heronladder_router.tokens.peer_key import PeerKey

_MOST_ASKED = 3  # lenders for one request
_SHARE_OF_WAIT = 0.5  # of what is left of the wait, for each lender but the last
_LEAST_WAIT_S = 0.03  # an answer within a zone takes so long on a busy machine
_FAR_ROUND_TRIPS = 2.5  # time that a lender in another region gets
_FAR_FIRST_WAIT_S = 0.06  # the same before one answered: two ways of 12 ms
_ANSWER_MARGIN_S = 0.01  # a lender answers so much before its answer is given up
_SET_ASIDE_S = 1.0  # a lender that did not answer is asked last
_SETTLE_PAUSE_S = 0.1  # over which settlements of one lender are gathered
_SETTLE_TIMEOUT_S = 1.0
_SETTLE_AGAIN_S = 0.5
_REFUSAL_HOLDS_S = 0.4  # a shortage costs no storm of messages (as for draws)
_TELLS_NOTHING = (  # of the tenant's tokens
    lending_pb2.LOAN_OUTCOME_STOPPING,
    lending_pb2.LOAN_OUTCOME_REFUSED,
    lending_pb2.LOAN_OUTCOME_CLOSED,
)
_NO_ANSWER = lending_pb2.LOAN_OUTCOME_UNSPECIFIED


def outcome_name(outcome: lending_pb2.LoanOutcome.ValueType) -> str:
    """Return an outcome as logs, metrics and refusals name it."""
    if outcome == _NO_ANSWER:
        return "no_answer"
    return lending_pb2.LoanOutcome.Name(outcome).removeprefix("LOAN_OUTCOME_").lower()


@dataclass
class LoanRefusal:
    """Why nothing was borrowed.

    Attributes:
        tokens: How many were wanted.
        outcome: Of the lender that knew most; unspecified if none answered.
        retry_after_s: When tokens are likely to be had, in seconds.
        asked: Lenders that were asked.
        until_s: For so long others that want as many are refused unasked.
    """

    tokens: int
    outcome: lending_pb2.LoanOutcome.ValueType = _NO_ANSWER
    retry_after_s: float = 0.0
    asked: list[str] = field(default_factory=list)
    until_s: float = float("-inf")

    def holds(self, tokens: int, now_s: float) -> bool:
        """Whether another request for so many tokens need not ask."""
        return now_s < self.until_s and tokens >= self.tokens

    def note(self, name: str, reply: lending_pb2.LendReply | None) -> None:
        """Take in what one lender answered; None if it did not."""
        self.asked.append(name)
        if reply is None or reply.outcome in _TELLS_NOTHING:
            return
        retry_after_s = reply.retry_after_ms / MILLISECONDS_PER_SECOND
        # One with control in reach knows more of what is left than one without.
        if self.outcome in (_NO_ANSWER, lending_pb2.LOAN_OUTCOME_NO_CONTROL):
            self.outcome = reply.outcome
            self.retry_after_s = retry_after_s


class Loan:
    """Tokens of another gateway, set aside there for one request.

    Args:
        owner: Tells the lender what was used.
        account: The account with the lender.
        number: Of the loan.
        tokens: Its size.
    """

    def __init__(
        self, owner: "BorrowedTokens", account: LenderAccount, number: int, tokens: int
    ) -> None:
        self._owner = owner
        self._account = account
        self._number = number
        self.tokens = tokens

    @property
    def lender(self) -> str:
        """Name of the gateway whose tokens they are."""
        return self._account.lender

    def settle(self, used: int) -> None:
        """Note what the request used; the lender is told soon."""
        self._owner.settle(self._account, self._number, min(used, self.tokens))


class BorrowedTokens:
    """Borrows tokens, and tells lenders what was used.

    Args:
        name: This gateway.
        group: What its group is called.
        incarnation: Of this process.
        lenders: Whom to ask.
        stubs: Makes stubs to them.
        key: Proves messages.
        environment: Time.
        metrics: Where loans are counted.
        log: Where decisions are logged.
    """

    def __init__(
        self,
        name: str,
        group: LendingGroup,
        incarnation: str,
        lenders: Lenders,
        stubs: StubFactory,
        key: PeerKey,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._name = name
        self._group = group
        self._incarnation = incarnation
        self._lenders = lenders
        self._stubs = stubs
        self._key = key
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._accounts: dict[str, LenderAccount] = {}
        self._refusals: dict[str, LoanRefusal] = {}  # the newest, by tenant
        metrics.gauge("loans_in_use", lambda: float(self.loans_in_use))
        metrics.gauge("loan_settlements_dropped", lambda: float(self._dropped()))

    @property
    def loans_in_use(self) -> int:
        """Loans that were asked for and are not settled."""
        return sum(len(account.open) for account in self._accounts.values())

    def _dropped(self) -> int:
        return sum(account.dropped for account in self._accounts.values())

    async def stop(self) -> None:
        """End all background work."""
        await self._tasks.stop()

    # ---- asking -----------------------------------------------------------

    async def borrow(
        self, tenant: str, tokens: int, wait_s: float, request_id: str
    ) -> Loan | LoanRefusal:
        """Borrow tokens for one request.

        Args:
            tenant: Whose tokens.
            tokens: The request at its most.
            wait_s: Longest time, in seconds.
            request_id: For logs.
        """
        began_s = self._environment.monotonic()
        deadline_s = began_s + wait_s
        known = self._refusals.get(tenant)
        if known is not None and known.holds(tokens, began_s):
            return known
        refusal = LoanRefusal(tokens)
        candidates = self._in_order(tenant)[:_MOST_ASKED]
        for position, lender in enumerate(candidates):
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0:
                break
            patience_s = self._patience_s(candidates[position + 1 :], left_s)
            ask = lending_pb2.LoanAsk(tenant=tenant, tokens=tokens, request_id=request_id)
            got = await self._ask(lender, ask, min(left_s, patience_s))
            if isinstance(got, Loan):
                return got
            refusal.note(lender.name, got)
            if refusal.outcome == lending_pb2.LOAN_OUTCOME_EXHAUSTED:
                break
        if refusal.outcome != _NO_ANSWER:
            refusal.until_s = self._environment.monotonic() + _REFUSAL_HOLDS_S
            self._refusals[tenant] = refusal
        return refusal

    def _in_order(self, tenant: str) -> list[Lender]:
        """Return whom to ask: those that answered before ones that did not."""
        now_s = self._environment.monotonic()
        return sorted(
            self._lenders.to_ask(tenant),
            key=lambda lender: self._account(lender.name).aside_until_s > now_s,
        )

    def _patience_s(self, later: list[Lender], left_s: float) -> float:
        """Return how long a lender may take, so that those to be asked after it get theirs."""
        if not later:
            return left_s
        patience_s = left_s * _SHARE_OF_WAIT
        far = next((lender for lender in later if self._lenders.is_remote(lender)), None)
        if far is not None:
            patience_s = min(patience_s, left_s - self._far_wait_s(far))
        return max(_LEAST_WAIT_S, patience_s)

    def _far_wait_s(self, lender: Lender) -> float:
        quickest_s = self._account(lender.name).quickest_s
        if quickest_s == float("inf"):
            return _FAR_FIRST_WAIT_S
        return quickest_s * _FAR_ROUND_TRIPS

    def _account(self, lender: str) -> LenderAccount:
        account = self._accounts.get(lender)
        if account is None:
            account = self._accounts[lender] = LenderAccount(lender)
        return account

    async def _ask(
        self, lender: Lender, ask: lending_pb2.LoanAsk, patience_s: float
    ) -> Loan | lending_pb2.LendReply | None:
        account = self._account(lender.name)
        ask.number = account.begin()
        answer_s = max(0.0, patience_s - _ANSWER_MARGIN_S)
        ask.wait_ms = int(answer_s * MILLISECONDS_PER_SECOND)
        began_s = self._environment.monotonic()
        reply: lending_pb2.LendReply | None = None
        try:
            reply = await self._send(lender, account, ask, patience_s)
        finally:
            account.asking.discard(ask.number)
            granted = reply is not None and reply.outcome == lending_pb2.LOAN_OUTCOME_GRANTED
            if reply is None or reply.outcome == lending_pb2.LOAN_OUTCOME_CLOSED:
                # No answer came, the request was given up, or a copy of the ask is still
                # waited for there: it may have been granted, or yet be.
                self.settle(account, ask.number, 0)
            elif not granted:
                account.refused(ask.number)
        took_s = self._environment.monotonic() - began_s
        self._metrics.observe("loan_asked", took_s)
        if reply is not None:
            account.quickest_s = min(account.quickest_s, took_s)
        else:
            account.aside_until_s = self._environment.monotonic() + _SET_ASIDE_S
        self._log_answer(lender, ask, reply, took_s)
        if not granted:
            return reply
        self._metrics.add("tokens_borrowed", amount=ask.tokens)
        return Loan(self, account, ask.number, ask.tokens)

    def _log_answer(
        self,
        lender: Lender,
        ask: lending_pb2.LoanAsk,
        reply: lending_pb2.LendReply | None,
        took_s: float,
    ) -> None:
        outcome = outcome_name(_NO_ANSWER if reply is None else reply.outcome)
        self._metrics.add("loans_asked", outcome)
        far = self._lenders.is_remote(lender)
        if far:
            self._metrics.add("loans_asked_across", outcome)
        self._log.info(
            "loan_asked",
            step="borrow",
            peer=lender.name,
            request_id=ask.request_id,
            tenant=ask.tenant,
            number=ask.number,
            tokens=ask.tokens,
            outcome=outcome,
            far=far,
            took_ms=int(took_s * MILLISECONDS_PER_SECOND),
        )

    # ---- messages ---------------------------------------------------------

    async def _send(
        self,
        lender: Lender,
        account: LenderAccount,
        ask: lending_pb2.LoanAsk | None,
        timeout_s: float,
    ) -> lending_pb2.LendReply | None:
        """Send a message to a lender; return its answer, or None if none came."""
        sent = list(account.unsettled)
        request = lending_pb2.LendRequest(
            group=self._group.name_for(far=self._lenders.is_remote(lender)),
            borrower=self._name,
            borrower_incarnation=self._incarnation,
            lender=lender.name,
            lender_incarnation=account.incarnation,
            settled_below=account.settled_below(),
            settlements=sent,
            ask=ask,
        )
        self._key.sign(request)
        try:
            reply: lending_pb2.LendReply = await self._stubs.lending(lender.address).Lend(
                request, timeout=timeout_s
            )
        except RPC_ERRORS as error:
            self._metrics.add("loan_messages_lost")
            self._log.debug("loan_message_lost", step="lend", peer=lender.name, why=repr(error))
            return None
        if not self._key.proves(reply):
            self._metrics.add("loan_messages_refused", "not_proved")
            self._log.warning(
                "loan_message_refused", step="borrow", peer=lender.name, why="not_proved"
            )
            return None
        return self._take(account, request, reply)

    def _take(
        self,
        account: LenderAccount,
        request: lending_pb2.LendRequest,
        reply: lending_pb2.LendReply,
    ) -> lending_pb2.LendReply:
        if reply.outcome == lending_pb2.LOAN_OUTCOME_REFUSED:
            return reply
        if not account.incarnation:
            account.incarnation = reply.lender_incarnation
        if reply.lender_incarnation != account.incarnation:
            loans = account.lender_ended(reply.lender_incarnation)
            self._log.info("lender_restarted", step="lend", peer=account.lender, loans=loans)
        elif request.lender_incarnation == account.incarnation:
            account.confirmed(list(request.settlements))
        return reply

    def _tell_later(self, account: LenderAccount) -> None:
        if account.teller is None or account.teller.done():
            account.teller = self._tasks.start("settle_loans", self._tell(account))

    def settle(self, account: LenderAccount, number: int, used: int) -> None:
        """Note what became of a loan, and have its lender told."""
        account.settle(number, used)
        self._tell_later(account)

    async def _tell(self, account: LenderAccount) -> None:
        """Tell a lender what was used until it has all of it, or is gone."""
        await asyncio.sleep(_SETTLE_PAUSE_S)
        while account.unsettled:
            lender = self._lenders.known(account.lender)
            if lender is None:
                self._log.info("lender_gone", step="settle_loans", peer=account.lender)
                account.lender_ended("")
                return
            reply = await self._send(lender, account, None, _SETTLE_TIMEOUT_S)
            # A refusal takes nothing in: without a pause both ends would do nothing else.
            if reply is None or reply.outcome == lending_pb2.LOAN_OUTCOME_REFUSED:
                await asyncio.sleep(_SETTLE_AGAIN_S)

    async def settle_all(self) -> None:
        """Tell all lenders at once what was used, before a planned stop."""
        for account in list(self._accounts.values()):
            lender = self._lenders.known(account.lender)
            if lender is not None and account.unsettled:
                await self._send(lender, account, None, _SETTLE_TIMEOUT_S)
