"""Whether anything accepts connections at a replica's address; nothing is sent."""

import asyncio
from enum import Enum

_CONNECT_S = 0.3  # to another zone and back, on a busy machine (chosen)


class Listens(Enum):
    """What an address did with a connection."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"  # the machine says that nothing listens
    SILENT = "silent"  # cut off, without power, or very busy


async def listens(address: str) -> Listens:
    """Open a connection to an address, and close it.

    Args:
        address: IP:port.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            await writer.wait_closed()
    except ConnectionRefusedError:
        return Listens.REFUSES
    except (OSError, TimeoutError, ValueError):
        return Listens.SILENT
    return Listens.ACCEPTS
