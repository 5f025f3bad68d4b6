"""Borrowing of tokens from other gateways, one loan per request.

A few lenders are asked one after the other: the holder in this gateway's zone first and one in
another region last, with a time-out that allows for the longer round trip. Every loan that was
requested is settled at its lender, whether or not the reply arrived. The settlement is sent until
the lender confirms it or its process has ended.
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

_MAX_LENDERS_ASKED = 3  # for one request
_ATTEMPT_FRACTION = 0.5  # of the remaining wait, for each lender but the last
_MIN_ATTEMPT_S = 0.03  # response time of a lender in the same zone on a busy machine
# Time-out of an attempt at a lender in another region, as a multiple of its fastest response.
_REMOTE_RESPONSE_FACTOR = 2.5
# The same time-out before its first response: the one-way delay between regions is 12 ms.
_REMOTE_DEFAULT_S = 0.06
_ANSWER_MARGIN_S = 0.01  # a lender stops waiting for tokens this long before the attempt times out
_DEPRIORITIZED_S = 1.0  # a lender that did not answer is asked last for this long
_SETTLE_BATCH_S = 0.1  # settlements for one lender are collected for this long
_SETTLE_TIMEOUT_S = 1.0
_SETTLE_RETRY_S = 0.5
_REFUSAL_HOLDS_S = 0.4  # limits the messages that a shortage causes, as for draws
_UNINFORMATIVE_OUTCOMES = (  # those that tell nothing about the tenant's tokens
    lending_pb2.LOAN_OUTCOME_STOPPING,
    lending_pb2.LOAN_OUTCOME_REFUSED,
    lending_pb2.LOAN_OUTCOME_CLOSED,
)
_NO_ANSWER = lending_pb2.LOAN_OUTCOME_UNSPECIFIED


def outcome_name(outcome: lending_pb2.LoanOutcome.ValueType) -> str:
    """Return the name of an outcome for logs, metrics and error messages."""
    if outcome == _NO_ANSWER:
        return "no_answer"
    return lending_pb2.LoanOutcome.Name(outcome).removeprefix("LOAN_OUTCOME_").lower()


@dataclass
class LoanRefusal:
    """The result of a request for which no lender granted a loan.

    Attributes:
        tokens: Number of tokens that were requested.
        outcome: The most informative outcome of all lenders; unspecified if none answered.
        retry_after_s: Time after which tokens are likely to be available, in seconds.
        asked: Names of the lenders that were asked.
        valid_until_s: Time until which requests for as many tokens or more are refused without
            asking a lender.
    """

    tokens: int
    outcome: lending_pb2.LoanOutcome.ValueType = _NO_ANSWER
    retry_after_s: float = 0.0
    asked: list[str] = field(default_factory=list)
    valid_until_s: float = float("-inf")

    def applies_to(self, tokens: int, now_s: float) -> bool:
        """Return whether another request for this many tokens is refused without asking."""
        return now_s < self.valid_until_s and tokens >= self.tokens

    def add_reply(self, name: str, reply: lending_pb2.LendReply | None) -> None:
        """Add the reply of one lender.

        Args:
            name: Name of the lender.
            reply: Its reply; None if it did not answer.
        """
        self.asked.append(name)
        if reply is None or reply.outcome in _UNINFORMATIVE_OUTCOMES:
            return
        retry_after_s = reply.retry_after_ms / MILLISECONDS_PER_SECOND
        # A lender that is connected to control knows more about the remaining tokens.
        if self.outcome in (_NO_ANSWER, lending_pb2.LOAN_OUTCOME_NO_CONTROL):
            self.outcome = reply.outcome
            self.retry_after_s = retry_after_s


class Loan:
    """Tokens of another gateway, reserved there for one request.

    Args:
        owner: Sends the settlement to the lender.
        account: The account with the lender.
        number: Number of the loan.
        tokens: Number of tokens on loan.
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
        """Name of the gateway that granted the loan."""
        return self._account.lender

    def settle(self, used: int) -> None:
        """Record the tokens that the request used; the settlement is sent with the next batch."""
        self._owner.settle(self._account, self._number, min(used, self.tokens))


class BorrowedTokens:
    """Borrows tokens from other gateways and settles the loans.

    Args:
        name: Name of this gateway.
        group: Names of its control group.
        incarnation: Incarnation of this process.
        lenders: The gateways that lend tokens.
        stubs: Creates stubs for lenders.
        key: Authenticates messages.
        environment: Source of time.
        metrics: Registry for the loan metrics.
        log: Log for decisions about loans.
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
        self._refusals: dict[str, LoanRefusal] = {}  # newest refusal of each tenant
        metrics.gauge("loans_in_use", lambda: float(self.loans_in_use))
        metrics.gauge("loan_settlements_dropped", lambda: float(self._dropped_settlements()))

    @property
    def loans_in_use(self) -> int:
        """Number of loans that were requested and are not settled."""
        return sum(len(account.open) for account in self._accounts.values())

    def _dropped_settlements(self) -> int:
        return sum(account.dropped for account in self._accounts.values())

    async def stop(self) -> None:
        """Stop all background tasks."""
        await self._tasks.stop()

    # ---- borrowing --------------------------------------------------------

    async def borrow(
        self, tenant: str, tokens: int, wait_s: float, request_id: str
    ) -> Loan | LoanRefusal:
        """Borrow tokens for one request.

        Args:
            tenant: Name of the tenant whose tokens are borrowed.
            tokens: Upper bound on the tokens of the request.
            wait_s: Longest time to wait, in seconds.
            request_id: Request id for logs.

        Returns:
            The loan, or the refusal if no lender granted one.
        """
        began_s = self._environment.monotonic()
        deadline_s = began_s + wait_s
        recent = self._refusals.get(tenant)
        if recent is not None and recent.applies_to(tokens, began_s):
            return recent
        refusal = LoanRefusal(tokens)
        candidates = self._candidates(tenant)[:_MAX_LENDERS_ASKED]
        for position, lender in enumerate(candidates):
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0:
                break
            timeout_s = self._attempt_timeout_s(candidates[position + 1 :], left_s)
            ask = lending_pb2.LoanAsk(tenant=tenant, tokens=tokens, request_id=request_id)
            result = await self._request_loan(lender, ask, min(left_s, timeout_s))
            if isinstance(result, Loan):
                return result
            refusal.add_reply(lender.name, result)
            if refusal.outcome == lending_pb2.LOAN_OUTCOME_EXHAUSTED:
                break
        if refusal.outcome != _NO_ANSWER:
            refusal.valid_until_s = self._environment.monotonic() + _REFUSAL_HOLDS_S
            self._refusals[tenant] = refusal
        return refusal

    def _candidates(self, tenant: str) -> list[Lender]:
        """Return the lenders in the order to ask; those that did not answer lately come last."""
        now_s = self._environment.monotonic()
        return sorted(
            self._lenders.lender_candidates(tenant),
            key=lambda lender: self._account(lender.name).deprioritized_until_s > now_s,
        )

    def _attempt_timeout_s(self, later: list[Lender], left_s: float) -> float:
        """Return the time-out of an attempt, which leaves time for the lenders asked after it."""
        if not later:
            return left_s
        timeout_s = left_s * _ATTEMPT_FRACTION
        remote = next((lender for lender in later if self._lenders.is_remote(lender)), None)
        if remote is not None:
            timeout_s = min(timeout_s, left_s - self._remote_timeout_s(remote))
        return max(_MIN_ATTEMPT_S, timeout_s)

    def _remote_timeout_s(self, lender: Lender) -> float:
        min_response_s = self._account(lender.name).min_response_s
        if min_response_s == float("inf"):
            return _REMOTE_DEFAULT_S
        return min_response_s * _REMOTE_RESPONSE_FACTOR

    def _account(self, lender: str) -> LenderAccount:
        account = self._accounts.get(lender)
        if account is None:
            account = self._accounts[lender] = LenderAccount(lender)
        return account

    async def _request_loan(
        self, lender: Lender, ask: lending_pb2.LoanAsk, timeout_s: float
    ) -> Loan | lending_pb2.LendReply | None:
        account = self._account(lender.name)
        ask.number = account.open_loan()
        lender_wait_s = max(0.0, timeout_s - _ANSWER_MARGIN_S)
        ask.wait_ms = int(lender_wait_s * MILLISECONDS_PER_SECOND)
        began_s = self._environment.monotonic()
        reply: lending_pb2.LendReply | None = None
        try:
            reply = await self._send(lender, account, ask, timeout_s)
        finally:
            account.pending.discard(ask.number)
            granted = reply is not None and reply.outcome == lending_pb2.LOAN_OUTCOME_GRANTED
            if reply is None or reply.outcome == lending_pb2.LOAN_OUTCOME_CLOSED:
                # No reply arrived, the request was cancelled, or the lender still processes a copy
                # of this ask. The loan may have been granted or be granted later.
                self.settle(account, ask.number, 0)
            elif not granted:
                account.discard_refused(ask.number)
        took_s = self._environment.monotonic() - began_s
        self._metrics.observe("loan_asked", took_s)
        if reply is not None:
            account.min_response_s = min(account.min_response_s, took_s)
        else:
            account.deprioritized_until_s = self._environment.monotonic() + _DEPRIORITIZED_S
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
        is_remote = self._lenders.is_remote(lender)
        if is_remote:
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
            far=is_remote,
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
        """Send a message with all unsettled settlements to a lender.

        Args:
            lender: The lender.
            account: The account with it.
            ask: The loan to request; None to send settlements only.
            timeout_s: Time-out of the call, in seconds.

        Returns:
            The reply, or None if none arrived or it could not be authenticated.
        """
        sent = list(account.unsettled)
        request = lending_pb2.LendRequest(
            group=self._group.name_for(is_remote=self._lenders.is_remote(lender)),
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
        if not self._key.verifies(reply):
            self._metrics.add("loan_messages_refused", "not_proved")
            self._log.warning(
                "loan_message_refused", step="borrow", peer=lender.name, why="not_proved"
            )
            return None
        return self._process_reply(account, request, reply)

    def _process_reply(
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
            loans = account.reset_incarnation(reply.lender_incarnation)
            self._log.info("lender_restarted", step="lend", peer=account.lender, loans=loans)
        elif request.lender_incarnation == account.incarnation:
            account.discard_confirmed(list(request.settlements))
        return reply

    def _schedule_settlements(self, account: LenderAccount) -> None:
        if account.settlement_task is None or account.settlement_task.done():
            account.settlement_task = self._tasks.start(
                "settle_loans", self._send_settlements(account)
            )

    def settle(self, account: LenderAccount, number: int, used: int) -> None:
        """Record the tokens used of a loan and schedule its settlement."""
        account.settle(number, used)
        self._schedule_settlements(account)

    async def _send_settlements(self, account: LenderAccount) -> None:
        """Send settlements to a lender until it has confirmed all of them or is gone."""
        await asyncio.sleep(_SETTLE_BATCH_S)
        while account.unsettled:
            lender = self._lenders.find(account.lender)
            if lender is None:
                self._log.info("lender_gone", step="settle_loans", peer=account.lender)
                account.reset_incarnation("")
                return
            reply = await self._send(lender, account, None, _SETTLE_TIMEOUT_S)
            # A lender that refuses a message confirms no settlement of it. Without a pause both
            # gateways would exchange the same message in a tight loop.
            if reply is None or reply.outcome == lending_pb2.LOAN_OUTCOME_REFUSED:
                await asyncio.sleep(_SETTLE_RETRY_S)

    async def settle_all(self) -> None:
        """Send all settlements once, without waiting for a batch, before a planned stop."""
        for account in list(self._accounts.values()):
            lender = self._lenders.find(account.lender)
            if lender is not None and account.unsettled:
                await self._send(lender, account, None, _SETTLE_TIMEOUT_S)
