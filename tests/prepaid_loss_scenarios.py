"""Scenarios in which gateways, and control's leader, are lost while tokens are in use."""

import asyncio
from random import Random
from typing import Any

from lending_control import FakeControl
from lending_fleet import LendingFleet
from lending_process import MessageFaults
from lending_run import ZONES, send_bursts, traffic

_LIMIT = 20_000_000
_WARMUP_S = 4.0
_OFFSET_CLOCKS = sorted(ZONES)[::3]  # a third of the gateways


async def warm_fleet(seed: int = 3) -> tuple[LendingFleet, "asyncio.Task[Any]"]:
    """Return gateways that have served requests for some seconds, and the task that sends them."""
    fleet = LendingFleet(Random(seed), ZONES, _LIMIT, MessageFaults(delay_s=0.05))
    for name in ZONES:
        fleet.start(name)
    callers = asyncio.create_task(traffic(fleet, 30.0, 50, (1.0,)))
    await asyncio.sleep(_WARMUP_S)
    return fleet, callers


async def crash_all(
    fleet: LendingFleet,
    *,
    leader_too: bool = True,
    down_s: float = 0.7,
    earlier_term: FakeControl | None = None,
) -> None:
    """Crash all gateways and reconnect the network, then start them again after ``down_s``."""
    for process in list(fleet.processes.values()):
        await process.crash()
    if leader_too:
        fleet.restart_control(earlier_term)
    fleet.partitioned_from_control.clear()
    await asyncio.sleep(down_s)
    for name in ZONES:
        fleet.start(name)


async def end(fleet: LendingFleet, callers: "asyncio.Task[Any]") -> LendingFleet:
    """Let the lost gateways be charged, then stop everything; return the fleet."""
    await asyncio.sleep(4)
    callers.cancel()
    await fleet.stop()
    return fleet


async def loss_during_burst(
    silent_s: float, *, leader_first: bool = False, clock_offset_s: float = 0.0
) -> LendingFleet:
    """Lose all gateways after a partition from control during which load rose.

    Args:
        silent_s: Duration of the partition, in seconds.
        leader_first: Whether the leader ends as the partition begins, so that its log keeps the
            state of that time; otherwise the leader records the silence of the gateways.
        clock_offset_s: Offset of a third of the wall clocks until the loss, in seconds.
    """
    fleet, callers = await warm_fleet()
    for name in _OFFSET_CLOCKS:
        fleet.wall_clock_offset_s[name] = clock_offset_s
    await asyncio.sleep(1)
    fleet.partitioned_from_control.update(ZONES)
    fleet.control.ended = leader_first
    bursts = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(silent_s)
    bursts.cancel()
    fleet.wall_clock_offset_s.clear()
    await crash_all(fleet)
    return await end(fleet, callers)


async def loss_on_reconnect() -> LendingFleet:
    """Lose all gateways as they reconnect, before their promises are committed to the log."""
    fleet, callers = await warm_fleet()
    fleet.partitioned_from_control.update(ZONES)
    bursts = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(3.5)
    fleet.control.commit_s = 60.0
    fleet.partitioned_from_control.clear()
    await asyncio.sleep(0.9)  # reconnected, and informed of it
    bursts.cancel()
    await crash_all(fleet, leader_too=False)
    fleet.control.commit_s = 0.02
    return await end(fleet, callers)


async def loss_under_returning_leader() -> LendingFleet:
    """Lose all gateways twice: once under another leader, then as the first one leads again."""
    fleet, callers = await warm_fleet()
    first = fleet.control
    await crash_all(fleet)
    await asyncio.sleep(_WARMUP_S)
    fleet.partitioned_from_control.update(ZONES)
    fleet.control.ended = True
    bursts = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(5.5)
    bursts.cancel()
    await crash_all(fleet, earlier_term=first)
    return await end(fleet, callers)


async def loss_of_uncommitted_promise() -> LendingFleet:
    """Lose all gateways while commits are slow and load rises."""
    fleet, callers = await warm_fleet()
    fleet.control.commit_s = 60.0
    bursts = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(0.7)
    bursts.cancel()
    await crash_all(fleet)
    return await end(fleet, callers)
