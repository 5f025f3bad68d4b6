"""How long orders waited for their acknowledgement, by kind and stage: a table from logs.

Reads the lines ``order_answered`` of control members. An order that got no clear answer and
was sent again, to any member, counts once: from its first receipt to its acknowledgement.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from heronladder_tools.explain import LogLine, parse_line
from heronladder_tools.tables import format_table

_EVENT = "order_answered"
_MS = 1000
_STAGES = ("leader_ms", "committed_ms", "in_force_ms", "took_ms")
_DONE = "done"
_REFUSED = "refused"


@dataclass
class _Order:
    """One order, over all members that received it."""

    first_s: float = float("inf")
    done_s: float = float("inf")
    refused: bool = False
    answers: int = 0


@dataclass
class OrderWaits:
    """Orders by kind and what they are about, and the longest time to each stage.

    Attributes:
        orders: All orders.
        longest_ms: By kind and stage, of one answer.
    """

    orders: dict[tuple[str, str], _Order] = field(default_factory=dict)
    longest_ms: dict[tuple[str, str], int] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Count a line, if it tells the answer to an order."""
        fields = line.fields
        if fields.get("event") != _EVENT:
            return
        kind = fields.get("order", "?")
        order = self.orders.setdefault((kind, fields.get("peer", "?")), _Order())
        answered_s = datetime.fromisoformat(line.time).timestamp()
        order.first_s = min(order.first_s, answered_s - int(fields.get("took_ms", 0)) / _MS)
        order.answers += 1
        if fields.get("standing") == _DONE:
            order.done_s = min(order.done_s, answered_s)
        order.refused |= fields.get("standing") == _REFUSED
        for stage in _STAGES:
            text = fields.get(stage, "")
            if text.isdigit():
                key = (kind, stage)
                self.longest_ms[key] = max(self.longest_ms.get(key, 0), int(text))

    def read(self, files: Iterable[Path]) -> None:
        """Count all orders of some logs, in any order."""
        for file in files:
            with file.open(encoding="utf-8", errors="replace") as opened:
                for text in opened:
                    if f"event={_EVENT}" in text:
                        self.add(parse_line(text))

    def waits_ms(self, kind: str) -> list[int]:
        """Return how long each order of a kind waited that was acknowledged, shortest first."""
        return sorted(
            round((order.done_s - order.first_s) * _MS)
            for (of_kind, _), order in self.orders.items()
            if of_kind == kind and order.done_s != float("inf")
        )

    def text(self) -> str:
        """Return the table as text for people; "" when no order was read."""
        if not self.orders:
            return ""
        heads = ["order", "orders", "done", "refused", "unclear", "over 1 s", "longest ms"]
        heads += ["at leader", "committed", "in force", "answered"]
        rows = [self._row(kind) for kind in sorted({kind for kind, _ in self.orders})]
        head = "orders: longest wait, and longest time of one answer to each stage, in ms"
        return f"{head}\n{format_table(heads, rows)}"

    def _row(self, kind: str) -> list[str]:
        orders = [order for (of_kind, _), order in self.orders.items() if of_kind == kind]
        waits = self.waits_ms(kind)
        open_ones = [order for order in orders if order.done_s == float("inf")]
        refused = sum(1 for order in open_ones if order.refused)
        counts = [len(orders), len(waits), refused, len(open_ones) - refused]
        counts += [sum(1 for wait in waits if wait > _MS), waits[-1] if waits else 0]
        stages = [self.longest_ms.get((kind, stage)) for stage in _STAGES]
        return [
            kind,
            *(str(count) for count in counts),
            *("-" if longest is None else str(longest) for longest in stages),
        ]
