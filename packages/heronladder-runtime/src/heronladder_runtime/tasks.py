"""Ownership of background tasks, which are started by name and stopped together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from heronladder_runtime.logs import EventLog

_CANCEL_RETRY_INTERVAL_S = 0.5


def is_cancelled(task: asyncio.Task[Any] | None) -> bool:
    """Return whether a task was asked to end.

    ``CancelledError`` alone does not show it: a call that the task awaits may have been cancelled.
    """
    return task is not None and task.cancelling() > 0


class TaskGroupOwner:
    """Owns the background tasks of one component and logs those that fail.

    Args:
        log: Log for failures of tasks.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[Any]] = set()
        self._stopped = False

    def start(self, name: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` in the background until it ends or ``stop`` is called.

        After ``stop`` the task is cancelled at once, so that no new work starts.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        if self._stopped:
            task.cancel()
        return task

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", step=task.get_name(), error=repr(task.exception()))

    async def stop(self) -> None:
        """Cancel all tasks and wait for them to end."""
        self._stopped = True
        current = asyncio.current_task()
        tasks = sorted((task for task in self._tasks if task is not current), key=_task_name)
        for task in tasks:
            task.cancel()
        for task in tasks:
            # asyncio.wait_for may lose a cancellation that arrives just as its awaitable
            # completes; such a task is cancelled again.
            while not task.done():
                await asyncio.wait([task], timeout=_CANCEL_RETRY_INTERVAL_S)
                task.cancel()


def _task_name(task: asyncio.Task[Any]) -> str:
    return task.get_name()
