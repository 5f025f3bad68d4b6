"""What replicas in need take from all gateways together, and this gateway's part of it."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.pulse import Pulse
from heronladder_runtime.replica_limit import (
    ENDED_TOLD_S,
    GRANT_HOLDS_S,
    MOST_WORDS,
    Incarnation,
    LimitWord,
    from_message,
    newest,
    read_limit,
    to_message,
)
from heronladder_schema.v1 import control_pb2

from heronladder_router.decisions.come_back import ComeBackView, come_back
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.replica_limit import (
    DEMAND_S,
    SPAN_S,
    LimitVerdict,
    LimitView,
    judge,
    sends_wanted,
)
from heronladder_router.replica_state import FleetReplica

_SOON_PAUSE_S = 0.1  # between two heartbeats that ask for sends out of turn (chosen)
_MOST_COUNTED = 1024  # requests of a service within DEMAND_S (chosen)
_UNKNOWN_S = 10.0  # a word on a replica that is not registered is kept for so long (chosen)


@dataclass
class _Limited:
    """One replica that named a limit lately.

    Attributes:
        word: The newest word on it.
        named_s: When this gateway last learned that it names a limit.
        grants_s: Until when each send may be made that the leader granted, the earliest first.
        sends_s: When this gateway sent to it, over the newest ``SPAN_S``.
    """

    word: LimitWord
    named_s: float = float("-inf")
    grants_s: deque[float] = field(default_factory=deque)
    sends_s: deque[float] = field(default_factory=deque)

    def drop_old(self, now_s: float) -> None:
        """Let go of grants that ran out, and of sends that count no more."""
        while self.grants_s and self.grants_s[0] <= now_s:
            self.grants_s.popleft()
        while self.sends_s and self.sends_s[0] <= now_s - SPAN_S:
            self.sends_s.popleft()


class ReplicaLimits:
    """The replicas in need, as this gateway knows them.

    Args:
        replicas: Gives all replicas that are registered, by name.
        changed: Given when more may be sent.
        environment: Time.
        metrics: Where it counts.
        log: Where changes are reported.

    Attributes:
        gateway: Name of this gateway.
        gateways: Tells what is known of all gateways.
        heard_s: Tells when a leader was heard last.
        beat_now: Sends a heartbeat out of turn.
    """

    def __init__(
        self,
        replicas: Callable[[], Mapping[str, FleetReplica]],
        changed: Pulse,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._replicas = replicas
        self._changed = changed
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._limited: dict[Incarnation, _Limited] = {}
        self._asked_s: dict[str, deque[float]] = {}  # by service: its newest requests
        self._told_until_s: dict[str, float] = {}  # by service: the latest Retry-After told
        self._ask_told_s: dict[str, float] = {}  # by service: when the leader was asked last
        self._beaten_s = float("-inf")
        self._asked_soon_s = float("inf")  # since when a request waits for the leader's answer
        self.gateway = ""
        self.gateways: Callable[[], GatewaysKnown] = lambda: GatewaysKnown((), 1)
        self.heard_s: Callable[[], float] = lambda: float("-inf")
        self.beat_now: Callable[[], None] = lambda: None

    @property
    def count(self) -> int:
        """How many replicas name a limit."""
        return sum(1 for limited in self._limited.values() if not limited.word.ended)

    # ---- words ------------------------------------------------------------

    def heard(self, replica: FleetReplica, text: str | None, sent_s: float) -> None:
        """Take in what an answer of a replica says.

        Args:
            replica: The replica.
            text: The limit that the answer names; None if it names none.
            sent_s: When the request was sent that it answers.
        """
        per_s = None if text is None else read_limit(text)
        if text is not None and per_s is None:
            self._metrics.add("replica_limits_malformed")
        incarnation = _incarnation(replica)
        limited = self._limited.get(incarnation)
        now_s = self._environment.monotonic()
        if per_s is not None:
            self._take(incarnation, LimitWord(per_s, now_s), "answer")
            self._limited[incarnation].named_s = now_s
            return
        if text is not None or limited is None or limited.word.ended:
            return
        # An answer begun before the newest word that named a limit came late: it ends nothing.
        if sent_s > limited.named_s:
            self._set(incarnation, limited, LimitWord(None, now_s), "answer")

    def take(self, frame: control_pb2.ControlFrame, sent_s: float) -> None:
        """Take in what the leader says with the answer to a heartbeat.

        Args:
            frame: What it says.
            sent_s: When the heartbeat was sent: all in the frame was said later, so a word is no
                younger than it seems, and a grant runs out before the leader counts on it.
        """
        for message in frame.replica_limits:
            word = from_message(message, sent_s)
            if word is not None:
                self._take((message.replica, message.start_ms), word, "control")
        until_s = sent_s + GRANT_HOLDS_S
        for grant in frame.replica_grants:
            limited = self._limited.get((grant.replica, grant.start_ms))
            if limited is not None and until_s > self._environment.monotonic():
                limited.grants_s.extend([until_s] * grant.sends)
                self._metrics.add("replica_sends_granted", amount=grant.sends)
        is_answer = sent_s >= self._asked_soon_s
        if is_answer:
            self._asked_soon_s = float("inf")
        if frame.replica_grants or is_answer:
            self._changed.give()

    def _take(self, incarnation: Incarnation, word: LimitWord, how: str) -> None:
        limited = self._limited.get(incarnation)
        if limited is not None:
            self._set(incarnation, limited, newest(limited.word, word), how)
        elif not word.ended:
            limited = self._limited[incarnation] = _Limited(LimitWord(None, float("-inf")))
            self._set(incarnation, limited, word, how)

    def _set(self, incarnation: Incarnation, limited: _Limited, word: LimitWord, how: str) -> None:
        earlier, limited.word = limited.word, word
        if word.per_s == earlier.per_s:
            return
        if word.ended:
            limited.grants_s.clear()
        else:
            limited.named_s = self._environment.monotonic()
        self._metrics.add("replica_limits_changed", how)
        self._log.info(
            "replica_limit",
            step="replicas",
            peer=incarnation[0],
            start_ms=incarnation[1],
            limit_per_s=word.per_s,
            how=how,
            age_s=self._environment.monotonic() - word.heard_s,
            granted=len(limited.grants_s),
            sent=len(limited.sends_s),
            gateways=self.gateways().count,
            leader_silent_s=self._silent_s(),
        )
        if not earlier.ended and not word.ended:
            return
        self._changed.give()
        if how == "answer":
            self._beat_soon()  # the others know nothing of it yet

    # ---- choice -----------------------------------------------------------

    def verdict(self, replica: FleetReplica) -> LimitVerdict | None:
        """Return whether a replica may be sent to, and why; None if it names no limit."""
        limited = self._limited.get(_incarnation(replica)) if self._limited else None
        if limited is None or limited.word.per_s is None:
            return None
        limited.drop_old(self._environment.monotonic())
        return judge(
            LimitView(
                replica.name,
                limited.word.per_s,
                self._environment.monotonic(),
                limited.grants_s,
                limited.sends_s,
                self._silent_s(),
                self.gateway,
                self.gateways(),
            )
        )

    def limit_of(self, replica: FleetReplica) -> float | None:
        """Return the requests a second that a replica takes; None: any number."""
        limited = self._limited.get(_incarnation(replica)) if self._limited else None
        return limited.word.per_s if limited is not None else None

    def requested(self, service: str) -> None:
        """Count a request for a service: what is asked of the leader goes by them."""
        if self._limited:
            asked_s = self._asked_s.setdefault(service, deque(maxlen=_MOST_COUNTED))
            asked_s.append(self._environment.monotonic())

    def sent(self, replica: FleetReplica) -> None:
        """Count a send: it uses up a grant, if there is one."""
        limited = self._limited.get(_incarnation(replica)) if self._limited else None
        if limited is None:
            return
        now_s = self._environment.monotonic()
        limited.drop_old(now_s)
        if limited.grants_s:
            limited.grants_s.popleft()
        limited.sends_s.append(now_s)

    def _silent_s(self) -> float:
        return self._environment.monotonic() - self.heard_s()

    # ---- what waits, and who is refused -----------------------------------

    def ask_soon(self, service: str) -> bool:
        """Ask the leader for sends now; return whether that may bring some.

        It may not if it was asked a moment ago: it gave what there was.
        """
        now_s = self._environment.monotonic()
        if now_s - self._ask_told_s.get(service, float("-inf")) < DEMAND_S:
            return False
        if self._silent_s() >= SPAN_S:
            return False
        self._asked_soon_s = min(self._asked_soon_s, now_s)
        self._beat_soon()
        return True

    def _beat_soon(self) -> None:
        now_s = self._environment.monotonic()
        if now_s - self._beaten_s >= _SOON_PAUSE_S:
            self._beaten_s = now_s
            self.beat_now()

    def come_back_s(self, service: str) -> float:
        """Return when a caller may come back for whom no replica in need had room."""
        per_s = sum(limited.word.per_s or 0.0 for _, limited in self._of_service(service))
        now_s = self._environment.monotonic()
        turn_s = 1.0 / per_s if per_s > 0 else SPAN_S
        told = come_back(
            ComeBackView(
                now_s,
                turn_s,
                turn_s * max(1, self.gateways().count),
                self._told_until_s.get(service, float("-inf")),
            )
        )
        self._told_until_s[service] = told.told_until_s
        return told.after_s

    # ---- words to the leader ----------------------------------------------

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Tell what is known of replicas in need, and ask for sends."""
        if not self._limited:
            return
        now_s = self._environment.monotonic()
        self._forget_old(now_s)
        wanted = self._wanted(now_s)
        for incarnation, limited in sorted(
            self._limited.items(), key=lambda item: -wanted.get(item[0], 0)
        )[:MOST_WORDS]:
            message = to_message(incarnation, limited.word, now_s)
            message.wanted = wanted.get(incarnation, 0)
            heartbeat.replica_limits.append(message)

    def _wanted(self, now_s: float) -> dict[Incarnation, int]:
        """Return the sends to ask for, by replica."""
        wanted: dict[Incarnation, int] = {}
        for service, asked_s in list(self._asked_s.items()):
            while asked_s and asked_s[0] <= now_s - DEMAND_S:
                asked_s.popleft()
            if not asked_s:
                del self._asked_s[service]
                continue
            self._ask_told_s[service] = now_s
            of_service = self._of_service(service)
            for incarnation, limited in of_service:
                limited.drop_old(now_s)
                held = len(limited.grants_s)
                wanted[incarnation] = sends_wanted(len(asked_s), len(of_service), held)
        return wanted

    def _of_service(self, service: str) -> list[tuple[Incarnation, _Limited]]:
        """Return the replicas of a service that name a limit."""
        replicas = self._replicas()
        return [
            (incarnation, limited)
            for incarnation, limited in self._limited.items()
            if not limited.word.ended
            and self._is_registered(incarnation)
            and replicas[incarnation[0]].record.service == service
        ]

    def _forget_old(self, now_s: float) -> None:
        for incarnation, limited in list(self._limited.items()):
            age_s = now_s - limited.word.heard_s
            is_ended = limited.word.ended and age_s > ENDED_TOLD_S
            if is_ended or (age_s > _UNKNOWN_S and not self._is_registered(incarnation)):
                del self._limited[incarnation]

    def _is_registered(self, incarnation: Incarnation) -> bool:
        replica = self._replicas().get(incarnation[0])
        return replica is not None and _incarnation(replica) == incarnation


def _incarnation(replica: FleetReplica) -> Incarnation:
    return (replica.record.id, replica.record.start_ms)
