"""What all gateways together send to replicas that say how much they take.

On a fleet of six gateways two replicas said that they take 1.4 and 1.5 requests a second from all
gateways together. They got 20 and 15 in four seconds, of which 13 and 14 are allowed: as many as
before they had said so, from every gateway. All of these were first sends (60 of 60 with `send=1`),
chosen for their short queue (`in_flight=0 reason=sound`), so no repeat went past a check; there was
none. No gateway read what the answers said, and none of them can know what the others send.
"""

import unittest

from limited_fleet import LimitedFleetCase


class SumOverGatewaysTest(LimitedFleetCase):
    async def test_one_replica_in_need_beside_others(self) -> None:
        """Three gateways, unevenly called; one of four replicas takes 1.7 a second."""
        limited = await self.start(3, 4)
        await limited.ask(30.0, 0.5)
        bounded = limited.replicas[0]
        bounded.limit = "1.7"
        result = await limited.ask(30.0, 9.0, weights=lambda number: min(number % 6, 2))
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers beside it are served")
        assert bounded.first_named_s is not None
        used = limited.sent_since(bounded, bounded.first_named_s + 3.0)
        self.assertGreaterEqual(used, 0.5 * 1.7 * 6.0, "what it takes is used")

    async def test_all_replicas_in_need(self) -> None:
        """Six gateways, both replicas take 1.7 a second; what is over is refused at once."""
        limited = await self.start(6, 2)
        await limited.ask(20.0, 0.5)
        for replica in limited.replicas:
            replica.limit = "1.7"
        result = await limited.ask(20.0, 9.0)
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200, 503})
        self.assertEqual(result.unserved_without_retry, 0)
        self.assertGreater(len(set(result.retry_after)), 5, "they come back one after another")
        slow = [took_s for status, took_s in result.took_s if status == 503 and took_s > 0.35]
        self.assertLess(len(slow), 5, "a refusal is not held back")
        ran = sum(len(replica.arrivals) for replica in limited.replicas)
        self.assertGreaterEqual(ran, result.statuses[200])
        for replica in limited.replicas:
            assert replica.first_named_s is not None
            used = limited.sent_since(replica, replica.first_named_s + 3.0)
            self.assertGreaterEqual(used, 0.5 * 1.7 * 6.0, "what it takes is used")

    async def test_words_on_heads_of_streams_and_on_refusals(self) -> None:
        """Four gateways; one replica names 0.5 a second on streams, another as it turns away."""
        limited = await self.start(4, 4)
        await limited.ask(20.0, 0.5, "/stream/")
        streams, rejecting = limited.replicas[:2]
        streams.limit = rejecting.limit = "0.5"
        rejecting.refuses = True
        result = await limited.ask(20.0, 8.0, "/stream/")
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers beside them are served")

    async def test_twelve_gateways_and_a_small_limit(self) -> None:
        """One of three replicas takes 0.5 a second; its reports come on heads of streams."""
        limited = await self.start(12, 3)
        await limited.ask(30.0, 0.5, "/stream/")
        limited.replicas[0].limit = "0.5"
        result = await limited.ask(30.0, 8.0, "/stream/")
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers beside it are served")


if __name__ == "__main__":
    unittest.main()
