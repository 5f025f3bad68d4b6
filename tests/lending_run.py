"""Random fault-injection runs of gateways that lend to each other, in virtual time.

At each step the tokens handed out to callers must exceed neither the tokens that control has
charged nor the highest limit so far.

Usage: ``python tests/lending_run.py --seeds 100 --first 1000``.
"""

import argparse
import asyncio
import sys
from random import Random

from heronladder_schema.v1 import control_pb2
from lending_fleet import LendingFleet
from lending_process import TENANT, MessageFaults
from support import run_virtual

REGIONS = {zone: region for zone, region in zip("abcdef", ("n", "s") * 3, strict=True)}
REGION_ZONES = {f"{zone}{number}": zone for zone in REGIONS for number in range(2)}
ZONES = {f"{zone}{number}": zone for zone in "abc" for number in range(4)}
TOKENS = 5_000
_LIMIT = 600_000
_LIMITS = (500_000, 600_000, 700_000)
_RUN_S = 30.0
_OUTAGE_RUN_S = 20.0
_REQUESTS_PER_SECOND = 20
_POWER_LOSS_PROBABILITY = 0.3  # for one of the ten kinds of faults; else it changes known lenders
_LARGE_LIMIT = 20_000_000
_BUSY_REQUESTS_PER_SECOND = 50
_BURST_INTERVAL_S = 0.1
_REQUESTS_PER_BURST = 3  # at each holder
_BURST_TOKENS = 25_000
_DISCONNECTED_S = (0.0, 0.4, 0.9, 1.8, 3.0, 4.2, 5.5)
_RECONNECT_FIRST_PROBABILITY = 0.3
_AFTER_RECONNECT_S = (0.02, 0.1, 0.3, 0.7)
_LEADER_LOST_PROBABILITY = 0.7
_DOWN_S = (0.7, 1.5, 3.0, 6.0)
_CHANGED_CLOCKS = 3  # of the twelve hosts, at the same time
_WALL_CLOCK_OFFSETS_S = (-2.0, 0.0, 2.0)
_BURST_PROBABILITY = 0.5
_BURST_REQUESTS = 20
_BURST_REQUEST_DURATION_S = 0.05
_VISIBLE_LENDERS = 6
_GATEWAYS_WITH_OTHER_VIEW = 5
_EXHAUSTION_LIMIT = 1_500_000
_EXHAUSTION_RUN_S = 8.0
_EXHAUSTION_REQUESTS_PER_BURST = 2
_RECALL_PROBABILITY = 0.3
_OTHER_LEADER_PROBABILITY = 0.5  # before an outage, where members lead again
_LEADER_FIRST_PROBABILITY = 0.5  # the leader ends as the outage begins
_DELAYS = MessageFaults(delay_s=0.05)
_CRASH_PROBABILITY = 0.02
_REGION_PARTITION_PROBABILITY = 0.25  # of all faults


async def traffic(
    fleet: LendingFleet,
    seconds: float,
    requests_per_second: int,
    used_fractions: tuple[float, ...] = (0.0, 0.5, 1.0),
) -> dict[str, int]:
    """Send requests to randomly chosen gateways; return the number of each outcome.

    Args:
        fleet: The gateways.
        seconds: Duration, in seconds.
        requests_per_second: Rate of requests.
        used_fractions: Fractions of its tokens that a request may use, one of which is chosen at
            random.
    """
    tasks = []
    for _ in range(int(seconds * requests_per_second)):
        running = [each for each in fleet.processes.values() if each.name not in fleet.stopping]
        if running:
            used_fraction = fleet.random.choice(used_fractions)
            tasks.append(fleet.begin(fleet.random.choice(running), TOKENS, used_fraction, 0.4))
        await asyncio.sleep(1 / requests_per_second)
    counts: dict[str, int] = {}
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        outcome = result if isinstance(result, str) else "lost"
        if not isinstance(result, str | asyncio.CancelledError):
            raise result
        counts[outcome] = counts.get(outcome, 0) + 1
    return counts


async def random_run(seed: int) -> LendingFleet:
    """Run one seed with random faults; return the stopped fleet.

    Raises:
        AssertionError: If tokens were handed out that are not charged, or a limit was exceeded.
    """
    message_faults = MessageFaults(lost=0.1, duplicated=0.1, delay_s=0.25)
    fleet = LendingFleet(Random(seed), ZONES, _LIMIT, message_faults)
    for name in ZONES:
        fleet.start(name)
    requests = asyncio.create_task(traffic(fleet, _RUN_S, _REQUESTS_PER_SECOND))
    while not requests.done():
        await asyncio.sleep(0.2 + fleet.random.random())
        await _inject_fault(fleet)
    requests.result()
    await fleet.stop()
    assert fleet.charged <= fleet.highest_limit, (fleet.charged, fleet.highest_limit)
    return fleet


async def region_run(seed: int) -> LendingFleet:
    """Run one seed with two regions and repeated partitions; return the stopped fleet.

    Raises:
        AssertionError: If tokens were handed out that are not charged, or a limit was exceeded.
    """
    message_faults = MessageFaults(lost=0.1, duplicated=0.1, delay_s=0.25)
    fleet = LendingFleet(Random(seed), REGION_ZONES, _LIMIT, message_faults, regions=REGIONS)
    for name in REGION_ZONES:
        fleet.start(name)
    requests = asyncio.create_task(traffic(fleet, _RUN_S, _REQUESTS_PER_SECOND))
    while not requests.done():
        await asyncio.sleep(0.2 + fleet.random.random())
        if fleet.random.random() < _REGION_PARTITION_PROBABILITY:
            fleet.partition_region(fleet.random.choice(("n", "s")))
        else:
            await _inject_fault(fleet)
    requests.result()
    await fleet.stop()
    assert fleet.charged <= fleet.highest_limit, (fleet.charged, fleet.highest_limit)
    return fleet


async def _inject_fault(fleet: LendingFleet) -> None:
    name = fleet.random.choice(sorted(fleet.zones))
    process = fleet.processes.get(name)
    kind = fleet.random.randrange(10)
    if kind == 0 and process is not None:
        if fleet.random.random() < _BURST_PROBABILITY:
            for _ in range(_BURST_REQUESTS):  # exceeds the promise between two heartbeats
                fleet.begin(process, TOKENS, 1.0, _BURST_REQUEST_DURATION_S)
            await asyncio.sleep(2 * _BURST_REQUEST_DURATION_S)
        await process.crash()
        await asyncio.sleep(0.3)
        fleet.start(name)
    elif kind == 1:
        fleet.partitioned_from_control.update(fleet.zones)
    elif kind in (2, 3):
        fleet.partitioned_from_control.clear()
        fleet.partitioned_pairs.clear()
    elif kind == 4:
        fleet.restart_control()
    elif kind == 5 and process is not None:
        fleet.partitioned_from_control.discard(name)
        fleet.declare_gone(process)  # as after a long pause of the process
    elif kind == 6:
        fleet.set_limit(fleet.random.choice(_LIMITS))
    elif kind == 7 and fleet.random.random() < _POWER_LOSS_PROBABILITY:
        for each in list(fleet.processes.values()):
            await each.crash()
        fleet.restart_control()
        await asyncio.sleep(fleet.random.choice(_DOWN_S))
        for each_name in fleet.zones:
            fleet.start(each_name)
    elif kind == 9:  # wall clocks of some hosts are set, or set back
        for each_name in fleet.random.sample(sorted(fleet.zones), _CHANGED_CLOCKS):
            fleet.wall_clock_offset_s[each_name] = fleet.random.choice(_WALL_CLOCK_OFFSETS_S)
    else:  # some gateways know only a part of the lenders
        visible = fleet.random.sample(fleet.lenders(), _VISIBLE_LENDERS)
        for each in list(fleet.processes.values())[:_GATEWAYS_WITH_OTHER_VIEW]:
            each.access.update_lenders(
                [control_pb2.Lender(name=removed) for removed in fleet.zones] + visible
            )


async def outage_run(seed: int) -> LendingFleet:
    """Run one seed of gateway losses during or right after outages; return the stopped fleet.

    An outage disconnects gateways from control. The limit is so high that tokens last: a lost
    gateway must be charged for all that it used in the outage.

    Raises:
        AssertionError: If tokens were handed out that are not charged.
    """
    return await _run_outages(LendingFleet(Random(seed), ZONES, _LARGE_LIMIT, _DELAYS))


async def returning_leaders_run(seed: int) -> LendingFleet:
    """Run one seed like ``outage_run``, in which a few members lead again and again.

    Raises:
        AssertionError: If tokens were handed out that are not charged.
    """
    fleet = LendingFleet(Random(seed), ZONES, _LARGE_LIMIT, _DELAYS)
    fleet.returning_leaders = Random(seed)
    return await _run_outages(fleet)


async def _run_outages(fleet: LendingFleet) -> LendingFleet:
    for name in ZONES:
        fleet.start(name)
    requests = asyncio.create_task(traffic(fleet, _OUTAGE_RUN_S, _BUSY_REQUESTS_PER_SECOND, (1.0,)))
    while not requests.done():
        await asyncio.sleep(1.0 + fleet.random.random())
        if _draws(fleet.returning_leaders, _OTHER_LEADER_PROBABILITY):
            fleet.restart_control()
            await asyncio.sleep(1.0)
        await _outage_and_loss(fleet)
    requests.result()
    await fleet.stop()
    return fleet


def _draws(source: Random | None, probability: float) -> bool:
    """Return whether a fault with this probability is drawn; never without a source."""
    return source is not None and source.random() < probability


async def send_bursts(fleet: LendingFleet, requests: int = _REQUESTS_PER_BURST) -> None:
    """Send bursts that exceed the spending promises of holders, until cancelled.

    Only holders get bursts: other gateways borrow, and stop asking for a while after a refusal.
    """
    while True:
        for process in list(fleet.processes.values()):
            if process.access.lenders.is_holder(TENANT):
                for _ in range(requests):
                    fleet.begin(process, _BURST_TOKENS, 1.0, _BURST_REQUEST_DURATION_S)
        await asyncio.sleep(_BURST_INTERVAL_S)


async def _outage_and_loss(fleet: LendingFleet) -> None:
    disconnected = fleet.random.sample(sorted(ZONES), fleet.random.choice((0, 3, len(ZONES))))
    fleet.partitioned_from_control.update(disconnected)
    leader_first = _draws(fleet.returning_leaders, _LEADER_FIRST_PROBABILITY)
    fleet.control.ended = fleet.control.ended or leader_first
    bursts = asyncio.create_task(send_bursts(fleet))
    await asyncio.sleep(fleet.random.choice(_DISCONNECTED_S))
    if fleet.random.random() < _RECONNECT_FIRST_PROBABILITY:
        fleet.partitioned_from_control.clear()
        await asyncio.sleep(fleet.random.choice(_AFTER_RECONNECT_S))
    bursts.cancel()
    lost = fleet.random.choice((list(ZONES), fleet.random.sample(sorted(ZONES), 4)))
    for name in lost:
        if name in fleet.processes:
            await fleet.processes[name].crash()
    if fleet.random.random() < _LEADER_LOST_PROBABILITY or leader_first:
        fleet.restart_control()
    fleet.partitioned_from_control.clear()
    fleet.wall_clock_offset_s.clear()
    for name in fleet.random.sample(sorted(ZONES), _CHANGED_CLOCKS):
        fleet.wall_clock_offset_s[name] = fleet.random.choice(_WALL_CLOCK_OFFSETS_S)
    await asyncio.sleep(fleet.random.choice(_DOWN_S))
    for name in lost:
        fleet.start(name)


async def exhaustion_run(seed: int) -> LendingFleet:
    """Run one seed in which all gateways compete for the last tokens; return the stopped fleet.

    Tokens are recalled from gateways again and again, and some gateways crash.

    Raises:
        AssertionError: If tokens were handed out beyond the limit or beyond what is charged.
    """
    fleet = LendingFleet(
        Random(seed),
        ZONES,
        _EXHAUSTION_LIMIT,
        MessageFaults(lost=0.05, duplicated=0.05, delay_s=0.05),
    )
    for name in ZONES:
        fleet.start(name)
    bursts = asyncio.create_task(send_bursts(fleet, _EXHAUSTION_REQUESTS_PER_BURST))
    requests = asyncio.create_task(
        traffic(fleet, _EXHAUSTION_RUN_S, _BUSY_REQUESTS_PER_SECOND, (0.5, 1.0))
    )
    while not requests.done():
        await asyncio.sleep(_BURST_INTERVAL_S * fleet.random.random())
        for process in list(fleet.processes.values()):
            if fleet.random.random() < _RECALL_PROBABILITY:
                process.access.held.recall(TENANT)
        if fleet.random.random() < _CRASH_PROBABILITY:
            name = fleet.random.choice(sorted(ZONES))
            await fleet.processes[name].crash()
            fleet.start(name)
    bursts.cancel()
    requests.result()
    handed_out, charged = fleet.handed_out, fleet.charged
    await fleet.stop()
    assert handed_out <= charged <= _EXHAUSTION_LIMIT, (handed_out, charged, _EXHAUSTION_LIMIT)
    return fleet


def main() -> int:
    """Run seeds; return the number of failed ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--losses", action="store_true", help="losses during outages only")
    parser.add_argument("--regions", action="store_true", help="two regions and partitions")
    parser.add_argument("--scarce", action="store_true", help="competition for the last tokens")
    parser.add_argument("--returning", action="store_true", help="members lead again and again")
    options = parser.parse_args()
    run = outage_run if options.losses else region_run if options.regions else random_run
    run = returning_leaders_run if options.returning else run
    run = exhaustion_run if options.scarce else run
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        try:
            fleet = run_virtual(run(seed))
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}")
            continue
        print(f"seed {seed}: {fleet.handed_out} handed out, {fleet.charged} charged")
    print(f"{options.seeds - failed} passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(main())
