"""Invariants asserted inside the running program, always on and counted."""

import asyncio
from collections import Counter

from heronladder_runtime.errors import InvariantViolationError, RefusedByInvariantError


class InvariantCounters:
    """Counts checks and violations of each invariant of a process."""

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.messages: list[str] = []

    def clear(self) -> None:
        """Forget all counts, as at the start of a run."""
        self.checks.clear()
        self.violations.clear()
        self.messages.clear()


INVARIANT_COUNTERS = InvariantCounters()
_KEPT_MESSAGES = 100


def invariant(
    condition: bool,
    name: str,
    *,
    step: str,
    peer: str = "",
    detail: str = "",
    refuses: bool = False,
) -> None:
    """Assert ``condition``.

    Args:
        condition: What must hold.
        name: Name of the invariant, in words with underscores.
        step: The step at which it is checked.
        peer: The daemon, budget or request it concerns.
        detail: Facts that help to find the cause.
        refuses: Whether nothing was changed yet, so that refusing the step mends it.

    Raises:
        RefusedByInvariantError: If the condition does not hold, and ``refuses``.
        InvariantViolationError: If it does not hold otherwise.
    """
    INVARIANT_COUNTERS.checks[name] += 1
    if condition:
        return
    INVARIANT_COUNTERS.violations[name] += 1
    message = f"invariant {name} violated: {detail}"
    try:
        message += f" time={asyncio.get_running_loop().time():.3f}"
    except RuntimeError:
        pass  # outside of any loop, as in replay
    if len(INVARIANT_COUNTERS.messages) < _KEPT_MESSAGES:
        INVARIANT_COUNTERS.messages.append(f"{message} step={step} peer={peer}")
    kind = RefusedByInvariantError if refuses else InvariantViolationError
    raise kind(message, step=step, peer=peer)
