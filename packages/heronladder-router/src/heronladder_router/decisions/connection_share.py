"""Limits the connections of each gateway to a replica that accepts a bounded number.

Many gateways may share a replica that accepts few connections and resets those beyond its limit.
When a connection is reset, its gateway cannot tell whether the request on it was run.

Each gateway gets an equal share of nine tenths of the limit, where the limit is large enough. The
remaining tenth is a reserve, because the other gateways do not count a starting gateway at once,
and a connection closed by one side stays open at the other for a short time.
"""

_ASSIGNED_FRACTION = 0.9


def connection_share(accepted: int, gateways: int) -> int | None:
    """Return how many connections a gateway may have open to a replica.

    If there are more gateways than connections, each gateway gets one. The total then exceeds the
    limit of the replica if all gateways use their connection at the same time.

    Args:
        accepted: Connections that the replica accepts from all clients; 0 for no limit.
        gateways: Number of gateways that send to the replica.

    Returns:
        Number of connections; None for no limit.
    """
    if not accepted:
        return None
    gateways = max(1, gateways)
    share = round(accepted * _ASSIGNED_FRACTION / gateways)
    return max(1, min(share, accepted // gateways))


def expected_wait_s(waiting: int, held_s: float, share: int) -> float:
    """Return how long a new request is expected to wait for a connection, in seconds.

    Args:
        waiting: Requests that already wait for a connection.
        held_s: Time for which a request holds its connection, in seconds.
        share: Connections that this gateway may use.
    """
    return (waiting + 1) * held_s / share
