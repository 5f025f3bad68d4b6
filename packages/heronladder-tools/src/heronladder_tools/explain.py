"""The way of one request through the logs of several processes.

Logs are read twice, a line at a time: once for the request's own lines, once for
what each process that had to do with it believed before. Memory does not grow
with the size of the logs.
"""

import re
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_BELIEFS = frozenset(
    {
        "configuration_in_use",
        "control_lost",
        "control_regained",
        "replica_known",
        "replica_misdirected",
        "replica_suspected",
        "replica_trusted",
        "replica_forgotten",
        "replica_cold",
        "replica_crashed",
        "replica_looked_after",
        "replica_limit",
        "replica_signals",
        "leave_reported",
        "membership_changed",
        "replica_limit_shared",
        "replica_temperature",
        "zone_evacuated",
        "zone_restored",
        "evacuation_ordered",
        "evacuation_applied",
        "crash_reported",
        "crashing_request_judged",
        "crashing_requests_known",
        "rollout_ordered",
        "rollout_phase",
        "versions_known",
        "version_stopped",
        "prepaid_drawn",
        "prepaid_holder_closed",
        "daemon_started",
        "daemon_stopping",
        "stop_phase",
        "cluster_version_held_up",
        "cluster_version_in_force",
        "command_refused",
        "leader_elected",
        "leader_stepped_down",
        "loop_late",
        "peer_call_expired",
        "change_in_force",
        "hold_ordered",
        "configuration_behind",
        "configuration_caught_up",
        "gateway_readiness",
    }
)
_OF_CONTROL = frozenset(
    {
        "cluster_version_held_up",
        "cluster_version_in_force",
        "command_refused",
        "leader_elected",
        "leader_stepped_down",
        "peer_call_expired",
        "change_in_force",
        "hold_ordered",
        "evacuation_ordered",
        "evacuation_applied",
        "crash_reported",
        "crashing_request_judged",
        "rollout_ordered",
        "rollout_phase",
    }
)
_GENERAL = (
    "configuration",
    "control",
    "crashing_request",
    "daemon",
    "gateway",
    "leader",
    "loop",
    "membership",
    "replica_limit",  # a request that is refused for what all replicas ask names none
    "replica_signals",
    "stop",
    "zone",
    "version",
    "rollout",
)  # about no one replica, or told also of requests that name none
_BELIEFS_KEPT = 6  # newest ones of each process before the request


@dataclass
class LogLine:
    """One line of a log: its fields, and the text itself."""

    fields: dict[str, str]
    text: str

    @property
    def time(self) -> str:
        """Time of day at which it was written; sorts as text."""
        return self.fields.get("time", "")


@dataclass
class Explanation:
    """What the logs tell of one request.

    Attributes:
        lines: The request's own lines, in the order of their times.
        beliefs: By daemon, the newest lines on what it believed before.
        missing: What the logs do not hold.
    """

    lines: list[LogLine] = field(default_factory=list)
    beliefs: dict[str, list[LogLine]] = field(default_factory=dict)
    missing: list[str] = field(default_factory=list)


def parse_line(text: str) -> LogLine:
    """Return a line of a log; text before its fields is passed over."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    return LogLine(fields, text.rstrip("\n"))


def _lines(files: Iterable[Path]) -> Iterator[str]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            yield from opened


def explain_request(request_id: str, files: list[Path]) -> Explanation:
    """Return what the logs tell of a request.

    Args:
        request_id: Its identifier, as the caller sent it, which also finds the attempts that take
            up the stream it began; or a fingerprint, for all tries of one request.
        files: Logs, in any order; one may hold the lines of many processes.
    """
    found = Explanation()
    name = re.escape(request_id)
    wanted = re.compile(
        rf"\b(?:request_id|resumes)={name}(?!\S)|\bfingerprints?=(?:\S*,)?{name}(?![^,\s])"
    )
    found.lines = [parse_line(text) for text in _lines(files) if wanted.search(text)]
    found.lines.sort(key=lambda line: line.time)
    if not found.lines:
        found.missing.append(f"no line names request {request_id}")
        return found
    _add_beliefs(found, files)
    _add_missing(found)
    return found


def _add_beliefs(found: Explanation, files: list[Path]) -> None:
    first = found.lines[0].time
    last = found.lines[-1].time
    daemons = {line.fields.get("daemon", "") for line in found.lines}
    peers = {line.fields.get("peer", "") for line in found.lines} - {""}
    newest: dict[str, deque[LogLine]] = {}
    for text in _lines(files):
        if "event=" not in text:
            continue
        line = parse_line(text)
        if line.fields.get("event") not in _BELIEFS or not line.time or line.time > last:
            continue
        daemon = line.fields.get("daemon", "")
        about = line.fields.get("peer", "")
        general = line.fields["event"].startswith(_GENERAL)
        if daemon in daemons and (general or about in peers):
            kept = newest.setdefault(daemon, deque(maxlen=_BELIEFS_KEPT))
            kept.append(line)
        elif line.fields["event"] in _OF_CONTROL:
            kept = newest.setdefault(daemon, deque(maxlen=_BELIEFS_KEPT))
            if line.time <= first:
                kept.append(line)
    found.beliefs = {daemon: list(kept) for daemon, kept in sorted(newest.items())}


def _add_missing(found: Explanation) -> None:
    events = [line.fields.get("event", "") for line in found.lines]
    if "request_sent" in events and "request_ended" not in events:
        found.missing.append("it was sent, and no line tells its end: the process ended before")
    for line in found.lines:
        daemon = line.fields.get("daemon", "")
        if daemon and daemon not in found.beliefs:
            found.missing.append(f"no line tells what {daemon} believed before")
            break


def _cut_sentence(line: LogLine) -> str:
    """Return in words what a line about a response that was cut says."""
    told = line.fields
    text = (
        f"{told.get('daemon', '')} cut the response ({told.get('cause', '')}:"
        f" {told.get('why', '')}) {told.get('held_ms', '?')} ms after the request,"
        f" {told.get('sent_bytes', '?')} bytes of its body were sent"
    )
    if told.get("peer"):
        text += f"; it was at {told['peer']}"
    since_ms = told.get("since_signal_ms", "None")
    if since_ms != "None":
        text += f"; {since_ms} ms after the stop signal, phase {told.get('stop_phase', '?')}"
    return f"{text}."


def explanation_text(found: Explanation) -> str:
    """Return an explanation as text for people."""
    parts = ["What each process believed before:"]
    for daemon, lines in found.beliefs.items():
        parts.append(f"  {daemon}")
        parts.extend(f"    {line.text.strip()}" for line in lines)
    parts.append("The request:")
    parts.extend(f"  {line.text.strip()}" for line in found.lines)
    cuts = [line for line in found.lines if line.fields.get("event") == "response_cut"]
    parts.extend(_cut_sentence(line) for line in cuts)
    parts.append("Missing:" if found.missing else "Nothing is known to be missing.")
    parts.extend(f"  {what}" for what in found.missing)
    return "\n".join(parts)
