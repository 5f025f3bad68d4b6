"""What a gateway asked of one lender, and what the lender has still to be told."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from heronladder_schema.v1 import lending_pb2

_MAX_UNSETTLED = 4_096  # for each lender; beyond it the oldest stay charged


@dataclass
class LenderAccount:
    """What was asked of one lender.

    Attributes:
        lender: Its name.
        incarnation: Of the lender's process, as it answered last; empty before.
        last_number: Of the newest loan.
        open: Numbers of loans that are asked for or in use.
        asking: Those of them whose answer has not come.
        unsettled: Settlements that the lender has not confirmed, oldest first.
        dropped: Settlements that were too many to keep.
        aside_until_s: It is asked last until then.
        teller: Tells it what was used.
        quickest_s: Shortest time that it took to answer.
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
        """Return the number of a new loan."""
        self.last_number += 1
        self.open.add(self.last_number)
        self.pending.add(self.last_number)
        return self.last_number

    def settle(self, number: int, used: int) -> None:
        """Have the lender told what became of a loan; once for each."""
        if number not in self.open:
            return
        self.open.discard(number)
        if len(self.unsettled) >= _MAX_UNSETTLED:
            # It stays open, and so charged at its lender: what was used must not be freed.
            self.open.add(self.unsettled.popleft().number)
            self.dropped += 1
        self.unsettled.append(lending_pb2.LoanSettlement(number=number, used=used))

    def discard_refused(self, number: int) -> None:
        """Note that the lender refused a loan: there is nothing to settle."""
        self.open.discard(number)

    def settled_below(self) -> int:
        """Return the lowest number that may still be open at the lender."""
        told = (settlement.number for settlement in self.unsettled)
        return min([*self.open, *told], default=self.last_number + 1)

    def discard_confirmed(self, sent: list[lending_pb2.LoanSettlement]) -> None:
        """Forget settlements that the lender has."""
        numbers = {settlement.number for settlement in sent}
        kept = [entry for entry in self.unsettled if entry.number not in numbers]
        self.unsettled.clear()
        self.unsettled.extend(kept)

    def reset_incarnation(self, incarnation: str) -> int:
        """Begin anew with a lender that restarted; return how many loans it forgot.

        Loans whose answer has not come may be of its new incarnation: they are kept, and
        telling the wrong one what became of them changes nothing there.
        """
        forgotten = len(self.open - self.pending)
        self.incarnation = incarnation
        self.open &= self.pending
        self.unsettled.clear()
        return forgotten
