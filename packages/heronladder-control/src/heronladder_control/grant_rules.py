"""Rules for the number of tokens that a draw gets.

The leader's rules may change with each build, since their decisions are written to the log. The
rules of cluster version 0 are evaluated by each member while it applies a draw. They must never
change, because accounts in production are maintained by them.
"""

from heronladder_schema.v1 import control_pb2, ledger_pb2

_SCARCE_FRACTION = 0.1  # of the limit; with less left after a loss, nothing is held ahead
_LARGE_LOSS_FRACTION = 0.02  # of the limit; the loss of one gateway costs less, of all more
_SCARCE_AFTER_LARGE_LOSS_FRACTION = 0.2  # of the limit; what the loss of all gateways leaves
# Part of the unused tokens that one request may get when tokens are scarce. With a larger part, a
# few large requests take the tokens of many small ones.
_MAX_REQUEST_FRACTION = 1 / 32
_SMALL_REQUEST_TOKENS = 2_000  # upper bound of a common small request
_MAX_HELD_FRACTION = 0.75  # of the tokens not spent, for all holders together


def charged(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the number of tokens that are used or that a holder may still use."""
    held = sum(holder.granted - holder.returned for holder in account.holders)
    return account.closed_charge + held


def available(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the number of tokens that can be granted; 0 if the limit was lowered below the charge.

    The tokens kept back offset those that are charged for lost holders without known use.
    """
    lost = account.closed_charge - account.closed_spent
    usable = account.limit - max(0, account.kept_back - lost)
    return max(0, usable - charged(account))


def unused(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the number of tokens that no request has used or reserved, whoever holds them."""
    held = sum(
        holder.granted - holder.returned - holder.spent - holder.reserved
        for holder in account.holders
    )
    return available(account) + held


def grant_size(account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens) -> int:
    """Return the number of tokens that a draw gets by the leader's rules."""
    if not account.limited:
        return order.wanted
    left = available(account)
    if left < order.minimum or is_too_large(account, order.minimum):
        return 0
    # Enough for all waiting requests at once; otherwise each waits for the draws before its own.
    needed = max(order.minimum, order.needed)
    if _is_scarce(account, _scarcity_fraction(account)):
        # Tokens held ahead of need would be idle at holders without requests.
        needed = max(order.minimum, min(needed, _max_request_tokens(account)))
        return min(needed, left)
    return min(order.wanted, left, max(_holding_headroom(account), needed))


def grant_size_of_version_0(
    account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens
) -> int:
    """Return the number of tokens for a draw without a decision of the leader."""
    if not account.limited:
        return order.wanted
    left = available(account)
    if left < order.minimum:
        return 0
    if _is_scarce(account, _SCARCE_FRACTION):
        return order.minimum
    return min(order.wanted, left, max(_holding_headroom(account), order.minimum))


def is_too_large(account: ledger_pb2.PrepaidAccount, tokens: int) -> bool:
    """Whether one request would take too many of the tokens that a large loss has left."""
    scarce = _has_large_loss(account) and _is_scarce(account, _SCARCE_AFTER_LARGE_LOSS_FRACTION)
    return scarce and tokens > _max_request_tokens(account)


def _scarcity_fraction(account: ledger_pb2.PrepaidAccount) -> float:
    return _SCARCE_AFTER_LARGE_LOSS_FRACTION if _has_large_loss(account) else _SCARCE_FRACTION


def _is_scarce(account: ledger_pb2.PrepaidAccount, share: float) -> bool:
    """Whether few tokens are unused, and lost routers are part of the reason."""
    lost = account.closed_charge > account.closed_spent
    return lost and unused(account) < account.limit * share


def _has_large_loss(account: ledger_pb2.PrepaidAccount) -> bool:
    lost = account.closed_charge - account.closed_spent
    return lost > account.limit * _LARGE_LOSS_FRACTION


def _max_request_tokens(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the most tokens that one request gets when tokens are scarce."""
    return max(_SMALL_REQUEST_TOKENS, int(unused(account) * _MAX_REQUEST_FRACTION))


def _holding_headroom(account: ledger_pb2.PrepaidAccount) -> int:
    """Return how many more tokens all holders together may hold ahead of need.

    Held tokens let holders, and those they lend to, serve while disconnected from control, and are
    lost with a holder that is not soon replaced. They are not divided equally: any holder may get
    all of the headroom, as holders lend to each other and draw by their demand. With an equal part
    for each of 68 gateways, a sixth of a limit stayed at control while holders ran out of tokens.
    """
    spent = account.closed_charge + sum(entry.spent for entry in account.holders)
    rest = max(0, account.limit - spent)
    held = sum(entry.granted - entry.returned - entry.spent for entry in account.holders)
    return max(0, int(rest * _MAX_HELD_FRACTION) - held)
