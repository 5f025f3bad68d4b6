"""Writes docs/operators/events.md: every log event and metric of the daemons, from the code.

Usage: ``python scripts/event_reference.py`` at the root of the repository. The
names and fields are read from the sources; what they mean stands in
``event_meanings.py``, and a test fails when one is missing, left over, or the page is out of date.
"""

import ast
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from event_meanings import EVENT_MEANINGS, METRIC_MEANINGS

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "events.md"
_SOURCES = ("packages/*/src/**/*.py", "platform/**/*.py")
_OUTSIDE_DAEMONS = ("heronladder_tools", "heronladder_emulator", "_pb2")
_LEVELS = frozenset({"debug", "info", "warning", "error"})
_LOG_NAMES = frozenset({"log", "_log", "event_log"})
_METRICS_NAMES = frozenset({"metrics", "_metrics"})
_METRIC_KINDS = {"add": "counter", "observe": "histogram"}
_COMMON_FIELDS = frozenset({"step", "peer"})


@dataclass
class Found:
    """What the sources say of one event or metric.

    Attributes:
        kinds: Log levels of an event, or the kind of a metric.
        fields: Keys of an event beside ``step`` and ``peer``.
        modules: Modules that write it.
    """

    kinds: set[str] = field(default_factory=set)
    fields: set[str] = field(default_factory=set)
    modules: set[str] = field(default_factory=set)


@dataclass
class Reference:
    """All events and metrics, by name."""

    events: dict[str, Found] = field(default_factory=lambda: defaultdict(Found))
    metrics: dict[str, Found] = field(default_factory=lambda: defaultdict(Found))


def read_sources() -> Reference:
    """Return what the daemons' sources log and count."""
    reference = Reference()
    for pattern in _SOURCES:
        for path in sorted(ROOT.glob(pattern)):
            if any(word in str(path) for word in _OUTSIDE_DAEMONS):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call):
                    _note_call(reference, node, path.stem)
    return reference


def _note_call(reference: Reference, call: ast.Call, module: str) -> None:
    function = call.func
    if not isinstance(function, ast.Attribute) or not call.args:
        return
    name = call.args[0]
    if not isinstance(name, ast.Constant) or not isinstance(name.value, str):
        return
    owner = _last_name(function.value)
    if owner in _LOG_NAMES and function.attr in _LEVELS:
        found = reference.events[name.value]
        found.kinds.add(function.attr)
        found.fields |= {key.arg for key in call.keywords if key.arg} - _COMMON_FIELDS
    elif owner in _METRICS_NAMES and function.attr in _METRIC_KINDS:
        found = reference.metrics[name.value]
        found.kinds.add(_METRIC_KINDS[function.attr])
    else:
        return
    found.modules.add(module)


def _last_name(node: ast.expr) -> str:
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def page(reference: Reference) -> str:
    """Return the page as Markdown."""
    lines = [
        "# Log events and metrics",
        "",
        "Made from the code by `scripts/event_reference.py`; CI checks it. Each line of a log",
        "has `time`, `level`, `logger`, `event`, `daemon`, and most have `step` and `peer`.",
        "`log_lines_dropped` (`lines`) is the writer's own: so many lines were too much.",
        "",
        "## Events",
        "",
        "| event | level | fields | meaning | module |",
        "|---|---|---|---|---|",
    ]
    lines += _rows(reference.events, EVENT_MEANINGS, with_fields=True)
    lines += ["", "## Metrics", "", "| metric | kind | meaning | module |", "|---|---|---|---|"]
    lines += _rows(reference.metrics, METRIC_MEANINGS, with_fields=False)
    return "\n".join([*lines, ""])


def _rows(found: dict[str, Found], meanings: dict[str, str], *, with_fields: bool) -> list[str]:
    rows = []
    for name in sorted(found):
        entry = found[name]
        cells = [f"`{name}`", ", ".join(sorted(entry.kinds))]
        if with_fields:
            cells.append(", ".join(f"`{key}`" for key in sorted(entry.fields)))
        cells += [meanings.get(name, ""), ", ".join(sorted(entry.modules))]
        rows.append("| " + " | ".join(cells) + " |")
    return rows


if __name__ == "__main__":
    PAGE.write_text(page(read_sources()))
