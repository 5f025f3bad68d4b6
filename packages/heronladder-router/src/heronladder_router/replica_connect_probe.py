"""Probes whether a replica's address accepts TCP connections; no data is sent."""

import asyncio
from enum import Enum

_CONNECT_TIMEOUT_S = 0.3  # covers a round trip to another zone on a busy machine
# If the event loop lags by more than this, the time-out may hit a connection that was established.
# An overloaded gateway took all replicas for silent, and went on refusing requests after the
# overload had ended.
_MAX_LOOP_LAG_S = 0.1


class ConnectOutcome(Enum):
    """How an address responded to a connection attempt."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"  # the host reports that nothing listens on the port
    SILENT = "silent"  # unreachable, powered off, or overloaded
    UNCLEAR = "unclear"  # the event loop of this process lagged, so the result is unknown


async def probe_connect(address: str) -> ConnectOutcome:
    """Open a connection to an address and close it.

    Args:
        address: IP:port.

    Returns:
        What happened to the connection.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + _CONNECT_TIMEOUT_S
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            await writer.wait_closed()
    except ConnectionRefusedError:
        return ConnectOutcome.REFUSES
    except (OSError, TimeoutError, ValueError):
        return (
            ConnectOutcome.UNCLEAR
            if loop.time() > deadline_s + _MAX_LOOP_LAG_S
            else ConnectOutcome.SILENT
        )
    return ConnectOutcome.ACCEPTS
