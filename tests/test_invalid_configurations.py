"""Tests that configurations from other programs are rejected clearly, or applied and stored.

They guard against 500 responses with a stack trace, which operators retry: limits or an engine of
another type than object, lone surrogates and a cold start of 24 days caused them. The text "false"
as a flag made a route public. A configuration that raises an exception while it is applied would
end every control member, and again at every restart.
"""

import copy
import json
import unittest
from collections.abc import Iterator
from random import Random
from typing import Any

from heronladder_control.state import ControlState
from heronladder_platform.configuration import read_configuration
from heronladder_platform.documents import DocumentError
from heronladder_platform.replica_heartbeats import read_replica
from heronladder_schema.v1 import control_pb2, resources_pb2
from platform_stand_ins import configuration, route

_SAMPLES = 3_000
_NUMBERS = (0, 1, -1, 2**31 - 1, 2**31, 2**32, 2**53 - 1, 2**53, 2**60, 2**63, 2**64 - 1)
_FRACTIONS = (0.5, 1e-300, 1e300, 1e400, -0.0)
_TEXTS = ("", "\ud800", "\x00", "a" * 1_000, "é", "/", "//", "a b", "\n", "10.0.0.1:1", "false")
_OTHER_VALUES = (None, [], {}, True, False, [[]], [""], [None], {"a": 1})
_ALL_VALUES = (*_NUMBERS, *_FRACTIONS, *_TEXTS, *_OTHER_VALUES)
_Path = tuple[str | int, ...]


def _full_configuration() -> dict[str, Any]:
    """Return a configuration that sets every field."""
    split = [{"service": "app", "weight": 1}, {"service": "app", "weight": 3}]
    routes = (
        route("/safe/", trafficSplit=split, gapAimMs=3, allowedRegions=["r1"], priority=2),
        route("/stream/", kind="streaming", resumable=True, sticky=True),
    )
    document = configuration(1, *routes)
    engine = {"slots": 64, "kvCapacityTokens": 1_000, "stride": 6}
    document["services"][0].update(coldStartS=3, coldPerS=2.5, engine=engine)
    document["tenants"][0].update(prepaid=1_000_000, allowedRegions=["r1"])
    document["limits"].update(headerTimeoutMs=3_000)
    return document


def _field_paths(value: Any, path: _Path = ()) -> Iterator[_Path]:
    """Yield the path of each field and list entry of a document."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield (*path, name)
        yield from _field_paths(inner, (*path, name))


def _mutate(document: Any, paths: list[_Path], source: Random) -> Any:
    """Return a copy with some fields removed or replaced by other types or sizes."""
    changed = copy.deepcopy(document)
    for _ in range(source.choice((1, 1, 2, 4))):
        *outer, name = source.choice(paths)
        holder = changed
        try:
            for step in outer:
                holder = holder[step]
            if source.random() < 0.2:
                del holder[name]
            else:
                holder[name] = source.choice(_ALL_VALUES)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier mutation removed it
    return changed


class ForeignConfigurationTest(unittest.TestCase):
    def _assert_rejected(self, **changes: Any) -> None:
        document = _full_configuration() | changes
        with self.assertRaises(DocumentError):
            read_configuration(json.dumps(document).encode())

    def test_rejects_other_types_for_objects(self) -> None:
        self._assert_rejected(limits=5)
        self._assert_rejected(services=[_full_configuration()["services"][0] | {"engine": "fast"}])
        self._assert_rejected(
            services=[_full_configuration()["services"][0] | {"coldStartS": 2**31 - 1}]
        )

    def test_rejects_texts_for_flags(self) -> None:
        for name in ("allowAnonymous", "resumable", "sticky"):
            self._assert_rejected(routes=[route("/safe/", **{name: "false"})])

    def test_rejects_lone_surrogates(self) -> None:
        for surrogate in ("\ud800", "a\udfff"):
            self._assert_rejected(routes=[route("/safe/", host=surrogate)])
            heartbeat = json.dumps({"service": surrogate, "slots": 1}).replace("\\ud", "\\uD")
            with self.assertRaises(DocumentError):
                read_replica("i-1", heartbeat.encode())
        named = _full_configuration() | {"routes": [route("/safe/", host="caf\U0001f600")]}
        self.assertEqual(read_configuration(json.dumps(named).encode()).version, 1)

    def test_random_configurations_are_rejected_or_applied_and_stored(self) -> None:
        source = Random(5)
        document = _full_configuration()
        paths = list(_field_paths(document))
        applied = 0
        for _ in range(_SAMPLES):
            body = json.dumps(_mutate(document, paths, source)).encode()
            try:
                read = read_configuration(body)
            except DocumentError:
                continue
            applied += self._apply_and_restore(read)
        self.assertGreater(applied, _SAMPLES // 10)

    def _apply_and_restore(self, read: resources_pb2.FleetConfiguration) -> bool:
        """Apply a configuration, draw tokens, restore the snapshot; return whether it applied."""
        state = ControlState("fleet")
        command = control_pb2.Command()
        command.apply_configuration.configuration.CopyFrom(read)
        result = state.apply(1, command.SerializeToString())
        for tenant in read.tenants:
            draw = control_pb2.Command()
            draw.draw_tokens.tenant = tenant.name
            draw.draw_tokens.holder = draw.draw_tokens.incarnation = "gateway"
            draw.draw_tokens.number = draw.draw_tokens.minimum = 1
            draw.draw_tokens.wanted = 2**63
            state.apply(2, draw.SerializeToString())
        later = ControlState("fleet")
        later.restore(state.snapshot())
        self.assertEqual(later.snapshot(), state.snapshot())
        return result.code == control_pb2.RESULT_CODE_OK


if __name__ == "__main__":
    unittest.main()
