"""What a gateway takes a replica to keep of earlier prompts."""

from collections import OrderedDict
from dataclasses import dataclass

_KEPT_SHARE = 0.6  # of the replica's memory; the rest is for requests that run


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt: its identity over all parts before it, and its tokens."""

    identity: str
    tokens: int


def parse_prompt_parts(text: str) -> list[PromptPart]:
    """Return the parts of "ID:TOKENS,ID:TOKENS"; none if the text is malformed."""
    parts = []
    chain = ""
    for piece in filter(None, text.split(",")):
        name, colon, tokens = piece.strip().rpartition(":")
        if not colon or not tokens.isdigit():
            return []
        chain = f"{chain}/{name}"
        parts.append(PromptPart(chain, int(tokens)))
    return parts


class CachedPromptParts:
    """Parts that a replica was sent, the newest used last, within its memory.

    Args:
        capacity_tokens: Memory of the replica, in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = int(capacity_tokens * _KEPT_SHARE)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached_prefix_tokens(self, parts: list[PromptPart]) -> int:
        """Return how many tokens at the head of a prompt need not be read again."""
        kept = 0
        for part in parts:
            if part.identity not in self._parts:
                break
            kept += part.tokens
        return kept

    def record_prompt(self, parts: list[PromptPart]) -> None:
        """Note that a prompt was sent; the last of its parts is dropped first."""
        for part in reversed(parts):
            known = self._parts.pop(part.identity, 0)
            self._parts[part.identity] = part.tokens
            self._tokens += part.tokens - known
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget all: the replica may have started anew."""
        self._parts.clear()
        self._tokens = 0
