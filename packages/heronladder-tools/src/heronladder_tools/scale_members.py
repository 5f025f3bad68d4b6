"""Control members for measurements, in a process of their own."""

import asyncio
import os
from pathlib import Path

from heronladder_daemon.daemon import Daemon
from heronladder_runtime.settings import load

from heronladder_tools.demo_fleet import free_addresses

ADDRESSES_FILE = "addresses"
PID_FILE = "pid"
_LOOPBACK = "127.0.0.1"


async def run_members(folder: Path, members: int, seconds: float) -> None:
    """Run control members until the time is over.

    Their gRPC addresses and this process's id are left in ``folder``.

    Args:
        folder: Where data folders, addresses and process id go.
        members: Number of members.
        seconds: Time to run.
    """
    addresses = free_addresses(members)
    apis = free_addresses(members)
    initial = ",".join(
        f"control-{number}={address}/{api}"
        for number, (address, api) in enumerate(zip(addresses, apis, strict=True))
    )
    daemons = []
    for number in range(members):
        flags: dict[str, str | None] = {
            "name": f"control-{number}",
            "roles": "control",
            "control_listen": addresses[number],
            "api_listen": apis[number],
            "initial_members": initial,
            "control_addresses": ",".join(addresses),
            "data_folder": str(folder / f"control-{number}"),
            "admin_listen": f"{_LOOPBACK}:0",
        }
        daemon = Daemon(load(flags, {}))
        await daemon.start()
        daemons.append(daemon)
    (folder / PID_FILE).write_text(str(os.getpid()))
    (folder / ADDRESSES_FILE).write_text(",".join(addresses))
    try:
        await asyncio.sleep(seconds)
    finally:
        for daemon in daemons:
            await daemon.abort()
