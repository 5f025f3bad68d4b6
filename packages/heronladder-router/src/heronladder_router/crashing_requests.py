"""Requests that crash the replicas that run them, and requests that are known not to.

Crashes are held against attributes: a whole request, or a part of prompts that many requests share.
Control publishes those that are refused or suspected with the configuration. The gateway records
what replicas have served itself and clears suspects.
"""

from collections import OrderedDict
from collections.abc import Callable

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.crash_attributes import AttributeKind, attribute_kind
from heronladder_runtime.logs import EventLog

from heronladder_router.gateway_request import GatewayRequest

# Fingerprints of each kind that are kept after a replica served them, about 150 bytes each. What
# many callers send is always among the newest.
_MAX_SERVED = {AttributeKind.REQUEST: 1_024, AttributeKind.PROMPT_PART: 4_096}
# What was served counts as harmless for this long only: replicas of another version may crash
# under it.
_SERVED_RETENTION_S = 60.0
# A part of a prompt crashes a replica that begins to write an answer on it.
_EVENTS_OF_SOUND_PARTS = 2


def shows_parts_sound(events: int) -> bool:
    """Return whether a replica that wrote some events can't be crashed by a part of the prompt."""
    return events >= _EVENTS_OF_SOUND_PARTS


class CrashingRequests:
    """Fingerprints of refused, suspected and recently served attributes of requests.

    Args:
        configuration: Configuration of the gateway.
        environment: Source of time.
        log: Logs changes.

    Attributes:
        on_cleared: Called with the fingerprint of a suspect that a replica has served, or of a
            part that is refused although one has.
    """

    def __init__(
        self, configuration: ConfigurationStore, environment: Environment, log: EventLog
    ) -> None:
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._refused: frozenset[str] = frozenset()
        self._refused_parts: frozenset[str] = frozenset()
        self._suspects: frozenset[str] = frozenset()
        self._served_s: dict[AttributeKind, OrderedDict[str, float]] = {
            kind: OrderedDict() for kind in AttributeKind
        }
        self.on_cleared: Callable[[str], None] = lambda fingerprint: None
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        crashing = self._configuration.crashing_requests()
        refused = frozenset(name for name, request in crashing.items() if request.refused)
        suspects = frozenset(crashing) - refused
        if (refused, suspects) == (self._refused, self._suspects):
            return
        new_suspects = suspects - self._suspects
        new_refused = _shared(refused - self._refused)
        self._refused, self._suspects = refused, suspects
        self._refused_parts = _shared(refused)
        self._log.info(
            "crashing_requests_known",
            step="configuration",
            refused=len(refused),
            suspects=len(suspects),
            revision=self._configuration.revision,
        )
        for fingerprint in sorted(new_suspects | new_refused):
            if self.was_served(fingerprint):
                self.on_cleared(fingerprint)

    @property
    def refused_count(self) -> int:
        """Number of refused attributes."""
        return len(self._refused)

    def refused_attribute(self, request: GatewayRequest) -> str:
        """Return what of a request must not be sent to any replica, for people; empty if nothing.

        Args:
            request: The request.
        """
        if not self._refused:
            return ""
        if request.fingerprint in self._refused:
            return f"request {request.fingerprint}"
        for fingerprint, part in request.part_fingerprints.items():
            if fingerprint in self._refused:
                return f"part {part} of the prompt ({fingerprint})"
        return ""

    def suspect_attribute(self, request: GatewayRequest) -> str:
        """Return the fingerprint of what of a request may crash replicas; empty if nothing.

        A part that this gateway knows to be served is not suspected here: it is being cleared.
        """
        if not self._suspects:
            return ""
        for fingerprint in request.part_fingerprints:
            if fingerprint in self._suspects and not self.was_served(fingerprint):
                return fingerprint
        return request.fingerprint if request.fingerprint in self._suspects else ""

    def record_served(self, fingerprint: str) -> None:
        """Record that a replica has served an attribute; clears it if it was a suspect."""
        kind = attribute_kind(fingerprint)
        served_s = self._served_s[kind]
        served_s[fingerprint] = self._environment.monotonic()
        served_s.move_to_end(fingerprint)
        if len(served_s) > _MAX_SERVED[kind]:
            served_s.popitem(last=False)
        if fingerprint in self._suspects or fingerprint in self._refused_parts:
            self.on_cleared(fingerprint)

    def record_parts_served(self, request: GatewayRequest) -> None:
        """Record that a replica has written an answer on the parts of a request."""
        for fingerprint in request.part_fingerprints:
            self.record_served(fingerprint)

    def was_served(self, fingerprint: str) -> bool:
        """Return whether a replica recently served an attribute that this gateway sent."""
        served_s = self._served_s[attribute_kind(fingerprint)].get(fingerprint, float("-inf"))
        return self._environment.monotonic() - served_s < _SERVED_RETENTION_S


def _shared(fingerprints: frozenset[str]) -> frozenset[str]:
    """Return those of some attributes that several requests share."""
    return frozenset(
        one for one in fingerprints if attribute_kind(one) is not AttributeKind.REQUEST
    )
