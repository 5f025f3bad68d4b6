"""One attempt that is being made: whether its replica is silent, and whether it may still respond.

Several attempts of a request may run at once: one whose replica is silent, and its retry. The first
of them to send the next part of the response goes on; the others are cancelled.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

from heronladder_runtime.errors import HeronladderError

from heronladder_router.replica_state import FleetReplica


class SupersededError(HeronladderError):
    """Another attempt of the same request has gone on with the response."""


class RunningAttempt:
    """State of one attempt.

    Args:
        replica: The replica that the request is sent to.
        events_before: Events of the response that were forwarded before this attempt.
        on_silent: Called when the replica has been silent for the limit, and each time that the
            limit passes again.
        on_claim: Called when a part of the response is about to be forwarded.

    Attributes:
        silent_since_s: Since when the replica is silent, on the event loop's clock; None if it is
            not.
        counted: Whether the attempt counts as a run although it has not ended.
        superseded: Whether another attempt has gone on with the response.
    """

    def __init__(
        self,
        replica: FleetReplica,
        events_before: int,
        on_silent: Callable[["RunningAttempt"], None],
        on_claim: Callable[["RunningAttempt"], None],
    ) -> None:
        self.replica = replica
        self.events_before = events_before
        self.silent_since_s: float | None = None
        self.counted = False
        self.superseded = False
        self._on_silent = on_silent
        self._on_claim = on_claim

    def claim(self) -> None:
        """Take the response over before a part of it is forwarded.

        Other attempts are superseded within this call, so that no two attempts forward parts.

        Raises:
            SupersededError: If another attempt has gone on with the response.
        """
        if self.superseded:
            raise SupersededError(
                "another attempt went on with the response", step="claim", peer=self.replica.name
            )
        self._on_claim(self)

    @contextmanager
    def silent_after(
        self, limit_s: float | None, on_first: Callable[[], None] = lambda: None
    ) -> Iterator[None]:
        """Report silence while the block waits for longer than a limit; the block goes on.

        Args:
            limit_s: The limit in seconds; None for none.
            on_first: Called when the limit passes for the first time in this block.
        """
        if limit_s is None:
            yield
            return
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        timer: asyncio.Handle

        def expire(*, first: bool) -> None:
            # What has arrived while this process was late is handled before the report.
            nonlocal timer
            timer = loop.call_soon(partial(report, first=first))

        def report(*, first: bool) -> None:
            nonlocal timer
            timer = loop.call_later(limit_s, partial(expire, first=False))
            if first:
                on_first()
            if self.silent_since_s is None:
                self.silent_since_s = began_s
            self._on_silent(self)

        timer = loop.call_later(limit_s, partial(expire, first=True))
        try:
            yield
        finally:
            timer.cancel()
