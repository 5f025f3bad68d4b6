"""Loans: reservations of this gateway's tokens for requests of other gateways.

To control, a loan is a reservation like any other of this gateway, charged here until the borrower
reports the tokens used. Hence no tokens are lent that may not be spent, a borrower that crashes
costs the tokens that it had on loan, and control need not know about loans.

The messages of a borrower may be lost, duplicated, delayed or reordered. Each loan has a number,
which is granted at most once and never after its settlement.
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

_MAX_ENDED_INCARNATIONS = 16  # remembered per borrower, to refuse their late messages
_MAX_WAIT_S = 2.0  # upper bound on the wait for tokens that a borrower may request
TenantFinder = Callable[[str], resources_pb2.PrepaidTenant | None]


@dataclass
class _Borrower:
    """Loans of one incarnation of a borrowing gateway.

    Attributes:
        incarnation: Incarnation of the borrower.
        open: Reservation of each open loan, by its number.
        asked: Numbers of the loans that wait for tokens.
        settled: Numbers from ``settled_below`` on that are settled or refused.
        settled_below: All lower loan numbers are settled.
        ended: Earlier incarnations of the borrower, newest last.
    """

    incarnation: str
    open: dict[int, OwnReservation] = field(default_factory=dict)
    asked: set[int] = field(default_factory=set)
    settled: set[int] = field(default_factory=set)
    settled_below: int = 0
    ended: list[str] = field(default_factory=list)


class LoanBook(LendingServicer):
    """Lends tokens of this gateway and frees the unused part when a loan is settled.

    Args:
        name: Name of this gateway.
        group: Names of its control group.
        incarnation: Incarnation of this process.
        held: The tokens that this gateway holds.
        find_tenant: Returns a tenant of the current configuration by its name, or None.
        key: Authenticates messages.
        metrics: Registry for the loan metrics.
        log: Log for decisions about loans.
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
        """Number of loans that are not settled."""
        return sum(len(borrower.open) for borrower in self._borrowers.values())

    @property
    def tokens_on_loan(self) -> int:
        """Total number of tokens of loans that are not settled."""
        return sum(
            loan.tokens for borrower in self._borrowers.values() for loan in borrower.open.values()
        )

    def discard_all(self) -> None:
        """Discard all open loans, for which control has charged this incarnation."""
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
        """Return the reason to refuse a message; empty if it is accepted."""
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
        """Return the loans of a borrower; a new incarnation ends the one before it."""
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
        """Settle all loans of an ended incarnation as used, since they may have been handed out."""
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

    # ---- settlements ------------------------------------------------------

    def _settle(self, borrower: _Borrower, request: lending_pb2.LendRequest) -> None:
        if request.lender_incarnation == self._incarnation:
            for settlement in request.settlements:
                self._settle_one(borrower, settlement)
        if request.settled_below > borrower.settled_below:
            borrower.settled_below = request.settled_below
            borrower.settled = {
                number for number in borrower.settled if number >= request.settled_below
            }

    def _settle_one(self, borrower: _Borrower, settlement: lending_pb2.LoanSettlement) -> None:
        if settlement.number < borrower.settled_below:
            return
        borrower.settled.add(settlement.number)
        loan = borrower.open.pop(settlement.number, None)
        if loan is None:
            return  # settled before, or cancelled before it was granted
        loan.settle(settlement.used)  # counts no more than the loan, even if more is reported
        invariant(
            settlement.used <= loan.tokens,
            "loan_used_within_loan",
            step="settle_loan",
            peer=borrower.incarnation,
            detail=f"{loan.balance.tenant}: {settlement.used} of {loan.tokens}",
        )

    # ---- requests for loans -----------------------------------------------

    async def _process_ask(
        self,
        borrower: _Borrower,
        request: lending_pb2.LendRequest,
        reply: lending_pb2.LendReply,
    ) -> None:
        ask = request.ask
        if ask.number in borrower.open:
            reply.outcome = lending_pb2.LOAN_OUTCOME_GRANTED  # a duplicate of the ask
            return
        if self._is_closed(borrower, ask.number) or ask.number in borrower.asked:
            reply.outcome = lending_pb2.LOAN_OUTCOME_CLOSED
            return
        borrower.asked.add(ask.number)
        try:
            loan = await self._reserve(ask)
        except CallerError as error:
            borrower.settled.add(ask.number)  # refuses a late duplicate of the ask
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
            reason = "lender is stopping" if self.stopping else "tenant is not known to the lender"
            raise PrepaidUnavailableError(reason, step="lend", peer=ask.tenant, retry_after_s=0.0)
        wait_s = min(ask.wait_ms / MILLISECONDS_PER_SECOND, _MAX_WAIT_S)
        return await self._held.reserve(tenant, ask.tokens, wait_s)

    def _grant(
        self,
        borrower: _Borrower,
        ask: lending_pb2.LoanAsk,
        loan: OwnReservation,
        reply: lending_pb2.LendReply,
    ) -> None:
        # During the wait for tokens the borrower may have cancelled the loan or ended, and would
        # then never settle it.
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
            return  # the borrower logs it; a second entry would double the logging cost of loans
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
