"""Replays the requests of a log against ways of holding prepaid tokens, offline.

Usage: ``python scripts/replay_token_pools.py LOG FROM_S UNTIL_S [HELD_SHARE]``. The log is of a
day with all daemons' lines, each with the second it was written at before it. From FROM_S to
UNTIL_S all gateways are taken to be cut from control: what is left of each limit, HELD_SHARE of
it, lies with gateways as each way says, and every request that asked then asks again. Printed
is the share of those requests, and of their tokens, that each way serves.
"""

import re
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from random import Random

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_MOST_ASKED = 3
_HOLDERS = 3


@dataclass(frozen=True)
class Ask:
    """A request for tokens."""

    at_s: float
    gateway: str
    tenant: str
    tokens: int


def read(file: Path) -> tuple[list[Ask], dict[str, int], list[tuple[float, str, int]]]:
    """Return all asks, the limits seen, and what requests used and when they ended."""
    asks: dict[str, Ask] = {}
    limits: dict[str, int] = {}
    used: list[tuple[float, str, int]] = []
    with file.open(errors="replace") as lines:
        for line in lines:
            moment, _, rest = line.strip().partition(" ")
            fields = dict(_FIELD.findall(rest))
            event = fields.get("event")
            if event == "tokens_refused":
                limits[fields["peer"]] = int(fields["limit"])
                tokens = int(fields["wanted"])
                ask = Ask(float(moment), fields["daemon"], fields["peer"], tokens)
                asks[fields["request_id"]] = ask
            elif event == "request_ended" and int(fields["reserved"]):
                began_s = float(moment) - int(fields["held_ms"]) / 1000
                tokens = int(fields["reserved"])
                ask = Ask(began_s, fields["daemon"], fields["tenant"], tokens)
                asks.setdefault(fields["request_id"], ask)
                used.append((float(moment), fields["tenant"], int(fields["used"])))
    return sorted(asks.values(), key=lambda ask: ask.at_s), limits, used


def zone(gateway: str) -> str:
    """Return a gateway's zone, as its name tells."""
    return gateway.rpartition("-")[0]


def holders(tenant: str, gateways: list[str]) -> list[str]:
    """Return one gateway a zone, by rendezvous hash."""
    best: dict[str, str] = {}
    for name in gateways:
        held = best.get(zone(name))
        if held is None or weight(tenant, name) > weight(tenant, held):
            best[zone(name)] = name
    return sorted(best.values(), key=lambda name: weight(tenant, zone(name)))[:_HOLDERS]


def weight(tenant: str, name: str) -> bytes:
    """Return a rendezvous weight."""
    return blake2b(f"{tenant} {name}".encode(), digest_size=8).digest()


def replay(way: str, cut: list[Ask], rest: dict[str, int], gateways: list[str]) -> tuple[int, int]:
    """Return how many of the requests in a cut are served, and of how many tokens."""
    random = Random(1)
    held: dict[tuple[str, str], int] = Counter()
    for tenant, tokens in rest.items():
        places = holders(tenant, gateways) if way == "holders" else gateways
        for name in places:
            held[tenant, name] = tokens // len(places)
    served = served_tokens = 0
    for ask in cut:
        candidates = [ask.gateway]
        if way == "holders":
            candidates += sorted(
                holders(ask.tenant, gateways), key=lambda name: zone(name) != zone(ask.gateway)
            )[:_MOST_ASKED]
        elif way == "equals":
            candidates += random.sample(gateways, _MOST_ASKED)
        elif way == "richest":  # equals that know what each held a second before
            candidates += sorted(gateways, key=lambda name: -held[ask.tenant, name])[:_MOST_ASKED]
        for name in candidates:
            if held[ask.tenant, name] >= ask.tokens:
                held[ask.tenant, name] -= ask.tokens
                served += 1
                served_tokens += ask.tokens
                break
    return served, served_tokens


def main() -> None:
    """Print the shares served."""
    asks, limits, used = read(Path(sys.argv[1]))
    from_s, until_s = float(sys.argv[2]), float(sys.argv[3])
    share = float(sys.argv[4]) if len(sys.argv) > 4 else 0.5
    gateways = sorted({ask.gateway for ask in asks})
    spent: dict[str, int] = defaultdict(int)
    for at_s, tenant, tokens in used:
        if at_s < from_s:
            spent[tenant] += tokens
    rest = {name: int(share * max(0, limit - spent[name])) for name, limit in limits.items()}
    cut = [ask for ask in asks if from_s <= ask.at_s < until_s and ask.tenant in limits]
    tokens = sum(ask.tokens for ask in cut)
    print(
        f"{len(cut)} requests, {tokens} tokens, {sum(rest.values())} held, {len(gateways)} places"
    )
    for way in ("alone", "equals", "richest", "holders"):
        served, served_tokens = replay(way, cut, rest, gateways)
        print(
            f"{way:8} {served / len(cut):.3f} of requests, {served_tokens / tokens:.3f} of tokens"
        )


if __name__ == "__main__":
    main()
