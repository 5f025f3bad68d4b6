"""A member that caught up from a snapshot stays without a vote; then two disks are lost."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Fleet,
    Machine,
    Operator,
    Record,
    configuration,
    leader_of,
    main,
)

_STORM_GAP_S = 0.08  # of config_storm, as in the deployment's days
_DARK_CHANGES = 330  # changes while the machine is dark: two log entries each
_CALM_S = BOUNDS["catchUpS"] + 4.0
_DOWN_S = 1.0
_MOST_TRIES = 2


def _is_change(line: str, event: str, peer: str, **fields: str) -> bool:
    wanted = [f"event={event} ", f" peer={peer} ", *(f"{k}={v}" for k, v in fields.items())]
    return all(part in line + " " for part in wanted)


async def _wait_for(fleet: Fleet, timeout_s: float, matches: object) -> Machine:
    """Wait until a core machine writes a line; return that machine."""
    began_s = fleet.record.now_s()
    while fleet.record.now_s() - began_s < timeout_s:
        for core in fleet.cores:
            for line in core.new_lines():
                if matches(line):  # type: ignore[operator]
                    fleet.record.write(f"{core.name} writes: {line}")
                    return core
        await asyncio.sleep(0.002)
    raise CannotRunError("an expected event did not come")


class Storm:
    """The operator's changes."""

    def __init__(self, operator: Operator) -> None:
        self._operator = operator
        self.version = 0
        self._tasks: set[asyncio.Task[object]] = set()

    async def change(self) -> None:
        """Send one change; it is retried until it is acknowledged, beside others."""
        while len(self._tasks) >= 8:
            await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        self.version += 1
        task = asyncio.create_task(self._operator.replace(configuration(self.version), 12.0))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait until no change is under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)


async def play(record: Record, trouble: bool) -> list[str]:
    fleet = Fleet(record)
    try:
        return await _play(fleet, record, trouble)
    finally:
        fleet.stop()


async def _play(fleet: Fleet, record: Record, trouble: bool) -> list[str]:
    operator = Operator(fleet)
    storm = Storm(operator)
    fleet.start()
    await storm.change()
    await storm.settle()
    if not operator.newest_acknowledged:
        raise CannotRunError("the first configuration was not acknowledged")
    await asyncio.sleep(8.0)  # all five members count, and the machines are calm
    for core in fleet.cores:
        core.new_lines()

    victim = fleet.cores[3]
    if trouble:
        await _lose_disk_and_power(fleet, record, victim)
    record.write(f"the operator makes {_DARK_CHANGES} changes")
    for _ in range(_DARK_CHANGES):
        await storm.change()
        await asyncio.sleep(_STORM_GAP_S)
    await storm.settle()
    if trouble:
        victim.start()
        await asyncio.sleep(_CALM_S)
        leader = leader_of(fleet)
        others = [core for core in fleet.cores if core not in (victim, leader)]
        for core in (leader, others[0]):
            core.lose_disk()
        await asyncio.sleep(_DOWN_S)
        for core in (leader, others[0]):
            core.start()
    await asyncio.sleep(BOUNDS["recoverS"] + 2.0)
    broken = await _read_back(fleet, operator, record)
    for machine in fleet.machines:
        machine.look()
        broken += machine.ends
    return broken


async def _lose_disk_and_power(fleet: Fleet, record: Record, victim: Machine) -> None:
    """Have a machine lose its disk, and kill it just after the group counts it again.

    The time is taken from what the leader writes. If the machine had learned of it before it was
    killed, it is tried once more.
    """
    for _ in range(_MOST_TRIES):
        counted = _times_counted(victim)
        victim.lose_disk()
        await asyncio.sleep(_DOWN_S)
        victim.start()
        await _wait_for(
            fleet,
            10.0,
            lambda line: _is_change(line, "member_changed", victim.address, voter="true"),
        )
        victim.kill()
        if _times_counted(victim) == counted:
            return
        record.write(f"{victim.name} had learned of it already")
        victim.start()
        await asyncio.sleep(_CALM_S)
        for core in fleet.cores:
            core.new_lines()
    raise CannotRunError("the machine was never killed in time")


def _times_counted(core: Machine) -> int:
    """Return how often a machine has learned that the group counts it again."""
    return core.output.read_text(errors="replace").count("event=member_counts_again")


async def _read_back(fleet: Fleet, operator: Operator, record: Record) -> list[str]:
    """Read the configuration back at all core machines, for 2 x contactMs."""
    newest = 0
    until_s = record.now_s() + 2 * BOUNDS["contactMs"] / 1000
    while record.now_s() < until_s:
        for core in fleet.cores:
            status, version = await operator.read(core.port("control"))
            record.write(f"read back at {core.name}: {status}, version {version}")
            newest = max(newest, version)
            if status == 200 and version < operator.newest_acknowledged:
                return [f"{core.name} reads back version {version}"]
        if newest:
            return []
        await asyncio.sleep(0.3)
    return [
        f"CONFIG: version {operator.newest_acknowledged} was acknowledged; read back for"
        f" {2 * BOUNDS['contactMs']} ms, more than recoverS after all machines are back,"
        " the configuration does not come from any daemon"
    ]


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_txt = Path(__file__).resolve().parent / "record.txt"
    raise SystemExit(main(play, record_txt, trouble=with_trouble))
