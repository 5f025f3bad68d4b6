"""Roll-outs of a fleet over loopback, by hand: good and bad versions, seed by seed.

Usage: ``python tests/rollout_runs.py [SEEDS]``. One line a run: how it ended, what the version
got of what it might, when it ended, what callers got.
"""

import asyncio
import sys
from random import Random

from platform_stand_ins import Received
from rollout_fleet import NEW, Badness, RolloutFleet, failing, slow, sound

_PER_S = 60.0
_WITHIN_S = 8.0
_GATEWAYS = 4


def _later(badness: Badness, after_s: float) -> Badness:
    """Return a version that turns bad after a while."""
    began_s = asyncio.get_running_loop().time()

    def serve(source: Random, received: Received) -> tuple[bool, float]:
        is_bad = asyncio.get_running_loop().time() - began_s > after_s
        return (badness if is_bad else sound)(source, received)

    return serve


async def _run(name: str, seed: int) -> None:
    fleet = RolloutFleet(_GATEWAYS, seed)
    await fleet.start()
    try:
        load = asyncio.create_task(fleet.load(_PER_S, 60.0))
        await fleet.order(_WITHIN_S)
        began_s = asyncio.get_running_loop().time()
        kinds: dict[str, Badness] = {
            "good": sound,
            "fails 0.1": failing(0.1),
            "fails 0.4": failing(0.4),
            "3 times slower": slow(3.0),
            "8 times slower": slow(8.0),
            "fails 0.4 after 3 s": _later(failing(0.4), 3.0),
        }
        fleet.badness = kinds[name]
        await fleet.add_replica("new-0", NEW)
        state = await fleet.ended(40.0)
        took_s = asyncio.get_running_loop().time() - began_s
        exposed, bound = fleet.exposed, fleet.bound
        await asyncio.sleep(0.5)
        fleet.calm = True
        await load
        print(
            f"{name} seed {seed}: {state} after {took_s:.1f} s, got {exposed} of {bound:.0f},"
            f" at old {fleet.at_old_when_completed}, callers {dict(fleet.statuses)}",
            flush=True,
        )
    finally:
        await fleet.stop()


async def _main(seeds: int) -> None:
    for seed in range(1, seeds + 1):
        for name in (
            "good",
            "fails 0.1",
            "fails 0.4",
            "3 times slower",
            "8 times slower",
            "fails 0.4 after 3 s",
        ):
            await _run(name, seed)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
