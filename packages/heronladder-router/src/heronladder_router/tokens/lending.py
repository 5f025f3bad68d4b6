"""Loans: reservations made here, of tokens held here, for requests of other gateways.

To control a loan is a reservation like any other of this gateway: it stays charged here
until the borrower tells what was used. So nothing is lent that may not be spent, a
borrower that dies costs what it had on loan, and control need not know of loans.

The messages of one borrower may be lost, doubled, late or out of order. A loan has a
number; a number is granted once, and never after it was settled.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import lending_pb2, resources_pb2
from heronladder_schema.v1.lending_pb2_grpc import LendingServicer

from heronladder_router.errors import CallerError, PrepaidExhaustedError, PrepaidUnavailableError
from heronladder_router.tokens.balance import OwnReservation
from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.lending_group import LendingGroup
from heronladder_router.tokens.peer_key import PeerKey

_MAX_ENDED_INCARNATIONS = 16  # incarnations of a borrower that may not borrow any more
_MAX_WAIT_S = 2.0  # for tokens, whatever a borrower asks
TenantFinder = Callable[[str], resources_pb2.PrepaidTenant | None]


@dataclass
class _Borrower:
    """What one incarnation of a gateway has borrowed here."""

    incarnation: str
    open: dict[int, OwnReservation] = field(default_factory=dict)
    asked: set[int] = field(default_factory=set)  # numbers whose tokens are waited for
    settled: set[int] = field(default_factory=set)  # or refused; at ``settled_below`` and over
    settled_below: int = 0
    ended: list[str] = field(default_factory=list)  # earlier incarnations, newest last


class LoanBook(LendingServicer):
    """Lends tokens that are held here, and takes back what was not used.

    Args:
        name: This gateway.
        group: What its group is called.
        incarnation: Of this process.
        held: The tokens held here.
        find_tenant: Finds a tenant of the configuration in use.
        key: Proves messages.
        metrics: Where loans are counted.
        log: Where decisions are logged.
    """

    def __init__(
        self,
        name: str,
        group: LendingGroup,
        incarnation: str,
        held: HeldTokens,
        find_tenant: TenantFinder,
        key: PeerKey,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._name = name
        self._group = group
        self._incarnation = incarnation
        self._held = held
        self._find_tenant = find_tenant
        self._key = key
        self._metrics = metrics
        self._log = log
        self._borrowers: dict[str, _Borrower] = {}
        self.stopping = False
        metrics.gauge("tokens_on_loan", lambda: float(self.tokens_on_loan))
        metrics.gauge("loans_open", lambda: float(self.open_loans))

    @property
    def open_loans(self) -> int:
        """Loans that are not settled."""
        return sum(len(borrower.open) for borrower in self._borrowers.values())

    @property
    def tokens_on_loan(self) -> int:
        """Tokens of all loans that are not settled."""
        return sum(
            loan.tokens for borrower in self._borrowers.values() for loan in borrower.open.values()
        )

    def forget_all(self) -> None:
        """Forget all loans: control charged this incarnation for them."""
        for borrower in self._borrowers.values():
            borrower.open.clear()

    async def Lend(  # noqa: D102 - generated name
        self, request: lending_pb2.LendRequest, context: Any
    ) -> lending_pb2.LendReply:
        reply = lending_pb2.LendReply(lender_incarnation=self._incarnation)
        refusal = self._refusal_reason(request)
        if refusal:
            self._metrics.add("loan_messages_refused", refusal)
            self._log.warning(
                "loan_message_refused", step="lend", peer=request.borrower, why=refusal
            )
            reply.outcome = lending_pb2.LOAN_OUTCOME_REFUSED
        else:
            borrower = self._borrower(request)
            self._settle(borrower, request)
            if request.HasField("ask"):
                await self._process_ask(borrower, request, reply)
        self._key.sign(reply)
        return reply

    def _refusal_reason(self, request: lending_pb2.LendRequest) -> str:
        """Return why a message is not acted on; empty if it is."""
        if not self._key.verifies(request):
            return "not_proved"
        if request.lender != self._name or not self._group.is_own(request.group):
            return "meant_for_another"
        if not (request.borrower and request.borrower_incarnation):
            return "no_borrower"
        known = self._borrowers.get(request.borrower)
        if known is not None and request.borrower_incarnation in known.ended:
            return "ended_incarnation"
        return ""

    def _borrower(self, request: lending_pb2.LendRequest) -> _Borrower:
        """Return the account of a borrower; a new incarnation ends the one before it."""
        known = self._borrowers.get(request.borrower)
        if known is not None and known.incarnation == request.borrower_incarnation:
            return known
        added = _Borrower(request.borrower_incarnation)
        if known is not None:
            added.ended = [*known.ended, known.incarnation][-_MAX_ENDED_INCARNATIONS:]
            self._charge_ended_incarnation(request.borrower, known)
        self._borrowers[request.borrower] = added
        return added

    def _charge_ended_incarnation(self, name: str, ended: _Borrower) -> None:
        """Count all that an ended borrower had on loan as used: it may have handed it out."""
        tokens = sum(loan.tokens for loan in ended.open.values())
        for loan in ended.open.values():
            loan.settle(loan.tokens)
        self._metrics.add("tokens_charged_to_lost_borrowers", amount=tokens)
        self._log.info(
            "borrower_lost",
            step="lend",
            peer=name,
            incarnation=ended.incarnation,
            loans=len(ended.open),
            tokens=tokens,
        )
        ended.open.clear()

    # ---- what was used ----------------------------------------------------

    def _settle(self, borrower: _Borrower, request: lending_pb2.LendRequest) -> None:
        if request.lender_incarnation == self._incarnation:
            for settlement in request.settlements:
                self._settle_one(borrower, settlement)
        if request.settled_below > borrower.settled_below:
            borrower.settled_below = request.settled_below
            borrower.settled = {
                number for number in borrower.settled if number >= request.settled_below
            }

    def _settle_one(self, borrower: _Borrower, told: lending_pb2.LoanSettlement) -> None:
        if told.number < borrower.settled_below:
            return
        borrower.settled.add(told.number)
        loan = borrower.open.pop(told.number, None)
        if loan is None:
            return  # settled before, or given up before it was granted
        loan.settle(told.used)  # at most the loan, whatever is told
        invariant(
            told.used <= loan.tokens,
            "loan_used_within_loan",
            step="settle_loan",
            peer=borrower.incarnation,
            detail=f"{loan.balance.tenant}: {told.used} of {loan.tokens}",
        )

    # ---- what is asked for ------------------------------------------------

    async def _process_ask(
        self,
        borrower: _Borrower,
        request: lending_pb2.LendRequest,
        reply: lending_pb2.LendReply,
    ) -> None:
        ask = request.ask
        if ask.number in borrower.open:
            reply.outcome = lending_pb2.LOAN_OUTCOME_GRANTED  # asked twice, granted once
            return
        if self._is_closed(borrower, ask.number) or ask.number in borrower.asked:
            reply.outcome = lending_pb2.LOAN_OUTCOME_CLOSED
            return
        borrower.asked.add(ask.number)
        try:
            loan = await self._reserve(ask)
        except CallerError as error:
            borrower.settled.add(ask.number)  # a copy that comes late gets nothing
            self._fill_refusal(reply, error)
        else:
            self._grant(borrower, ask, loan, reply)
        finally:
            borrower.asked.discard(ask.number)
        self._log_answer(request, reply)

    @staticmethod
    def _is_closed(borrower: _Borrower, number: int) -> bool:
        return number < borrower.settled_below or number in borrower.settled

    async def _reserve(self, ask: lending_pb2.LoanAsk) -> OwnReservation:
        tenant = self._find_tenant(ask.tenant)
        if self.stopping or tenant is None:
            why = "the lender is stopping" if self.stopping else "the tenant is not known"
            raise PrepaidUnavailableError(why, step="lend", peer=ask.tenant, retry_after_s=0.0)
        wait_s = min(ask.wait_ms / MILLISECONDS_PER_SECOND, _MAX_WAIT_S)
        return await self._held.reserve(tenant, ask.tokens, wait_s)

    def _grant(
        self,
        borrower: _Borrower,
        ask: lending_pb2.LoanAsk,
        loan: OwnReservation,
        reply: lending_pb2.LendReply,
    ) -> None:
        # While the tokens were waited for, the borrower may have given the loan up, or
        # have ended: it would never be settled then.
        if self._is_closed(borrower, ask.number) or borrower not in self._borrowers.values():
            loan.settle(0)
            reply.outcome = lending_pb2.LOAN_OUTCOME_CLOSED
            return
        borrower.open[ask.number] = loan
        reply.outcome = lending_pb2.LOAN_OUTCOME_GRANTED
        self._metrics.add("tokens_lent", amount=loan.tokens)

    def _fill_refusal(self, reply: lending_pb2.LendReply, error: CallerError) -> None:
        if isinstance(error, PrepaidExhaustedError):
            reply.outcome = lending_pb2.LOAN_OUTCOME_EXHAUSTED
        elif self.stopping:
            reply.outcome = lending_pb2.LOAN_OUTCOME_STOPPING
        elif self._held.window.is_disconnected:
            reply.outcome = lending_pb2.LOAN_OUTCOME_NO_CONTROL
        else:
            reply.outcome = lending_pb2.LOAN_OUTCOME_SHORT
        reply.retry_after_ms = int((error.retry_after_s or 0.0) * MILLISECONDS_PER_SECOND)

    def _log_answer(self, request: lending_pb2.LendRequest, reply: lending_pb2.LendReply) -> None:
        outcome = lending_pb2.LoanOutcome.Name(reply.outcome).removeprefix("LOAN_OUTCOME_").lower()
        self._metrics.add("loans_answered", outcome)
        if reply.outcome == lending_pb2.LOAN_OUTCOME_GRANTED:
            return  # the borrower logs it; a line at both ends would double what loans cost
        self._log.info(
            "loan_refused",
            step="lend",
            peer=request.borrower,
            request_id=request.ask.request_id,
            tenant=request.ask.tenant,
            wanted=request.ask.tokens,
            held=self._held.describe(request.ask.tenant),
            outcome=outcome,
        )
