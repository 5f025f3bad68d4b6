"""Declared resources with compare-and-set updates, idempotent changes, references and history.

Results of changes that carry a change id are part of snapshots. All builds of a cluster must
therefore return the same messages for the same command.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import takewhile

from heronladder_runtime.configuration import KINDS
from heronladder_runtime.manifests import FIELD_KINDS, kind_of
from heronladder_runtime.validation import validate
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.results import failure

# Called with a resource before and after a change; None stands for an absent resource.
Watcher = Callable[[resources_pb2.Resource | None, resources_pb2.Resource | None], None]

_MAX_EVENTS = 4_000
_MAX_CHANGES = 4_000


class ResourceTable:
    """All resources of a region and their recent changes.

    Args:
        region: Name of the region.
    """

    def __init__(self, region: str) -> None:
        self.region = region
        self.resources: dict[str, dict[str, resources_pb2.Resource]] = {kind: {} for kind in KINDS}
        # In order, by an internal number. Thousands of replicas may register at once, and to
        # search a list of 4,000 events for each of them takes 10% of a busy leader's time.
        self._events: OrderedDict[int, control_pb2.ConfigEvent] = OrderedDict()
        self._event_numbers: dict[tuple[str, str], list[int]] = {}
        self._last_event_number = 0
        self.compacted_revision = 0
        self.revision = 0
        self._watchers: dict[str, Watcher] = {}
        self._changes: OrderedDict[str, control_pb2.CommandResult] = OrderedDict()

    def get(self, kind: str, name: str) -> resources_pb2.Resource | None:
        """Return a resource, or None."""
        return self.resources[kind].get(name)

    def watch(self, kind: str, watcher: Watcher) -> None:
        """Call a watcher for all changes of a kind, including those by loading a snapshot."""
        self._watchers[kind] = watcher

    def _set(self, kind: str, name: str, resource: resources_pb2.Resource | None) -> None:
        """Store a resource, or remove it if None, and call the watcher of its kind."""
        before = self.resources[kind].pop(name, None) if resource is None else self.get(kind, name)
        if resource is not None:
            self.resources[kind][name] = resource
        watcher = self._watchers.get(kind)
        if watcher is not None:
            watcher(before, resource)

    # ---- changes ----------------------------------------------------------

    def first_outcome(self, change_id: str) -> control_pb2.CommandResult | None:
        """Return the result of the first change with a change id, or None."""
        return self._changes.get(change_id) if change_id else None

    def remember(self, change_id: str, result: control_pb2.CommandResult) -> None:
        """Store the result of a change, to be returned if the change is sent again."""
        if not change_id:
            return
        self._changes[change_id] = result
        while len(self._changes) > _MAX_CHANGES:
            self._changes.popitem(last=False)

    def check_put(self, order: control_pb2.PutResource) -> control_pb2.CommandResult | None:
        """Return the result that rejects a write of a resource, or None if it is valid."""
        name = order.resource.metadata.name
        known = self.get(order.kind, name)
        version = known.metadata.version if known is not None else 0
        if not order.any_version and order.expected_version != version:
            return self._conflict(order.expected_version, version)
        errors = validate(order.resource)
        if kind_of(order.resource) != order.kind:
            errors.append(
                control_pb2.FieldError(field="kind", message=f"the path says {order.kind}")
            )
        errors.extend(self._missing_references(order.resource))
        if errors:
            result = failure(control_pb2.RESULT_CODE_INVALID, "the resource is not valid")
            result.errors.extend(errors)
            return result
        return None

    @staticmethod
    def _conflict(expected: int, current: int) -> control_pb2.CommandResult:
        result = failure(
            control_pb2.RESULT_CODE_VERSION_CONFLICT,
            f"the change was made for version {expected}; the current version is {current}",
        )
        result.current_version = current
        return result

    def put(self, index: int, order: control_pb2.PutResource) -> control_pb2.CommandResult:
        """Write a resource that passed ``check_put``; return it with its new version."""
        resource = resources_pb2.Resource()
        resource.CopyFrom(order.resource)
        known = self.get(order.kind, resource.metadata.name)
        resource.metadata.version = known.metadata.version + 1 if known is not None else 1
        resource.metadata.revision = index
        if not resource.metadata.region:
            resource.metadata.region = self.region
        self._set(order.kind, resource.metadata.name, resource)
        self._record(index, order.kind, resource.metadata.name, resource)
        result = control_pb2.CommandResult(
            code=control_pb2.RESULT_CODE_OK,
            revision=index,
            current_version=resource.metadata.version,
        )
        result.resource.CopyFrom(resource)
        return result

    def delete(self, index: int, order: control_pb2.DeleteResource) -> control_pb2.CommandResult:
        """Remove a resource that nothing refers to."""
        known = self.get(order.kind, order.name)
        if known is None:
            return failure(
                control_pb2.RESULT_CODE_NOT_FOUND, f"there is no {order.kind} {order.name}"
            )
        if not order.any_version and order.expected_version != known.metadata.version:
            return self._conflict(order.expected_version, known.metadata.version)
        users = self._referrers(order.kind, order.name)
        if users:
            return failure(
                control_pb2.RESULT_CODE_REFERENCED,
                f"{order.kind} {order.name} is used by {', '.join(users[:5])}",
            )
        self._set(order.kind, order.name, None)
        self._record(index, order.kind, order.name, None)
        result = control_pb2.CommandResult(code=control_pb2.RESULT_CODE_OK, revision=index)
        result.resource.CopyFrom(known)
        return result

    def write(self, index: int, kind: str, name: str, resource: resources_pb2.Resource) -> None:
        """Write a resource without checks, keeping only its newest event."""
        known = self.get(kind, name)
        resource.metadata.name = name
        resource.metadata.region = self.region
        resource.metadata.version = known.metadata.version + 1 if known is not None else 1
        resource.metadata.revision = index
        self._set(kind, name, resource)
        self._forget_events(kind, name)
        self._record(index, kind, name, resource)

    def erase(self, index: int, kind: str, name: str) -> None:
        """Remove a resource written by ``write``."""
        if name in self.resources[kind]:
            self._set(kind, name, None)
            self._forget_events(kind, name)
            self._record(index, kind, name, None)

    def _forget_events(self, kind: str, name: str) -> None:
        for number in self._event_numbers.pop((kind, name), ()):
            del self._events[number]

    def _record(
        self, index: int, kind: str, name: str, resource: resources_pb2.Resource | None
    ) -> None:
        event = control_pb2.ConfigEvent(revision=index, kind=kind, name=name)
        if resource is not None:
            event.resource.CopyFrom(resource)
        self._append_event(event)
        self.revision = index
        self.compact(_MAX_EVENTS)

    def compact(self, kept: int) -> None:
        """Delete all but the newest events.

        A reader that needs an older event has to reload all resources.

        Args:
            kept: Number of events to keep.
        """
        while len(self._events) > kept:
            number, oldest = self._events.popitem(last=False)
            self.compacted_revision = oldest.revision
            self._unindex_event(number, oldest)

    def _append_event(self, event: control_pb2.ConfigEvent) -> None:
        self._last_event_number += 1
        self._events[self._last_event_number] = event
        self._event_numbers.setdefault((event.kind, event.name), []).append(self._last_event_number)

    def _unindex_event(self, number: int, event: control_pb2.ConfigEvent) -> None:
        numbers = self._event_numbers[event.kind, event.name]
        numbers.remove(number)
        if not numbers:
            del self._event_numbers[event.kind, event.name]

    # ---- references -------------------------------------------------------

    @staticmethod
    def _references(resource: resources_pb2.Resource) -> list[tuple[str, str, str]]:
        """Return (field, kind, name) of each resource that a resource refers to."""
        kind = kind_of(resource)
        found = []
        if kind == "tenant":
            found.append(("spec.budget", "budget", resource.tenant.budget))
            for position, service in enumerate(resource.tenant.services):
                found.append((f"spec.services[{position}]", "service", service))
        elif kind == "service" and resource.service.routing_policy:
            policy = resource.service.routing_policy
            found.append(("spec.routingPolicy", "routing_policy", policy))
        elif kind == "backend":
            found.append(("spec.service", "service", resource.backend.service))
        return found

    def _missing_references(self, resource: resources_pb2.Resource) -> list[control_pb2.FieldError]:
        return [
            control_pb2.FieldError(
                field=field,
                message=f"there is no {FIELD_KINDS[kind]} {name!r}; declare it first",
            )
            for field, kind, name in self._references(resource)
            if name and self.get(kind, name) is None
        ]

    def _referrers(self, kind: str, name: str) -> list[str]:
        users = []
        for other_kind in KINDS:
            for other in self.resources[other_kind].values():
                for _, referred_kind, referred in self._references(other):
                    if (referred_kind, referred) == (kind, name):
                        users.append(f"{other_kind} {other.metadata.name}")
        return users

    # ---- reading ----------------------------------------------------------

    def events_after(self, revision: int) -> list[control_pb2.ConfigEvent] | None:
        """Return the changes after a revision, or None if some of them were compacted."""
        if revision < self.compacted_revision:
            return None
        newest_first = reversed(self._events.values())
        return list(takewhile(lambda event: event.revision > revision, newest_first))[::-1]

    def all_as_events(self) -> list[control_pb2.ConfigEvent]:
        """Return every resource as if it had just been written."""
        return [
            control_pb2.ConfigEvent(
                revision=resource.metadata.revision,
                kind=kind,
                name=name,
                resource=resource,
            )
            for kind in KINDS
            for name, resource in sorted(self.resources[kind].items())
        ]

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write resources, results of changes and events into a snapshot."""
        for kind in KINDS:
            snapshot.resources.extend(
                self.resources[kind][name] for name in sorted(self.resources[kind])
            )
        for change_id, result in self._changes.items():
            snapshot.changes.add(change_id=change_id, result=result)
        snapshot.events.extend(self._events.values())
        snapshot.compacted_revision = self.compacted_revision

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace all resources, results of changes and events with those of a snapshot."""
        for kind in KINDS:
            for name in list(self.resources[kind]):
                self._set(kind, name, None)
        for resource in snapshot.resources:
            self._set(kind_of(resource), resource.metadata.name, resource)
        self._changes = OrderedDict(
            (change.change_id, change.result) for change in snapshot.changes
        )
        self._load_events(snapshot.events)
        self.compacted_revision = snapshot.compacted_revision
        newest = next(reversed(self._events.values()), None)
        self.revision = self.compacted_revision if newest is None else newest.revision

    def _load_events(self, events: Iterable[control_pb2.ConfigEvent]) -> None:
        self._events.clear()
        self._event_numbers.clear()
        for event in events:
            self._append_event(event)
