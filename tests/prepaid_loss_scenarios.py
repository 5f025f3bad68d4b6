"""Losses of gateways, and of control's leader, right when their tokens are in use."""

import asyncio
from random import Random
from typing import Any

from lending_fleet import LendingFleet
from lending_process import MessageFaults
from lending_run import ZONES, send_bursts, traffic

_LIMIT = 20_000_000
_WARMUP_S = 4.0
_OFFSET_CLOCKS = sorted(ZONES)[::3]  # a third of all


async def warm_fleet(seed: int = 3) -> tuple[LendingFleet, "asyncio.Task[Any]"]:
    """Return gateways that have served for some seconds, and their callers."""
    fleet = LendingFleet(Random(seed), ZONES, _LIMIT, MessageFaults(delay_s=0.05))
    for name in ZONES:
        fleet.start(name)
    callers = asyncio.create_task(traffic(fleet, 30.0, 50, (1.0,)))
    await asyncio.sleep(_WARMUP_S)
    return fleet, callers


async def crash_all(fleet: LendingFleet, *, leader_too: bool = True, down_s: float = 0.7) -> None:
    for process in list(fleet.processes.values()):
        await process.crash()
    if leader_too:
        fleet.restart_control()
    fleet.partitioned_from_control.clear()
    await asyncio.sleep(down_s)
    for name in ZONES:
        fleet.start(name)


async def end(fleet: LendingFleet, callers: "asyncio.Task[Any]") -> LendingFleet:
    await asyncio.sleep(4)
    callers.cancel()
    await fleet.stop()
    return fleet


async def loss_during_burst(
    silent_s: float, *, leader_first: bool = False, clock_offset_s: float = 0.0
) -> LendingFleet:
    """All lose power when control has been silent for a while and callers asked for more.

    Args:
        silent_s: For how long, in seconds.
        leader_first: Whether the leader ended as the silence began, so that its notes stay those
            of that moment; otherwise they tell of the silence.
        clock_ahead_s: How far a third of the wall clocks was ahead then, and is not later.
    """
    fleet, callers = await warm_fleet()
    for name in _OFFSET_CLOCKS:
        fleet.wall_clock_offset_s[name] = clock_offset_s
    await asyncio.sleep(1)
    fleet.partitioned_from_control.update(ZONES)
    fleet.control.ended = leader_first
    rushing = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(silent_s)
    rushing.cancel()
    fleet.wall_clock_offset_s.clear()
    await crash_all(fleet)
    return await end(fleet, callers)


async def loss_on_reconnect() -> LendingFleet:
    """Gateways end as they are heard again, before the log has what they used meanwhile."""
    fleet, callers = await warm_fleet()
    fleet.partitioned_from_control.update(ZONES)
    rushing = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(3.5)
    fleet.control.commit_s = 60.0
    fleet.partitioned_from_control.clear()
    await asyncio.sleep(0.9)  # heard, and told of that
    rushing.cancel()
    await crash_all(fleet, leader_too=False)
    fleet.control.commit_s = 0.02
    return await end(fleet, callers)


async def loss_of_uncommitted_promise() -> LendingFleet:
    """All lose power while the log takes long and callers ask for more."""
    fleet, callers = await warm_fleet()
    fleet.control.commit_s = 60.0
    rushing = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(0.7)
    rushing.cancel()
    await crash_all(fleet)
    return await end(fleet, callers)
