"""Where requests of gateways were lost, late or refused: a table from their logs.

Reads the lines ``request_ended`` and ``request_refused`` one at a time. What is kept
are counters: one for each interval, daemon, route, tenant and reason.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from heronladder_tools.explain import LogLine, parse_line

IN_TIME = "in time"
_MOST_ROWS = 12  # of each table but the one by interval
_DEFAULT_PAUSE_MS = 600  # where no other objective is given


@dataclass
class LossTable:
    """Outcomes of requests, counted.

    Attributes:
        interval_s: Length of an interval, in seconds.
        pause_ms: Longest pause between events that is in time.
        by: Counters by dimension: (key, outcome) -> requests.
        requests: All requests counted.
    """

    interval_s: float = 2.0
    pause_ms: int = _DEFAULT_PAUSE_MS
    by: dict[str, Counter[tuple[str, str]]] = field(default_factory=dict)
    requests: int = 0

    def add(self, line: LogLine) -> None:
        """Count a line, if it tells the end of a request."""
        event = line.fields.get("event")
        if event == "request_ended":
            outcome = self._outcome(line)
        elif event == "request_refused":
            outcome = f"refused: {line.fields.get('code', '?')}"
        else:
            return
        if not outcome:
            return  # its refusal or failure has a line of its own
        self.requests += 1
        fields = line.fields
        self._count("interval", self._interval(line), outcome)
        self._count("daemon", fields.get("daemon", "?"), outcome)
        if event == "request_ended":
            self._count("route", fields.get("route", "?"), outcome)
            self._count("replica", fields.get("peer", "?"), outcome)
            self._count("tenant", fields.get("tenant") or "none", outcome)
        else:
            self._count("refused for", fields.get("why", "?"), outcome)

    def _count(self, dimension: str, key: str, outcome: str) -> None:
        self.by.setdefault(dimension, Counter())[key, outcome] += 1

    def _interval(self, line: LogLine) -> str:
        moment = datetime.fromisoformat(line.time).timestamp()
        start = moment - moment % self.interval_s
        return datetime.fromtimestamp(start).strftime("%H:%M:%S")

    def _outcome(self, line: LogLine) -> str:
        """Return what became of a request that was served or failed; "" if told elsewhere."""
        fields = line.fields
        if fields.get("finished") != "true":
            return "broken off" if fields.get("started") == "true" else ""
        objective_ms = _number(fields, "objective_ms")
        first_ms = _number(fields, "first_event_ms")
        if first_ms is None:
            first_ms = _number(fields, "held_ms")
        if objective_ms and first_ms is not None and first_ms > objective_ms:
            sent_ms = _number(fields, "sent_ms") or 0
            return "late: sent late" if sent_ms > objective_ms / 2 else "late: began late"
        if (_number(fields, "longest_pause_ms") or 0) > self.pause_ms:
            return "late: pause"
        return IN_TIME


def _number(fields: dict[str, str], name: str) -> int | None:
    text = fields.get(name, "")
    return int(text) if text.isdigit() else None


def read_losses(files: Iterable[Path], table: LossTable) -> None:
    """Count all requests of some logs.

    Args:
        files: Logs, in any order.
        table: Where they are counted.
    """
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for text in opened:
                if "event=request_ended" in text or "event=request_refused" in text:
                    table.add(parse_line(text))


def losses_text(table: LossTable) -> str:
    """Return the tables as text for people."""
    parts = [f"{table.requests} attempts of callers; what is not in time, by"]
    for dimension, counts in table.by.items():
        parts.append(f"\n{dimension}")
        parts.extend(_rows(counts, in_order=dimension == "interval"))
    return "\n".join(parts)


def _rows(counts: Counter[tuple[str, str]], *, in_order: bool) -> list[str]:
    keys: dict[str, Counter[str]] = {}
    for (key, outcome), number in counts.items():
        keys.setdefault(key, Counter())[outcome] += number
    lost = {key: found.total() - found[IN_TIME] for key, found in keys.items()}
    order = sorted(keys) if in_order else sorted(keys, key=lambda key: -lost[key])[:_MOST_ROWS]
    rows = []
    for key in order:
        found = keys[key]
        told = ", ".join(f"{name} {number}" for name, number in found.most_common())
        rows.append(f"  {key:<28} {lost[key]:>6} of {found.total():>6}   {told}")
    return rows
