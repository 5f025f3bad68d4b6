"""What was sent and acknowledged, and what a gateway may answer by it."""

from collections import Counter
from dataclasses import dataclass, field

BOUND_S = 2.5  # after an acknowledgement, until which a gateway may act by older state
WHOLE_S = 4.0  # for which a link must have been whole before its gateway is bound
UNKNOWN_ROUTE, UNKNOWN_KEY = "404", "401"
_MOST_TOLD = 20  # violations that are told in full


@dataclass(frozen=True)
class FleetState:
    """What one version of the configuration says.

    Attributes:
        version: Its number.
        routes: The service of each path.
        keys: What callers may use.
    """

    version: int
    routes: dict[str, str]
    keys: tuple[str, ...]

    def outcome(self, path: str, key: str) -> str:
        """Return the service that serves a request, or the status that refuses it."""
        if path not in self.routes:
            return UNKNOWN_ROUTE
        return self.routes[path] if key in self.keys else UNKNOWN_KEY


@dataclass(frozen=True)
class Asked:
    """One request of a caller, and how it fared.

    Attributes:
        gateway: Whom it was sent to.
        path: What it asked for.
        key: The key it gave.
        sent_s: When it was sent.
        answered_s: When it was answered.
        outcome: The service that served it, or the status.
    """

    gateway: str
    path: str
    key: str
    sent_s: float
    answered_s: float
    outcome: str


@dataclass
class Leave:
    """A drain or a deregistration of a replica.

    Attributes:
        kind: Which of both.
        acknowledged_s: When it was acknowledged; None until then.
    """

    kind: str
    acknowledged_s: float | None = None

    def binds(self, at_s: float) -> bool:
        """Whether no gateway in touch may send there any more."""
        return self.acknowledged_s is not None and at_s >= self.acknowledged_s + BOUND_S


@dataclass
class Figures:
    """What one run did and checked.

    Attributes:
        counted: How often each thing happened.
        longest_wait_s: From the first sending to the acknowledgement.
        violations: What broke a promise, told.
    """

    counted: Counter[str] = field(default_factory=Counter)
    longest_wait_s: float = 0.0
    violations: list[str] = field(default_factory=list)

    def violated(self, what: str) -> None:
        """Note a broken promise."""
        self.counted["violations"] += 1
        if len(self.violations) < _MOST_TOLD:
            self.violations.append(what)


class AcknowledgementBook:
    """Follows versions and leaves as operators and replicas see them, and judges answers.

    Args:
        figures: Where it counts.
    """

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self._sent: list[tuple[float, FleetState]] = []
        self._acknowledged: list[tuple[float, int]] = []
        self.leaves: dict[str, Leave] = {}  # by replica

    # ---- versions ---------------------------------------------------------

    @property
    def newest(self) -> FleetState:
        """The newest version that was sent."""
        return self._sent[-1][1]

    @property
    def states(self) -> list[FleetState]:
        """All versions that were sent, the oldest first."""
        return [state for _, state in self._sent]

    def sending(self, state: FleetState, now_s: float) -> None:
        """Note that a version is about to be sent for the first time."""
        self._sent.append((now_s, state))

    def acknowledged(self, version: int, now_s: float) -> None:
        """Note that a version, or one above it, was said to be in force."""
        self._acknowledged.append((now_s, version))

    def floor(self, at_s: float) -> int:
        """Return the newest version that was acknowledged by then."""
        return max((version for done_s, version in self._acknowledged if done_s <= at_s), default=0)

    def newest_sent(self, at_s: float) -> int:
        """Return the newest version that may be in force by then."""
        return max(state.version for sent_s, state in self._sent if sent_s <= at_s)

    # ---- judgements -------------------------------------------------------

    def judge(self, asked: Asked) -> None:
        """Check the answer of a gateway that is bound by what was acknowledged."""
        floor = self.floor(asked.sent_s - BOUND_S)
        newest = self.newest_sent(asked.answered_s)
        allowed, superseded = set(), set()
        for state in self.states:
            outcome = state.outcome(asked.path, asked.key)
            if state.version < floor:
                superseded.add(outcome)
            elif state.version <= newest:
                allowed.add(outcome)
        self._figures.counted["bound"] += 1
        if superseded - allowed:
            self._figures.counted["telling"] += 1
            self._figures.counted[f"telling {_kind(superseded - allowed, allowed)}"] += 1
        if _is_claim(asked.outcome) and asked.outcome not in allowed:
            self._figures.violated(
                f"{asked}: not by any version from {floor} to {newest}, which say {allowed}"
            )

    def judge_unbound(self, asked: Asked) -> None:
        """Check that no gateway denies what all versions have."""
        outcomes = {state.outcome(asked.path, asked.key) for state in self.states}
        if any(outcome.isdigit() for outcome in outcomes):
            return
        self._figures.counted["always there"] += 1
        if _is_claim(asked.outcome) and asked.outcome.isdigit():
            self._figures.violated(f"{asked}: denied what all versions have")

    def judge_arrival(self, replica: str, gateway: str, arrived_s: float) -> None:
        """Check a request that a bound gateway sent to a replica."""
        self._figures.counted["arrivals"] += any(
            leave.binds(arrived_s) for leave in self.leaves.values()
        )
        leave = self.leaves.get(replica)
        if leave is not None and leave.acknowledged_s is not None and leave.binds(arrived_s):
            late_s = arrived_s - leave.acknowledged_s
            self._figures.violated(
                f"{gateway} sent to {replica} {late_s:.2f} s after its {leave.kind}, "
                f"acknowledged at {leave.acknowledged_s:.2f}"
            )

    def judge_read(self, version: int, asked_s: float, answered_s: float) -> None:
        """Check a version that an operator read."""
        self._figures.counted["reads"] += 1
        floor, newest = self.floor(asked_s - BOUND_S), self.newest_sent(answered_s)
        if not floor <= version <= newest:
            self._figures.violated(f"read version {version}, not of {floor} to {newest}")


def _kind(superseded: set[str], allowed: set[str]) -> str:
    """Return which change a check would have noticed the want of."""
    if UNKNOWN_KEY in allowed | superseded:
        return "keys"
    if UNKNOWN_ROUTE in allowed:
        return "removed"
    return "added" if UNKNOWN_ROUTE in superseded else "moved"


def _is_claim(outcome: str) -> bool:
    """Whether an answer says what the configuration is: served, or refused by it."""
    return not outcome.isdigit() or outcome in (UNKNOWN_ROUTE, UNKNOWN_KEY)
