"""Replicas of a fleet as a gateway sees them, and the choice among them."""

import hashlib
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.pulse import Pulse
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.kept_parts import KeptParts, PromptPart

_FIRST_SUSPICION_S = 0.4
_LONGEST_SUSPICION_S = 4.0
_BUSY_S = 0.15
_TOKENS_PER_MS = 50.0  # read by an engine, before any is measured
_RUNNING_COST_MS = 3.0  # for each request that runs beside
_OTHER_ZONE_COST_MS = 4.0
_READ_AGAIN_COST_MS = 0.15  # for each token of a shared part that another replica keeps
_MOST_READ_AGAIN_COST_MS = 600.0  # a keeper's queue may be so much longer (chosen, see decisions)
_LOADS_HOLD_S = 1.0  # three heartbeats; older sums tell nothing (chosen)
_CHOICES = 4  # replicas compared at random where gateways share their load (chosen)
_SLOT_COST_MS = 30.0  # for each slot that is taken, at a plain service


@dataclass
class FleetReplica:
    """One incarnation of a replica.

    Attributes:
        record: What it told of itself.
        in_flight: Requests of this gateway that it holds.
        unread_tokens: Prompt tokens sent to it whose first event has not come.
        parts: What it is taken to keep of earlier prompts.
        failures: Failures in a row.
        suspect_until_s: Until when others are preferred.
        others_in_flight: Requests of other gateways, as control told last.
        others_unread_tokens: Prompt tokens of theirs that are not read yet.
    """

    record: resources_pb2.Replica
    parts: KeptParts
    in_flight: int = 0
    unread_tokens: int = 0
    failures: int = 0
    suspect_until_s: float = 0.0
    others_in_flight: int = 0
    others_unread_tokens: int = 0

    @property
    def name(self) -> str:
        """Identity of the incarnation."""
        return self.record.id


@dataclass(frozen=True)
class Wish:
    """What is asked of a replica.

    Attributes:
        service: Service it must be of.
        parts: Parts of the prompt; empty for a plain request.
        prompt_tokens: Tokens of the whole prompt.
    """

    service: str
    parts: list[PromptPart] = field(default_factory=list)
    prompt_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])


class FleetReplicas:
    """All replicas that are registered.

    Args:
        zone: Zone of the gateway.
        configuration: The gateway's configuration.
        environment: Time and randomness.
        log: Where changes are reported.
    """

    def __init__(
        self,
        zone: str,
        configuration: ConfigurationStore,
        environment: Environment,
        log: EventLog,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._replicas: dict[str, FleetReplica] = {}
        self._of_service: dict[str, list[FleetReplica]] = {}
        self.changed = Pulse()
        self.loads_told_s = float("-inf")  # when control last told the others' load
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        memory = self._engine_memory()
        earlier = self._replicas
        self._replicas = {}
        self._of_service = {}
        for record in self._configuration.replicas():
            replica = earlier.get(record.id)
            if replica is None:
                replica = FleetReplica(record, KeptParts(memory.get(record.service, 0)))
            self._report(replica, record, new=record.id not in earlier)
            replica.record = record
            self._replicas[record.id] = replica
            if not (record.draining or record.gone):
                self._of_service.setdefault(record.service, []).append(replica)
        for name in earlier.keys() - self._replicas.keys():
            self._log.info("replica_forgotten", step="replicas", peer=name)
        self.changed.give()

    def _engine_memory(self) -> dict[str, int]:
        fleet = self._configuration.fleet()
        if fleet is None:
            return {}
        return {service.name: service.engine.cache_tokens for service in fleet.services}

    def _report(self, replica: FleetReplica, record: resources_pb2.Replica, *, new: bool) -> None:
        if not new and replica.record == record:
            return
        self._log.info(
            "replica_known",
            step="replicas",
            peer=record.id,
            address=record.address,
            service=record.service,
            zone=record.zone,
            draining=record.draining,
            gone=record.gone,
            revision=self._configuration.revision,
        )

    # ---- choice -----------------------------------------------------------

    def usable(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service that are not leaving."""
        return self._of_service.get(service, [])

    def choose(self, wish: Wish, tried: Collection[str]) -> FleetReplica | None:
        """Return the replica that would begin first, or None if none is left.

        Suspected replicas come only after all others.
        """
        candidates = [replica for replica in self.usable(wish.service) if replica.name not in tried]
        now_s = self._environment.monotonic()
        sound = [replica for replica in candidates if replica.suspect_until_s <= now_s]
        pool = sound or candidates
        if not pool:
            return None
        keeper = self._keeper(wish, pool)
        shared_load = self.load_age_s < _LOADS_HOLD_S
        if shared_load:
            pool = self._sample(wish, pool, keeper)
        return min(pool, key=lambda replica: self._cost_ms(replica, wish, keeper, shared_load))

    def _sample(self, wish: Wish, pool: list[FleetReplica], keeper: str) -> list[FleetReplica]:
        """Return some replicas at random, and those that keep parts of the prompt.

        All gateways hear the same sums, some 0.3 s old: if each took the least
        loaded of all, they would all take the same one until they hear again.
        """
        chosen = self._environment.random.sample(pool, min(_CHOICES, len(pool)))
        names = {replica.name for replica in chosen}
        for replica in pool:
            if replica.name not in names and (replica.name == keeper or _keeps(replica, wish)):
                chosen.append(replica)
        return chosen

    def _cost_ms(self, replica: FleetReplica, wish: Wish, keeper: str, shared_load: bool) -> float:
        """Estimate when a replica would begin the answer, in ms; with a random tie-break."""
        cost = self._environment.random.random()
        in_flight = replica.in_flight
        unread = replica.unread_tokens
        if shared_load:
            in_flight += replica.others_in_flight
            unread += replica.others_unread_tokens
        if replica.record.zone != self._zone:
            cost += _OTHER_ZONE_COST_MS
        if not wish.prompt_tokens:
            return cost + in_flight * _SLOT_COST_MS
        kept = replica.parts.kept_tokens(wish.parts)
        if replica.name == keeper:
            kept = max(kept, wish.shared_tokens)
        again = max(0, wish.shared_tokens - kept)
        cost += min(_MOST_READ_AGAIN_COST_MS, again * _READ_AGAIN_COST_MS)
        unread += max(0, wish.prompt_tokens - kept)
        return cost + unread / _TOKENS_PER_MS + in_flight * _RUNNING_COST_MS

    @staticmethod
    def _keeper(wish: Wish, pool: list[FleetReplica]) -> str:
        """Return the replica at which all gateways expect the shared parts to be kept.

        None is expected if this gateway knows of one that keeps them.
        """
        shared = wish.parts[:-1]
        if not shared or any(_keeps(replica, wish) for replica in pool):
            return ""
        subject = shared[-1].identity.encode()
        return max((replica.name for replica in pool), key=lambda name: _rank(subject, name))

    # ---- load that gateways share through control -------------------------

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Tell what this gateway has under way at each replica."""
        for replica in self._replicas.values():
            if replica.in_flight > 0:
                load = heartbeat.replica_loads[replica.name]
                load.in_flight = replica.in_flight
                load.unread_tokens = max(0, replica.unread_tokens)

    @property
    def load_age_s(self) -> float:
        """Age of what control told of the others' load, in seconds; inf if it never did."""
        return self._environment.monotonic() - self.loads_told_s

    def others_told(self, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        """Take what all other gateways have under way."""
        self.loads_told_s = self._environment.monotonic()
        for replica in self._replicas.values():
            known = replica.name in loads
            replica.others_in_flight = loads[replica.name].in_flight if known else 0
            replica.others_unread_tokens = loads[replica.name].unread_tokens if known else 0

    # ---- what was seen of a replica ---------------------------------------

    def sent(self, replica: FleetReplica, wish: Wish) -> int:
        """Note that a request goes to a replica.

        Returns:
            Tokens that it has to read, to be given to ``began``.
        """
        unread = max(0, wish.prompt_tokens - replica.parts.kept_tokens(wish.parts))
        replica.in_flight += 1
        replica.unread_tokens += unread
        replica.parts.note(wish.parts)
        return unread

    @staticmethod
    def began(replica: FleetReplica, unread: int) -> None:
        """Note that the first event of a request came, or that none will."""
        replica.unread_tokens -= unread

    @staticmethod
    def ended(replica: FleetReplica) -> None:
        """Note that a request at a replica ended."""
        replica.in_flight -= 1

    def succeeded(self, replica: FleetReplica) -> None:
        """Note a whole answer."""
        if replica.failures:
            self._log.info("replica_trusted", step="replicas", peer=replica.name)
        replica.failures = 0
        replica.suspect_until_s = 0.0

    def busy(self, replica: FleetReplica) -> None:
        """Note that a replica had no room: others are preferred for a moment."""
        until_s = self._environment.monotonic() + _BUSY_S
        replica.suspect_until_s = max(replica.suspect_until_s, until_s)

    def failed(self, replica: FleetReplica, why: str) -> None:
        """Note a failure: others are preferred for a while, longer each time."""
        replica.failures += 1
        pause_s = min(_LONGEST_SUSPICION_S, _FIRST_SUSPICION_S * 2 ** (replica.failures - 1))
        replica.suspect_until_s = self._environment.monotonic() + pause_s
        self._log.info(
            "replica_suspected",
            step="replicas",
            peer=replica.name,
            failures=replica.failures,
            for_s=pause_s,
            why=why,
        )


def _keeps(replica: FleetReplica, wish: Wish) -> bool:
    """Whether a replica is known to keep all shared parts of a prompt, and there are some."""
    shared = wish.shared_tokens
    return shared > 0 and replica.parts.kept_tokens(wish.parts[:-1]) == shared


def _rank(subject: bytes, name: str) -> bytes:
    return hashlib.blake2b(subject, key=name.encode()[:64], digest_size=8).digest()
