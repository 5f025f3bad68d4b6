"""Tests of the admission of requests to a plain service, and of retry times after rejections."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import cast

from fleet_case import FleetCase
from heronladder_router.decisions.retry_after import RetryAfter, RetryAfterView, choose_retry_after
from heronladder_router.decisions.slot_admission import (
    AdmissionReason,
    AdmissionVerdict,
    AdmissionView,
    ReplicaSlots,
    ResponseTimes,
    Waiter,
    decide_admission,
    next_waiter,
)
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_slot_queue import ReplicaSlotQueue
from heronladder_router.replica_state import RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from plain_service_model import Load, Outcome, PlainService
from platform_stand_ins import Received, StandInReplica, answer, configuration, route, start_fleet

_SEEDS = (1, 2, 3)
_ANSWER = ResponseTimes(90.0, 90.0)
_SLOW = ResponseTimes(90.0, 400.0)


def _burst(factor: float, usual: float = 60.0) -> "Load":
    """Return a load with a burst of 5 s at a service with two of three replicas left.

    The replicas queue more requests than they can answer in time.
    """
    return Load(lambda now_s: factor * usual if 3.0 <= now_s < 8.0 else usual, [6, 6], queue=60)


def _run_seeds(load: Load, *, waits: bool) -> Outcome:
    total = Outcome()
    for seed in _SEEDS:
        outcome = PlainService(load, seed, waits=waits).run()
        total.in_time += outcome.in_time
        total.late += outcome.late
        total.failed += outcome.failed
        total.rejected_by_replica += outcome.rejected_by_replica
        total.sends += outcome.sends
        total.longest_wait_s = max(total.longest_wait_s, outcome.longest_wait_s)
        for priority, (in_time, count) in outcome.by_priority.items():
            counts = total.by_priority.setdefault(priority, [0, 0])
            counts[0] += in_time
            counts[1] += count
    return total


class BurstTest(unittest.TestCase):
    """A burst of 5 s with 2.5 times the usual load, at a service that lost a replica."""

    def test_more_responses_are_in_time_than_without_admission(self) -> None:
        """Without admission half of the responses are late: 0.51 are in time, with it 0.82."""
        at_once = _run_seeds(_burst(2.5), waits=False)
        decided = _run_seeds(_burst(2.5), waits=True)
        self.assertLess(at_once.in_time_share, 0.60)
        self.assertGreater(decided.in_time_share, 0.75)

    def test_more_responses_are_in_time_when_no_replica_is_lost(self) -> None:
        """With admission by the time budget, 0.78 and 0.73 of the responses are in time.

        By the remaining time it would be 0.73 and 0.69, and without admission 0.51 and 0.45.
        """
        for usual, factor, least in ((60.0, 4.0, 0.75), (100.0, 2.5, 0.70)):
            load = _burst(factor, usual)
            load.slots, load.queue = [6, 6, 6], 24
            self.assertGreater(_run_seeds(load, waits=True).in_time_share, least)

    def test_fewer_sends_are_rejected_by_replicas_with_short_queues(self) -> None:
        """With queues of two and no admission, replicas reject 0.60 sends per request."""
        load = _burst(2.5)
        load.queue = 2
        at_once = _run_seeds(load, waits=False)
        decided = _run_seeds(load, waits=True)
        self.assertLess(decided.rejected_by_replica, at_once.rejected_by_replica)
        self.assertGreater(decided.in_time_share, at_once.in_time_share)

    def test_nothing_waits_and_nothing_is_rejected_without_overload(self) -> None:
        load = Load(lambda now_s: 60.0, [6, 6, 6], queue=60)
        decided = _run_seeds(load, waits=True)
        self.assertEqual(decided.longest_wait_s, 0.0)
        self.assertEqual(decided.failed, 0)
        self.assertEqual(decided.sends, decided.in_time + decided.late)

    def test_no_priority_starves(self) -> None:
        load = _burst(2.5)
        load.priorities = (0, 1, 2)
        decided = _run_seeds(load, waits=True)
        shares = [in_time / count for in_time, count in decided.by_priority.values()]
        self.assertGreater(min(shares), 0.5)

    def test_no_wait_lasts_three_quarters_of_the_objective(self) -> None:
        """A request that is held longer and not sent loses all its value."""
        for factor in (2.5, 4.0):
            self.assertLess(_run_seeds(_burst(factor), waits=True).longest_wait_s, 0.75 * 0.415)


def _view(
    *places: ReplicaSlots,
    heard: bool = True,
    measured: ResponseTimes = _SLOW,
    ahead: int = 0,
    remaining_ms: float = 415.0,
    budget_ms: float | None = None,
    gateways: int = 30,
) -> AdmissionView:
    whole = remaining_ms if budget_ms is None else budget_ms
    return AdmissionView(places, heard, gateways, measured, ahead, remaining_ms, whole)


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class QueueTest(unittest.IsolatedAsyncioTestCase):
    """The queue of a gateway, with the admission decision that the model uses."""

    async def test_a_freed_slot_goes_to_the_waiting_request(self) -> None:
        """Guards against keeping a request queued while a later one is sent.

        That happened to a request with 250 of 415 ms remaining.
        """
        clock, taken = _Clock(), [18]
        queue = ReplicaSlotQueue(
            lambda profile: ([ReplicaSlots(6, taken[0])], True),
            lambda: 1,
            lambda: 0.0,
            clock,
            Metrics(),
            EventLog("test", "g"),
            waits=True,
        )
        queue.record_response_time("s", 0.09)
        for _ in range(2):
            queue.record_response_time("s", 0.4)

        def request(number: int) -> GatewayRequest:
            route = SimpleNamespace(objective_ms=415, name="r")
            matched = SimpleNamespace(route=route, priority=0)
            return cast(
                GatewayRequest,
                SimpleNamespace(
                    request_id=f"q{number}",
                    matched=matched,
                    profile=RequestProfile("s"),
                    bounds=None,
                    arrived_s=clock.now_s,
                    deadline_s=clock.now_s + 3.0,
                ),
            )

        waits = asyncio.ensure_future(queue.admit(request(1)))
        await asyncio.sleep(0)
        self.assertEqual(queue.waiting_count, 1)
        clock.now_s += 0.165
        taken[0] = 10
        queue.grant_free_slots("s")
        self.assertEqual(queue.waiting_count, 0)
        await waits


class WaitingTest(unittest.TestCase):
    def test_nothing_waits_while_slots_are_unknown(self) -> None:
        full = ReplicaSlots(6, 30)
        for view in (
            _view(full, heard=False),
            _view(full, measured=ResponseTimes()),
            _view(full, ReplicaSlots(0, 30)),
            _view(),
        ):
            self.assertEqual(decide_admission(view).reason, AdmissionReason.SLOTS_UNKNOWN)
            self.assertEqual(decide_admission(view).verdict, AdmissionVerdict.SEND)

    def test_nothing_is_rejected_while_slots_are_free(self) -> None:
        """Such a rejection loses half of the value of the request."""
        for taken in range(6):
            for remaining_ms in (0.0, 50.0, 415.0):
                view = _view(ReplicaSlots(6, taken), ReplicaSlots(6, 40), remaining_ms=remaining_ms)
                self.assertEqual(decide_admission(view).verdict, AdmissionVerdict.SEND)

    def test_a_request_waits_for_a_full_service_if_it_can_be_in_time(self) -> None:
        full = ReplicaSlots(6, 18)
        decided = decide_admission(_view(full, full, full))
        self.assertEqual(
            (decided.verdict, decided.reason), (AdmissionVerdict.WAIT, AdmissionReason.SLOTS_FULL)
        )
        self.assertLess(decided.expected_ms, decided.last_start_ms)
        behind = decide_admission(_view(full, full, full, ahead=9))
        self.assertEqual(
            (behind.verdict, behind.reason), (AdmissionVerdict.REJECT, AdmissionReason.TOO_LATE)
        )
        self.assertGreater(behind.expected_ms, decided.expected_ms)

    def test_requests_with_lost_responses_do_not_count_as_load(self) -> None:
        """Guards against mistaking requests with lost responses for load.

        The load totals showed 12 to 29 requests in flight at replicas that answered within 0.13 s.
        """
        decided = decide_admission(
            _view(ReplicaSlots(6, 29), ReplicaSlots(6, 29), measured=_ANSWER)
        )
        self.assertEqual(
            (decided.verdict, decided.reason),
            (AdmissionVerdict.SEND, AdmissionReason.RESPONSES_FAST),
        )

    def test_a_slow_link_of_the_gateway_does_not_count_as_a_full_service(self) -> None:
        """Guards against rejecting requests at a gateway whose own link is saturated.

        That happened at the only such gateway of a fleet under test (seed 906234049784).
        """
        full = ReplicaSlots(6, 12)
        view = AdmissionView(
            [full] * 5, True, 26, ResponseTimes(195.0, 698.0), 0, 415.0, 415.0, 336.0
        )
        self.assertEqual(decide_admission(view).reason, AdmissionReason.LINK_SLOW)
        self.assertEqual(decide_admission(view).verdict, AdmissionVerdict.SEND)

    def test_a_waiting_request_is_not_overtaken_by_a_new_one(self) -> None:
        """Guards against finding no room for a waiting request where a new one finds some.

        That happened to a request with 200 of 415 ms remaining.
        """
        for taken in range(6, 20):
            places = (ReplicaSlots(6, taken), ReplicaSlots(6, taken))
            waits = decide_admission(_view(*places, remaining_ms=200.0, budget_ms=415.0))
            arrives = decide_admission(_view(*places, ahead=1))
            self.assertEqual(waits.free, arrives.free)
            if arrives.verdict is AdmissionVerdict.SEND:
                self.assertEqual(waits.verdict, AdmissionVerdict.SEND)

    def test_a_returning_request_is_served_before_a_new_one(self) -> None:
        new, back = Waiter(1, 1, 10.4, 0.4), Waiter(2, 1, 10.1, 0.4)
        self.assertEqual(next_waiter([new, back], 0), back)

    def test_every_fourth_slot_goes_to_the_oldest_request(self) -> None:
        first = Waiter(1, 9, 99.0, 0.4)
        more = [Waiter(number, 0, 10.0, 0.4) for number in range(2, 9)]
        chosen = [next_waiter([first, *more], given) for given in range(4)]
        self.assertEqual(chosen.count(first), 1)


class RetryAfterTest(unittest.TestCase):
    """Clients that are rejected simultaneously."""

    def test_simultaneous_rejections_get_different_retry_times(self) -> None:
        """Guards against simultaneous retries, which a constant delay of 0.3 s causes."""
        assigned: list[RetryAfter] = []
        last_assigned_s = 0.0
        for _ in range(40):
            assigned.append(choose_retry_after(RetryAfterView(100.0, 0.2, 0.03, last_assigned_s)))
            last_assigned_s = assigned[-1].last_assigned_s
        delays_s = [round(one.after_s, 6) for one in assigned]
        self.assertEqual(len(set(delays_s)), len(delays_s))
        self.assertGreaterEqual(min(delays_s), 0.2)
        self.assertLessEqual(max(delays_s), 1.5)

    def test_a_later_burst_is_not_delayed_by_an_earlier_one(self) -> None:
        assigned = choose_retry_after(RetryAfterView(200.0, 0.2, 0.03, 101.0))
        self.assertAlmostEqual(assigned.after_s, 0.2)


class SocketsTest(FleetCase):
    """A gateway with real sockets and one slow replica of one slot."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = await start_fleet(configuration(1, route("/once/", kind="unsafe")))

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def test_what_cannot_be_in_time_is_turned_away_at_once_and_never_runs(self) -> None:
        """Guards against sending all 40 requests at once to a replica of one slot."""

        async def slow(replica: StandInReplica, received: Received) -> bytes:
            await asyncio.sleep(0.15)
            return answer(received)

        replica = await self.fleet.add_replica("i-1", slow, slots=1)
        for number in range(3):
            await self.fleet.request("/once/", Request_Id=f"w{number}")
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        gateway.slot_queue._waits = True  # as the setting wait_for_places does
        # The recent responses were slow, as after the beginning of a burst.
        for _ in range(20):
            gateway.slot_queue.record_response_time(replica.heartbeat()["service"], 0.6)
        loop = asyncio.get_running_loop()

        async def one(number: int) -> tuple[int, float, float, str]:
            began_s = loop.time()
            got = await self.fleet.request("/once/", Request_Id=f"b{number}")
            after_s = float(got.headers.get("Retry-After", 0))
            outcome = got.headers.get("Heronladder-Outcome", "")
            return got.status, loop.time() - began_s, after_s, outcome

        got = await asyncio.gather(*(one(number) for number in range(40)))
        refused = [entry for entry in got if entry[0] == 503]
        ran = {received.headers["request-id"] for received in replica.received}
        load_age_s, link_s = gateway.replicas.loads.age_s, gateway.link.round_trip_s
        self.assertGreater(len(refused), 10, f"loads {load_age_s:.2f} s old, link {link_s:.3f} s")
        self.assertEqual(len(refused) + sum(entry[0] == 200 for entry in got), 40)
        for number, (status, _, after_s, outcome) in enumerate(got):
            if status == 503:
                self.assertNotIn(f"b{number}", ran)
                self.assertGreater(after_s, 0)
                self.assertEqual(outcome, "not-run")
        self.assertGreater(len({entry[2] for entry in refused}), len(refused) // 2)


if __name__ == "__main__":
    unittest.main()
