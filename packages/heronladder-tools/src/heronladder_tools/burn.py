"""Service-level burn: how fast objectives and budgets are used up."""

import html
import json
import re
from dataclasses import asdict, dataclass
from typing import Any

from heronladder_tools.tables import format_table

TARGET = 0.95  # 95 in 100, as the contracts say
_METRIC = re.compile(
    r'heronladder_objective_(events|met)_total\{label="([^"/]*)/([^"/]*)/([^"]*)"\} ([0-9.e+]+)'
)
_SECONDS_PER_HOUR = 3600.0

CountKey = tuple[str, str, str]  # tenant, service, objective


@dataclass(frozen=True)
class Counts:
    """Events of one objective.

    Attributes:
        events: How many there were.
        met: How many met the objective.
    """

    events: float
    met: float


@dataclass(frozen=True)
class BurnLine:
    """One line of the report.

    Attributes:
        tenant: Whose requests.
        service: Of which service.
        objective: Which objective.
        events: Events since the routers started.
        met_percent: How many met the objective, in percent.
        error_budget_left_percent: Part of the allowed misses that is left.
        burn_short: Misses in the short window over those allowed; 1 uses the
            error budget up exactly.
        burn_long: The same since the routers started.
        hours_to_exhaustion: Time until the error budget of a month is used up
            at the short window's pace; None when it is not being used up.
    """

    tenant: str
    service: str
    objective: str
    events: float
    met_percent: float
    error_budget_left_percent: float
    burn_short: float
    burn_long: float
    hours_to_exhaustion: float | None


@dataclass(frozen=True)
class BudgetLine:
    """A prepaid budget.

    Attributes:
        budget: Its name.
        allotted: Tokens of the period in this region.
        left: Tokens neither billed nor withheld.
        tokens_per_second: Tokens billed a second in the short window.
        hours_to_empty: Time until it is empty at that pace; None at no pace.
    """

    budget: str
    allotted: int
    left: int
    tokens_per_second: float
    hours_to_empty: float | None


def parse_counts(pages: list[str]) -> dict[CountKey, Counts]:
    """Return the objectives' counts, summed over the metrics pages of all routers."""
    sums: dict[CountKey, dict[str, float]] = {}
    for page in pages:
        for which, tenant, service, objective, value in _METRIC.findall(page):
            key = (tenant, service, objective)
            entry = sums.setdefault(key, {"events": 0.0, "met": 0.0})
            entry[which] += float(value)
    return {key: Counts(**entry) for key, entry in sums.items()}


def _burn(counts: Counts) -> float:
    if not counts.events:
        return 0.0
    return (1 - counts.met / counts.events) / (1 - TARGET)


def burn_lines(
    before: dict[CountKey, Counts], after: dict[CountKey, Counts], period_hours: float = 720.0
) -> list[BurnLine]:
    """Return the report's lines from two readings of the counters.

    Args:
        before: Counts at the beginning of the short window.
        after: Counts at its end.
        period_hours: Length of the contract's period, in hours.
    """
    lines = []
    for key in sorted(after):
        total = after[key]
        earlier = before.get(key, Counts(0, 0))
        if total.events < earlier.events:  # a router restarted
            earlier = Counts(0, 0)
        window = Counts(total.events - earlier.events, total.met - earlier.met)
        short, long = _burn(window), _burn(total)
        left = max(0.0, 1 - long)
        hours = period_hours * left / short if short > 0 else None
        lines.append(
            BurnLine(
                *key,
                total.events,
                100 * total.met / total.events if total.events else 100.0,
                100 * left,
                short,
                long,
                hours,
            )
        )
    return lines


def budget_lines(
    before: list[dict[str, Any]], after: list[dict[str, Any]], seconds: float
) -> list[BudgetLine]:
    """Return the prepaid budgets' lines from two readings of the accounts."""
    billed_before = {
        (account["budget"], account.get("period", "0")): int(account.get("billed", 0))
        for account in before
    }
    lines = []
    for account in after:
        key = (account["budget"], account.get("period", "0"))
        billed = int(account.get("billed", 0))
        allotted = int(account.get("allotted", 0))
        gone = billed + int(account.get("withheld", 0)) + int(account.get("movedOut", 0))
        pace = max(0, billed - billed_before.get(key, billed)) / seconds
        hours = (allotted - gone) / pace / _SECONDS_PER_HOUR if pace else None
        lines.append(BudgetLine(account["budget"], allotted, allotted - gone, pace, hours))
    return lines


def _hours(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f} h"


def burn_text(lines: list[BurnLine], budgets: list[BudgetLine]) -> str:
    """Return the report as tables."""
    rows = [
        [
            line.tenant,
            line.service,
            line.objective,
            f"{line.events:.0f}",
            f"{line.met_percent:.2f}%",
            f"{line.error_budget_left_percent:.0f}%",
            f"{line.burn_short:.2f}",
            f"{line.burn_long:.2f}",
            _hours(line.hours_to_exhaustion),
        ]
        for line in lines
    ]
    heads = ["tenant", "service", "objective", "events", "met", "error budget left"]
    heads += ["burn, short", "burn, long", "exhausted in"]
    budget_rows = [
        [
            line.budget,
            str(line.allotted),
            str(line.left),
            f"{line.tokens_per_second:.1f}",
            _hours(line.hours_to_empty),
        ]
        for line in budgets
    ]
    budget_heads = ["budget", "tokens", "left", "tokens/s", "empty in"]
    return format_table(heads, rows) + "\n\n" + format_table(budget_heads, budget_rows)


def burn_json(lines: list[BurnLine], budgets: list[BudgetLine]) -> str:
    """Return the report as JSON."""
    document = {
        "objectives": [asdict(line) for line in lines],
        "budgets": [asdict(line) for line in budgets],
    }
    return json.dumps(document, indent=2)


def burn_html(lines: list[BurnLine], budgets: list[BudgetLine]) -> str:
    """Return the report as one page that needs nothing else."""
    objective_rows = "".join(
        f"<tr><td>{html.escape(line.tenant)}</td><td>{html.escape(line.service)}</td>"
        f"<td>{html.escape(line.objective)}</td><td>{line.events:.0f}</td>"
        f"<td>{line.met_percent:.2f}%</td><td>{_bar(line.error_budget_left_percent)}</td>"
        f"<td>{line.burn_short:.2f}</td><td>{line.burn_long:.2f}</td>"
        f"<td>{_hours(line.hours_to_exhaustion)}</td></tr>"
        for line in lines
    )
    budget_rows = "".join(
        f"<tr><td>{html.escape(line.budget)}</td><td>{line.allotted}</td>"
        f"<td>{_bar(100 * line.left / line.allotted if line.allotted else 0)}</td>"
        f"<td>{line.tokens_per_second:.1f}</td><td>{_hours(line.hours_to_empty)}</td></tr>"
        for line in budgets
    )
    style = (
        "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
        "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}"
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>Service-level burn</title>"
        f"<style>{style}</style><h1>Service-level burn</h1>"
        "<table><tr><th>tenant<th>service<th>objective<th>events<th>met"
        "<th>error budget left<th>burn, short<th>burn, long<th>exhausted in</tr>"
        f"{objective_rows}</table><h1>Prepaid budgets</h1>"
        "<table><tr><th>budget<th>tokens<th>left<th>tokens/s<th>empty in</tr>"
        f"{budget_rows}</table>\n"
    )


def _bar(percent: float) -> str:
    colour = "#3a7" if percent > 50 else "#c93" if percent > 20 else "#c43"
    return (
        f'<svg width="120" height="14"><rect width="120" height="14" fill="#eee"/>'
        f'<rect width="{1.2 * max(0.0, min(100.0, percent)):.1f}" height="14" fill="{colour}"/>'
        f"</svg> {percent:.0f}%"
    )
