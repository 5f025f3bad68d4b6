"""Numbers of tokens that callers state."""

# Larger numbers count as this one. Sums over requests, gateways and seconds stay below 2**63.
MAX_TOKENS = 2**40


def parse_token_count(text: str) -> int | None:
    """Return a number of tokens, at most ``MAX_TOKENS``; None if it is no whole number."""
    digits = text.strip()
    # str.isdigit and int accept digits of other scripts, and int also signs and underscores.
    if not (digits.isascii() and digits.isdigit()):
        return None
    significant = digits.lstrip("0")
    if len(significant) > len(str(MAX_TOKENS)):
        return MAX_TOKENS
    return min(int(significant or "0"), MAX_TOKENS)
