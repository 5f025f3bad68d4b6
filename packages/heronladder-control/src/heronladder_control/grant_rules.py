"""How many tokens a draw gets: by the leader's rules, and by those of cluster version 0.

The leader's rules may change with each build, since what they decide stands in the log. Those of
version 0 are worked out by each member while it applies a draw, and never change: production's
build holds accounts by them.
"""

from heronladder_schema.v1 import control_pb2, ledger_pb2

_SCARCE_FRACTION = 0.1  # of the limit: with less left after a loss, nothing is held ahead
_LARGE_LOSS_FRACTION = 0.02  # of the limit: as after a loss of all; one gateway costs less
_SCARCE_AFTER_LARGE_LOSS_FRACTION = 0.2  # of the limit: what a loss of all leaves
# Of what no request has, for one request where tokens are scarce: with a larger share the few
# large ones take what many small ones would have been served with.
_MAX_REQUEST_FRACTION = 1 / 32
_SMALL_REQUEST_TOKENS = 2_000  # a common small request at its most
_MAX_HELD_FRACTION = 0.75  # of what is not spent, by all holders together


def charged(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the tokens that are used or that a holder may still use."""
    held = sum(holder.granted - holder.returned for holder in account.holders)
    return account.closed_charge + held


def available(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the tokens that can be granted; 0 when the limit was lowered below.

    What is kept back makes up for tokens charged for lost holders and not
    known to be used.
    """
    lost = account.closed_charge - account.closed_spent
    usable = account.limit - max(0, account.kept_back - lost)
    return max(0, usable - charged(account))


def unused(account: ledger_pb2.PrepaidAccount) -> int:
    """Return what no request has or may have used, whoever holds it."""
    held = sum(
        holder.granted - holder.returned - holder.spent - holder.reserved
        for holder in account.holders
    )
    return available(account) + held


def grant_size(account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens) -> int:
    """Return what a draw gets, by the leader's rules."""
    if not account.limited:
        return order.wanted
    left = available(account)
    if left < order.minimum or is_too_large(account, order.minimum):
        return 0
    # All that wait at once: one by one each would wait for the draws of those before it.
    needed = max(order.minimum, order.needed)
    if _is_scarce(account, _scarcity_fraction(account)):
        # Tokens held ahead would lie idle where nobody asks.
        needed = max(order.minimum, min(needed, _max_request_tokens(account)))
        return min(needed, left)
    return min(order.wanted, left, max(_holding_headroom(account), needed))


def grant_size_of_version_0(
    account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens
) -> int:
    """Return what a draw gets that carries no decision."""
    if not account.limited:
        return order.wanted
    left = available(account)
    if left < order.minimum:
        return 0
    if _is_scarce(account, _SCARCE_FRACTION):
        return order.minimum
    return min(order.wanted, left, max(_holding_headroom(account), order.minimum))


def is_too_large(account: ledger_pb2.PrepaidAccount, tokens: int) -> bool:
    """Whether one request would take too much of what a loss has left."""
    scarce = _has_large_loss(account) and _is_scarce(account, _SCARCE_AFTER_LARGE_LOSS_FRACTION)
    return scarce and tokens > _max_request_tokens(account)


def _scarcity_fraction(account: ledger_pb2.PrepaidAccount) -> float:
    return _SCARCE_AFTER_LARGE_LOSS_FRACTION if _has_large_loss(account) else _SCARCE_FRACTION


def _is_scarce(account: ledger_pb2.PrepaidAccount, share: float) -> bool:
    """Whether little is left, and less than there would be without lost routers."""
    lost = account.closed_charge > account.closed_spent
    return lost and unused(account) < account.limit * share


def _has_large_loss(account: ledger_pb2.PrepaidAccount) -> bool:
    lost = account.closed_charge - account.closed_spent
    return lost > account.limit * _LARGE_LOSS_FRACTION


def _max_request_tokens(account: ledger_pb2.PrepaidAccount) -> int:
    """Return the most that one request gets where tokens are scarce."""
    return max(_SMALL_REQUEST_TOKENS, int(unused(account) * _MAX_REQUEST_FRACTION))


def _holding_headroom(account: ledger_pb2.PrepaidAccount) -> int:
    """Return how much more all holders together may hold ahead of need.

    What is held carries them, and those they lend to, through a cut from control, and is
    lost with a holder that is not soon replaced. Whoever asks gets it: holders lend to
    each other, and one whose callers ask little asks for little. With a share for each,
    a sixth of a limit stayed at control while its holders ran dry in a cut (68 gateways).
    """
    spent = account.closed_charge + sum(entry.spent for entry in account.holders)
    rest = max(0, account.limit - spent)
    held = sum(entry.granted - entry.returned - entry.spent for entry in account.holders)
    return max(0, int(rest * _MAX_HELD_FRACTION) - held)
