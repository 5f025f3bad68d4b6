"""Invariants that are asserted and counted in the running program, also in production."""

import asyncio
from collections import Counter

from heronladder_runtime.errors import InvariantViolationError, RefusedByInvariantError


class InvariantCounters:
    """Counts the checks and violations of each invariant in a process.

    Attributes:
        checks: Number of checks, by name of the invariant.
        violations: Number of violations, by name of the invariant.
        messages: Texts of the first violations."""

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.messages: list[str] = []

    def clear(self) -> None:
        """Reset all counts and messages."""
        self.checks.clear()
        self.violations.clear()
        self.messages.clear()


INVARIANT_COUNTERS = InvariantCounters()
_MAX_MESSAGES = 100


def invariant(
    condition: bool,
    name: str,
    *,
    step: str,
    peer: str = "",
    detail: str = "",
    refuses: bool = False,
) -> None:
    """Assert a condition and count the check.

    Args:
        condition: Condition that must hold.
        name: Name of the invariant, in snake case.
        step: Step at which it is checked.
        peer: Daemon, budget or request concerned.
        detail: Facts that help to diagnose a violation.
        refuses: Whether nothing was changed yet, so that rejecting the step is sufficient.

    Raises:
        RefusedByInvariantError: If the condition does not hold and ``refuses`` is set.
        InvariantViolationError: If the condition does not hold otherwise.
    """
    INVARIANT_COUNTERS.checks[name] += 1
    if condition:
        return
    INVARIANT_COUNTERS.violations[name] += 1
    message = f"invariant {name} violated: {detail}"
    try:
        message += f" time={asyncio.get_running_loop().time():.3f}"
    except RuntimeError:
        pass  # no running event loop, as in replay
    if len(INVARIANT_COUNTERS.messages) < _MAX_MESSAGES:
        INVARIANT_COUNTERS.messages.append(f"{message} step={step} peer={peer}")
    kind = RefusedByInvariantError if refuses else InvariantViolationError
    raise kind(message, step=step, peer=peer)
