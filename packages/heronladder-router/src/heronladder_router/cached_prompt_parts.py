"""A gateway's estimate of which prompt parts a replica holds in its prefix cache."""

from collections import OrderedDict
from dataclasses import dataclass

from heronladder_router.token_counts import parse_token_count

# Fraction of a replica's memory that holds cached parts; the rest is for running requests.
_CACHE_FRACTION = 0.6


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt.

    Attributes:
        identity: Identifies the part together with all parts before it.
        tokens: Length of the part, in tokens.
    """

    identity: str
    tokens: int

    @property
    def name(self) -> str:
        """Id of the part itself, wherever it stands in a prompt."""
        return self.identity.rpartition("/")[2]


def parse_prompt_parts(text: str) -> list[PromptPart]:
    """Parse "ID:TOKENS,ID:TOKENS"; return an empty list if the text is malformed."""
    parts = []
    prefix = ""
    for piece in filter(None, text.split(",")):
        name, colon, tokens_text = piece.strip().rpartition(":")
        tokens = parse_token_count(tokens_text)
        if not colon or tokens is None:
            return []
        prefix = f"{prefix}/{name}"
        parts.append(PromptPart(prefix, tokens))
    return parts


class CachedPromptParts:
    """Prompt parts that a replica was sent, in LRU order and limited by its memory.

    Args:
        capacity_tokens: Memory of the replica, in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = int(capacity_tokens * _CACHE_FRACTION)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached_prefix_tokens(self, parts: list[PromptPart]) -> int:
        """Return how many tokens at the start of a prompt are expected in the cache."""
        cached = 0
        for part in parts:
            if part.identity not in self._parts:
                break
            cached += part.tokens
        return cached

    def record_prompt(self, parts: list[PromptPart]) -> None:
        """Record that a prompt was sent; its last part is the first to be evicted."""
        for part in reversed(parts):
            known = self._parts.pop(part.identity, 0)
            self._parts[part.identity] = part.tokens
            self._tokens += part.tokens - known
        while self._tokens > self._capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Drop all parts, because the replica may have restarted."""
        self._parts.clear()
        self._tokens = 0
