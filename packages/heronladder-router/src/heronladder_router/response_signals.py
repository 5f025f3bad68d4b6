"""Parses the headers of a response in which a replica signals its own state."""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from multidict import CIMultiDictProxy

from heronladder_router.gateway_header_names import GatewayHeaderNames

_RETRY_AFTER = "Retry-After"
_DATE = "Date"
_SECONDS = re.compile(r"[0-9]+(?:\.[0-9]+)?")
_TRUE = frozenset({"1", "true"})


@dataclass(frozen=True)
class ResponseSignals:
    """Signals in the headers of one response.

    Attributes:
        misdirected: Whether the address now belongs to another incarnation. The other signals
            would be those of that incarnation, and are omitted.
        not_run: Whether the replica did not run the request.
        leaving: Whether the replica accepts no new requests until it ends.
        back_off_s: Time for which it wants no requests from this gateway, in seconds; 0 if it
            asked for no back-off.
        limit: Text of the limit header: requests per second that it accepts from all gateways
            together; None if it has no limit.
        malformed: Names of headers whose values could not be parsed; they are ignored.
    """

    misdirected: bool = False
    not_run: bool = False
    leaving: bool = False
    back_off_s: float = 0.0
    limit: str | None = None
    malformed: tuple[str, ...] = ()


def read_signals(
    status: int, headers: CIMultiDictProxy[str], names: GatewayHeaderNames, wall_s: float
) -> ResponseSignals:
    """Return the signals of a response.

    Args:
        status: HTTP status of the response.
        headers: Headers of the response.
        names: Header names of the deployment.
        wall_s: Wall-clock time in seconds since the epoch; the reference for a date in
            ``Retry-After`` if the response has no ``Date``.
    """
    not_run = names.not_run in headers
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseSignals(misdirected=True, not_run=not_run)
    malformed: list[str] = []
    return ResponseSignals(
        not_run=not_run,
        leaving=_leaving(headers, names.leaving, malformed),
        back_off_s=_back_off_s(headers, wall_s, malformed) if _backs_off(status, not_run) else 0.0,
        limit=headers.get(names.replica_limit),
        malformed=tuple(malformed),
    )


def _backs_off(status: int, not_run: bool) -> bool:
    """Return whether a status concerns the whole replica, not just one request or caller."""
    unavailable = status == HTTPStatus.SERVICE_UNAVAILABLE
    return unavailable or (status == HTTPStatus.TOO_MANY_REQUESTS and not_run)


def _leaving(headers: CIMultiDictProxy[str], name: str, malformed: list[str]) -> bool:
    values = headers.getall(name, [])
    leaving = any(value.strip().lower() in _TRUE for value in values)
    if values and not leaving:
        malformed.append(name)
    return leaving


def _back_off_s(headers: CIMultiDictProxy[str], wall_s: float, malformed: list[str]) -> float:
    """Return the longest back-off in the headers of a response, in seconds."""
    values = headers.getall(_RETRY_AFTER, [])
    if not values:
        return 0.0
    now_s = _sent_wall_s(headers.getall(_DATE, []), wall_s)
    times_s = [time_s for value in values if (time_s := _retry_after_s(value, now_s)) is not None]
    if len(times_s) < len(values):
        malformed.append(_RETRY_AFTER)
    return max(times_s, default=0.0)


def _retry_after_s(text: str, now_s: float) -> float | None:
    """Parse a ``Retry-After`` value (RFC 9110, section 10.2.3).

    In addition to the RFC, fractions of a second are accepted.

    Args:
        text: Value of the header.
        now_s: Reference for dates, in seconds since the epoch.

    Returns:
        Seconds to wait; None if the value is neither a number nor a date.
    """
    text = text.strip()
    if _SECONDS.fullmatch(text):
        seconds = float(text)
        return seconds if math.isfinite(seconds) else None
    until_s = _http_date_s(text)
    return None if until_s is None else max(0.0, until_s - now_s)


def _sent_wall_s(dates: Iterable[str], wall_s: float) -> float:
    """Return the sender's wall-clock time, as its clock may differ from the local one."""
    sent_s = [date_s for date in dates if (date_s := _http_date_s(date)) is not None]
    return sent_s[0] if sent_s else wall_s


def _http_date_s(text: str) -> float | None:
    try:
        date: datetime = parsedate_to_datetime(text)
    except (ValueError, TypeError, OverflowError):
        return None
    return date.replace(tzinfo=date.tzinfo or UTC).timestamp()
