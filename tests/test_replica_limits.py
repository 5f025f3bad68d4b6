"""Limits that replicas state for all gateways together.

No gateway knows what the others send. If gateways ignored the stated limits, two replicas that
accept 1.4 and 1.5 requests per second from six gateways would receive 20 and 15 in four seconds,
where 13 and 14 are allowed. First attempts alone can exceed a limit, since gateways choose these
replicas for their short queues, so a check on retries is not sufficient.
"""

import unittest

from limited_fleet import LimitedFleetCase


class TotalOverGatewaysTest(LimitedFleetCase):
    async def test_one_limited_replica_among_others(self) -> None:
        """Three gateways with uneven load; one of four replicas accepts 1.7 requests per second."""
        limited = await self.start(3, 4)
        await limited.send_requests(30.0, 0.5)
        bounded = limited.replicas[0]
        bounded.limit = "1.7"
        result = await limited.send_requests(30.0, 9.0, weights=lambda number: min(number % 6, 2))
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers of the other replicas are served")
        assert bounded.first_named_s is not None
        used = limited.sent_since(bounded, bounded.first_named_s + 3.0)
        self.assertGreaterEqual(used, 0.5 * 1.7 * 6.0, "the accepted rate is used")

    async def test_all_replicas_limited(self) -> None:
        """Six gateways; both replicas accept 1.7 per second, and the rest is rejected at once."""
        limited = await self.start(6, 2)
        await limited.send_requests(20.0, 0.5)
        for replica in limited.replicas:
            replica.limit = "1.7"
        result = await limited.send_requests(20.0, 9.0)
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200, 503})
        self.assertEqual(result.missing_retry_after, 0)
        self.assertGreater(len(set(result.retry_after)), 5, "retry-after values are spread")
        slow = [took_s for status, took_s in result.took_s if status == 503 and took_s > 0.35]
        self.assertLess(len(slow), 5, "rejections are not delayed")
        ran = sum(len(replica.arrivals) for replica in limited.replicas)
        self.assertGreaterEqual(ran, result.statuses[200])
        for replica in limited.replicas:
            assert replica.first_named_s is not None
            used = limited.sent_since(replica, replica.first_named_s + 3.0)
            self.assertGreaterEqual(used, 0.5 * 1.7 * 6.0, "the accepted rate is used")

    async def test_limits_in_stream_headers_and_in_rejections(self) -> None:
        """Four gateways; one replica states 0.5 per second in streams, another in rejections."""
        limited = await self.start(4, 4)
        await limited.send_requests(20.0, 0.5, "/stream/")
        streams, rejecting = limited.replicas[:2]
        streams.limit = rejecting.limit = "0.5"
        rejecting.refuses = True
        result = await limited.send_requests(20.0, 8.0, "/stream/")
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers of the other replicas are served")

    async def test_twelve_gateways_and_a_small_limit(self) -> None:
        """One of three replicas accepts 0.5 requests per second, stated in stream headers."""
        limited = await self.start(12, 3)
        await limited.send_requests(30.0, 0.5, "/stream/")
        limited.replicas[0].limit = "0.5"
        result = await limited.send_requests(30.0, 8.0, "/stream/")
        self.assert_within(limited)
        self.assertEqual(set(result.statuses), {200}, "callers of the other replicas are served")


if __name__ == "__main__":
    unittest.main()
