"""How many connections a gateway may have open to a replica that accepts some from all callers.

Load pattern: many gateways before a replica that accepts few connections and resets those beyond.
A request on a connection that is reset may have run, for all that its gateway can tell.

Equal parts, of nine tenths where there are enough: a gateway that starts is not counted by the
others at once, and a connection that one side closed is open at the other for a moment.
"""

_HANDED_OUT = 0.9


def connection_share(accepted: int, gateways: int) -> int | None:
    """Return how many connections a gateway may have open to a replica.

    Where there are more gateways than connections each has one, and the sum is over what the
    replica accepts if all use theirs at once.

    Args:
        accepted: Connections that the replica accepts from all callers; 0: any number.
        gateways: Gateways that send to it.

    Returns:
        Connections; None for any number.
    """
    if not accepted:
        return None
    gateways = max(1, gateways)
    part = round(accepted * _HANDED_OUT / gateways)
    return max(1, min(part, accepted // gateways))


def expected_wait_s(waiting: int, held_s: float, share: int) -> float:
    """Return how long a request waits for a connection behind others.

    Args:
        waiting: Requests that wait already.
        held_s: How long a request holds a connection.
        share: Connections that there are.
    """
    return (waiting + 1) * held_s / share
