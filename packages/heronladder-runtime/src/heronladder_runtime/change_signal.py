"""Signal that wakes tasks which wait for a change of state."""

import asyncio


class ChangeSignal:
    """Wakes all waiting tasks when notified; it keeps no state for later waiters.

    Tasks check their condition, wait for the next notification, and check again. All run on one
    event loop, so no change can occur between check and wait. A task that awaits something else in
    between compares ``notification_count`` with its value at the check.

    Attributes:
        notification_count: Number of notifications so far.
    """

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future[None]] = []
        self.notification_count = 0

    def notify_waiters(self) -> None:
        """Wake all tasks that wait now."""
        self.notification_count += 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next notification.

        Args:
            timeout_s: Longest time to wait, in seconds; None waits indefinitely.

        Returns:
            Whether a notification came in time.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        if timeout_s is None:
            await waiter
            return True
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return False
        return True
