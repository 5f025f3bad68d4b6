"""Whether anything accepts connections at a replica's address; nothing is sent."""

import asyncio
from enum import Enum

_CONNECT_S = 0.3  # to another zone and back, on a busy machine
# A loop that was late by more gives up a connection that came about: a gateway with too much to do
# took all replicas for silent, and went on refusing when it had caught up.
_LATE_S = 0.1


class ConnectOutcome(Enum):
    """What an address did with a connection."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"  # the machine says that nothing listens
    SILENT = "silent"  # cut off, without power, or very busy
    UNCLEAR = "unclear"  # this process was late itself, so it cannot tell


async def probe_connect(address: str) -> ConnectOutcome:
    """Open a connection to an address, and close it.

    Args:
        address: IP:port.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    due_s = loop.time() + _CONNECT_S
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            await writer.wait_closed()
    except ConnectionRefusedError:
        return ConnectOutcome.REFUSES
    except (OSError, TimeoutError, ValueError):
        return ConnectOutcome.UNCLEAR if loop.time() > due_s + _LATE_S else ConnectOutcome.SILENT
    return ConnectOutcome.ACCEPTS
