"""Ownership of background tasks, which are started by name and stopped together."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from heronladder_runtime.logs import EventLog

_CANCEL_RETRY_INTERVAL_S = 0.5
_RESTART_PAUSE_S = 0.2
#: Ends of tasks of this process that must run until they are stopped, by name.
REQUIRED_TASK_ENDS: Counter[str] = Counter()


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

    def keep_running(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, None]],
        *,
        may_end: Callable[[], bool] = lambda: False,
    ) -> asyncio.Task[None]:
        """Run a task that others rely on; if it ends, log the cause and start it again.

        Args:
            name: Name of the task.
            work: Starts the work.
            may_end: Whether the work has ended for good when it returns.
        """
        return self.start(name, self._run_again(name, work, may_end))

    async def _run_again(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, None]],
        may_end: Callable[[], bool],
    ) -> None:
        while True:
            cause = "returned"
            try:
                await work()
            except asyncio.CancelledError:
                if is_cancelled(asyncio.current_task()):
                    raise
                cause = "cancelled by something that it waited for"
            except Exception as error:
                cause = repr(error)
            if may_end():
                return
            REQUIRED_TASK_ENDS[name] += 1
            self._log.error("required_task_ended", step=name, error=cause)
            await asyncio.sleep(_RESTART_PAUSE_S)

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
