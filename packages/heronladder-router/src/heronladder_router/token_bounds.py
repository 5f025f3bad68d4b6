"""What a caller states about the tokens of a request, and what it may cost.

A caller is charged by what it states only where that cannot lower the cost: the prompt costs at
least what its parts add up to, and a stream ends at the stated output.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from heronladder_router.cached_prompt_parts import parse_prompt_parts
from heronladder_router.token_counts import parse_token_count


class TokenBoundsError(ValueError):
    """The stated bounds are missing or malformed."""


@dataclass(frozen=True)
class TokenBounds:
    """Bounds on the tokens of a request.

    Attributes:
        prompt: Tokens of the prompt.
        max_output: Most tokens that may be generated.
    """

    prompt: int
    max_output: int

    @property
    def total(self) -> int:
        """Most tokens the request can cost."""
        return self.prompt + self.max_output


def parse_token_bounds(text: str) -> TokenBounds | None:
    """Parse "PROMPT,OUT"; return None if the text is malformed."""
    prompt_text, _, output_text = text.partition(",")
    prompt, max_output = parse_token_count(prompt_text), parse_token_count(output_text)
    if prompt is None or max_output is None:
        return None
    return TokenBounds(prompt, max_output)


def charged_bounds(
    stated: Sequence[str], parts: Sequence[str], tokens_per_event: int
) -> TokenBounds:
    """Return the most that a request of a tenant with prepaid tokens can cost.

    Args:
        stated: Values of the header with the bounds, "PROMPT,OUT".
        parts: Values of the header with the parts of the prompt, "ID:TOKENS,ID:TOKENS".
        tokens_per_event: Most tokens in one event of a stream.

    Raises:
        TokenBoundsError: If the bounds are not stated once, as two whole numbers with an output of
            at least one token, or if the parts are not stated at most once in their form.
    """
    if len(stated) != 1 or len(parts) > 1:
        raise TokenBoundsError(
            f"expected once each, received: {len(stated)} bounds, {len(parts)} lists of parts"
        )
    bounds = parse_token_bounds(stated[0])
    if bounds is None or not bounds.max_output:
        raise TokenBoundsError(f"expected PROMPT,OUT with OUT over 0, received: {stated[0]!r}")
    parts_text = parts[0].strip() if parts else ""
    known = parse_prompt_parts(parts_text)
    if parts_text and not known:
        raise TokenBoundsError(f"expected ID:TOKENS,ID:TOKENS, received: {parts_text!r}")
    prompt = max(bounds.prompt, sum(part.tokens for part in known))
    return TokenBounds(prompt, whole_events(bounds.max_output, tokens_per_event))


def whole_events(max_output: int, tokens_per_event: int) -> int:
    """Return the tokens of the fewest whole events that hold an output.

    What the last event holds is not stated in it, so that it counts as full.
    """
    per_event = max(1, tokens_per_event)
    return -(-max_output // per_event) * per_event
