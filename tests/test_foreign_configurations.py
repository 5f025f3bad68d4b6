"""Configurations of other writers are refused with a clear error, or can be applied and kept.

Limits or an engine that are no object, texts with half a character and a cold start of 24 days were
answered 500 with a stack trace, which operators repeat; "false" in quotes opened a route to all. A
configuration that raised while it is applied would end each control member, again at each start.
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

_DRAWS = 3_000
_NUMBERS = (0, 1, -1, 2**31 - 1, 2**31, 2**32, 2**53 - 1, 2**53, 2**60, 2**63, 2**64 - 1)
_FRACTIONS = (0.5, 1e-300, 1e300, 1e400, -0.0)
_TEXTS = ("", "\ud800", "\x00", "a" * 1_000, "é", "/", "//", "a b", "\n", "10.0.0.1:1", "false")
_OTHERS = (None, [], {}, True, False, [[]], [""], [None], {"a": 1})
_ALL = (*_NUMBERS, *_FRACTIONS, *_TEXTS, *_OTHERS)
_Place = tuple[str | int, ...]


def _whole() -> dict[str, Any]:
    """Return a configuration that names every field."""
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


def _places(value: Any, place: _Place = ()) -> Iterator[_Place]:
    """Yield where each field and entry of a document stands."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield (*place, name)
        yield from _places(inner, (*place, name))


def _changed(document: Any, places: list[_Place], source: Random) -> Any:
    """Return a copy in which some fields are lost or of another kind or size."""
    changed = copy.deepcopy(document)
    for _ in range(source.choice((1, 1, 2, 4))):
        *outer, name = source.choice(places)
        holder = changed
        try:
            for step in outer:
                holder = holder[step]
            if source.random() < 0.2:
                del holder[name]
            else:
                holder[name] = source.choice(_ALL)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change took it away
    return changed


class ForeignConfigurationTest(unittest.TestCase):
    def _refused(self, **changes: Any) -> None:
        document = _whole() | changes
        with self.assertRaises(DocumentError):
            read_configuration(json.dumps(document).encode())

    def test_what_is_no_object_is_refused(self) -> None:
        self._refused(limits=5)
        self._refused(services=[_whole()["services"][0] | {"engine": "fast"}])
        self._refused(services=[_whole()["services"][0] | {"coldStartS": 2**31 - 1}])

    def test_a_text_is_no_flag(self) -> None:
        for name in ("allowAnonymous", "resumable", "sticky"):
            self._refused(routes=[route("/safe/", **{name: "false"})])

    def test_half_a_character_is_refused(self) -> None:
        for half in ("\ud800", "a\udfff"):
            self._refused(routes=[route("/safe/", host=half)])
            heartbeat = json.dumps({"service": half, "slots": 1}).replace("\\ud", "\\uD")
            with self.assertRaises(DocumentError):
                read_replica("i-1", heartbeat.encode())
        named = _whole() | {"routes": [route("/safe/", host="caf\U0001f600")]}
        self.assertEqual(read_configuration(json.dumps(named).encode()).version, 1)

    def test_drawn_ones_are_refused_or_can_be_applied_and_kept(self) -> None:
        source = Random(5)
        document = _whole()
        places = list(_places(document))
        applied = 0
        for _ in range(_DRAWS):
            body = json.dumps(_changed(document, places, source)).encode()
            try:
                read = read_configuration(body)
            except DocumentError:
                continue
            applied += self._apply_and_keep(read)
        self.assertGreater(applied, _DRAWS // 10)

    def _apply_and_keep(self, read: resources_pb2.FleetConfiguration) -> bool:
        """Apply a configuration, draw of its tokens, and read the snapshot back."""
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
