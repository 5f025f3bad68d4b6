"""A wake-up call for tasks that wait until some state has changed."""

import asyncio


class ChangeSignal:
    """Wakes all tasks that wait at the moment it is given.

    Tasks check their condition, wait for the next pulse, and check again. All
    run on one event loop, so no change can fall between check and wait. A task that
    waits for something else meanwhile compares ``given`` with what it was at its check.

    Attributes:
        given: How often it was given.
    """

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future[None]] = []
        self.notification_count = 0

    def notify_waiters(self) -> None:
        """Wake all waiting tasks."""
        self.notification_count += 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next pulse.

        Args:
            timeout_s: Seconds to wait at most; None waits for ever.

        Returns:
            False when the time ran out first.
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
