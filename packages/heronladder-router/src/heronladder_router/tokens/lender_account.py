"""Account of a borrower with one lender: open loans and settlements still to be confirmed."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from heronladder_schema.v1 import lending_pb2

_MAX_UNSETTLED = 4_096  # settlements per lender; beyond it the oldest loans stay charged


@dataclass
class LenderAccount:
    """Loans from one lender.

    Attributes:
        lender: Name of the lender.
        incarnation: Incarnation of the lender's process in its newest reply; empty before the
            first one.
        last_number: Number of the newest loan.
        open: Numbers of the loans that are requested or in use.
        pending: Numbers of the open loans whose reply has not arrived.
        unsettled: Settlements that the lender has not confirmed, oldest first.
        dropped: Number of settlements discarded because too many were unsettled.
        deprioritized_until_s: Time until which this lender is asked last.
        settlement_task: Background task that sends settlements.
        min_response_s: Shortest response time of the lender, in seconds.
    """

    lender: str
    incarnation: str = ""
    last_number: int = 0
    open: set[int] = field(default_factory=set)
    pending: set[int] = field(default_factory=set)
    unsettled: deque[lending_pb2.LoanSettlement] = field(default_factory=deque)
    dropped: int = 0
    deprioritized_until_s: float = float("-inf")
    settlement_task: "asyncio.Task[None] | None" = None
    min_response_s: float = float("inf")

    def open_loan(self) -> int:
        """Open a loan and return its number."""
        self.last_number += 1
        self.open.add(self.last_number)
        self.pending.add(self.last_number)
        return self.last_number

    def settle(self, number: int, used: int) -> None:
        """Queue the settlement of an open loan; a second settlement of it is ignored."""
        if number not in self.open:
            return
        self.open.discard(number)
        if len(self.unsettled) >= _MAX_UNSETTLED:
            # The loan of the discarded settlement stays open and hence charged at its lender,
            # since tokens that were used must not become free again.
            self.open.add(self.unsettled.popleft().number)
            self.dropped += 1
        self.unsettled.append(lending_pb2.LoanSettlement(number=number, used=used))

    def discard_refused(self, number: int) -> None:
        """Discard a loan that the lender refused, for which there is nothing to settle."""
        self.open.discard(number)

    def settled_below(self) -> int:
        """Return the lowest loan number that may still be open at the lender."""
        unconfirmed = (settlement.number for settlement in self.unsettled)
        return min([*self.open, *unconfirmed], default=self.last_number + 1)

    def discard_confirmed(self, sent: list[lending_pb2.LoanSettlement]) -> None:
        """Discard settlements that the lender has confirmed."""
        numbers = {settlement.number for settlement in sent}
        kept = [entry for entry in self.unsettled if entry.number not in numbers]
        self.unsettled.clear()
        self.unsettled.extend(kept)

    def reset_incarnation(self, incarnation: str) -> int:
        """Start over with a new incarnation of the lender.

        Pending loans are kept, since they may belong to the new incarnation; a settlement has no
        effect at an incarnation that did not grant the loan.

        Args:
            incarnation: The new incarnation; empty if the lender is gone.

        Returns:
            The number of loans lost with the earlier incarnation.
        """
        lost = len(self.open - self.pending)
        self.incarnation = incarnation
        self.open &= self.pending
        self.unsettled.clear()
        return lost
