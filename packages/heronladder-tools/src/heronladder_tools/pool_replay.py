"""What a cut from control would cost, by how prepaid tokens are held: replayed from logs.

The requests that asked for tokens in an interval of a log ask again, while nothing can be
drawn: what was left of each limit, a share of it, lies with gateways as each way says.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, time
from hashlib import blake2b
from pathlib import Path
from random import Random

from heronladder_tools.explain import parse_line
from heronladder_tools.tables import format_table

ALONE = "each gateway alone"
EQUALS = "lending among equals"
_MOST_ASKED = 3  # lenders of one request, as gateways ask
_MILLISECONDS = 1000.0
_EVENTS = ("event=tokens_refused", "event=request_ended")


@dataclass(frozen=True)
class Ask:
    """A request for tokens.

    Attributes:
        at_s: Second of the day.
        gateway: Where it came.
        tenant: Whose tokens.
        tokens: The request at its most.
    """

    at_s: float
    gateway: str
    tenant: str
    tokens: int


@dataclass(frozen=True)
class Use:
    """What a request had used when it ended."""

    at_s: float
    tenant: str
    tokens: int


@dataclass
class TokenLog:
    """What logs of gateways tell of tokens.

    Attributes:
        asks: By id of the request.
        uses: Of requests that ended.
        limits: Of tenants that were refused at least once, as told last.
    """

    asks: dict[str, Ask] = field(default_factory=dict)
    uses: list[Use] = field(default_factory=list)
    limits: dict[str, int] = field(default_factory=dict)

    @property
    def gateways(self) -> list[str]:
        """All gateways that were asked."""
        return sorted({ask.gateway for ask in self.asks.values()})


@dataclass(frozen=True)
class Served:
    """What one way of holding tokens serves of a cut, as shares."""

    way: str
    requests: float
    tokens: float


def second_of_day(text: str) -> float:
    """Return the second of the day of ``HH:MM:SS`` or an ISO moment.

    Raises:
        ValueError: If it is neither.
    """
    moment = datetime.fromisoformat(text).time() if "T" in text else time.fromisoformat(text)
    whole_s = moment.hour * 3600 + moment.minute * 60 + moment.second
    return whole_s + moment.microsecond / 1e6


def read_token_log(files: Iterable[Path]) -> TokenLog:
    """Read logs of gateways; lines of other events are passed over."""
    found = TokenLog()
    for fields in _token_lines(files):
        at_s = second_of_day(fields["time"])
        if fields["event"] == "tokens_refused":
            tenant = fields["peer"]
            found.limits[tenant] = int(fields["limit"])
            ask = Ask(at_s, fields["daemon"], tenant, int(fields["wanted"]))
            found.asks[fields["request_id"]] = ask
        elif int(fields["reserved"]):
            began_s = at_s - int(fields["held_ms"]) / _MILLISECONDS
            ask = Ask(began_s, fields["daemon"], fields["tenant"], int(fields["reserved"]))
            found.asks.setdefault(fields["request_id"], ask)
            found.uses.append(Use(at_s, fields["tenant"], int(fields["used"])))
    return found


def _token_lines(files: Iterable[Path]) -> Iterator[dict[str, str]]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if any(event in line for event in _EVENTS):
                    yield parse_line(line).fields


def replay_cut(
    log: TokenLog, from_s: float, until_s: float, held_share: float, holders: int
) -> list[Served]:
    """Return what each way serves of a cut from control.

    Args:
        log: What was asked.
        from_s: Second of the day at which the cut begins.
        until_s: And ends.
        held_share: Part of what is left of each limit that gateways hold.
        holders: How many gateways hold a tenant's tokens, where few do.
    """
    rest = _rest(log, from_s)
    cut = [
        ask
        for ask in sorted(log.asks.values(), key=lambda ask: ask.at_s)
        if from_s <= ask.at_s < until_s and ask.tenant in rest
    ]
    ways = (ALONE, EQUALS, f"{holders} holders")
    held = {tenant: int(held_share * tokens) for tenant, tokens in rest.items()}
    return [_served(way, cut, held, log.gateways, holders) for way in ways]


def _rest(log: TokenLog, at_s: float) -> dict[str, int]:
    """Return what was left of each limit."""
    used: dict[str, int] = defaultdict(int)
    for use in log.uses:
        if use.at_s < at_s:
            used[use.tenant] += use.tokens
    return {tenant: max(0, limit - used[tenant]) for tenant, limit in log.limits.items()}


def _weight(tenant: str, gateway: str) -> bytes:
    return blake2b(f"{tenant} {gateway}".encode(), digest_size=8).digest()


def _served(
    way: str, cut: list[Ask], held: dict[str, int], gateways: list[str], holders: int
) -> Served:
    random = Random(1)
    few = way not in (ALONE, EQUALS)
    places = {
        tenant: sorted(gateways, key=lambda name: _weight(tenant, name))[:holders]
        if few
        else gateways
        for tenant in held
    }
    balances = {
        (tenant, name): held[tenant] // len(names)
        for tenant, names in places.items()
        for name in names
    }
    served = [
        ask
        for ask in cut
        if _take(balances, ask, _asked(way, ask, places[ask.tenant], gateways, random))
    ]
    tokens = sum(ask.tokens for ask in cut)
    return Served(
        way,
        len(served) / max(1, len(cut)),
        sum(ask.tokens for ask in served) / max(1, tokens),
    )


def _asked(
    way: str, ask: Ask, holders: list[str], gateways: list[str], random: Random
) -> list[str]:
    if way == ALONE:
        return [ask.gateway]
    others = holders if way != EQUALS else random.sample(gateways, min(_MOST_ASKED, len(gateways)))
    return [ask.gateway, *others[:_MOST_ASKED]]


def _take(balances: dict[tuple[str, str], int], ask: Ask, asked: list[str]) -> bool:
    for name in asked:
        if balances.get((ask.tenant, name), 0) >= ask.tokens:
            balances[ask.tenant, name] -= ask.tokens
            return True
    return False


def pools_text(log: TokenLog, served: list[Served]) -> str:
    """Return a table of what each way serves."""
    rows = [[one.way, f"{one.requests:.3f}", f"{one.tokens:.3f}"] for one in served]
    head = f"{len(log.asks)} requests at {len(log.gateways)} gateways; of those in the cut, served"
    return head + "\n" + format_table(["held by", "requests", "tokens"], rows)
