"""Tests that the schema and its declared cluster versions match production's build."""

import importlib
import json
import subprocess
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message
from heronladder_runtime.cluster_versions import (
    INITIAL_VERSION,
    LATEST_VERSION,
    ClusterVersionError,
    is_allowed,
    reduce_to_version,
    require_allowed,
    since,
)
from heronladder_schema.v1 import control_pb2, versions_pb2
from production_build import module_path

_MODULES = ("agent", "consensus", "control", "ledger", "lending", "resources")
_LIST_FIELDS_SCRIPT = Path(__file__).with_name("list_fields.py")
_LOGGED_MESSAGES = ("Command", "StateSnapshot")
Fields = dict[str, list[object]]


def _production_fields() -> Fields:
    done = subprocess.run(
        [sys.executable, str(_LIST_FIELDS_SCRIPT), *_MODULES],
        env={"PYTHONPATH": module_path(), "PATH": ""},
        capture_output=True,
        text=True,
        check=True,
    )
    fields: Fields = json.loads(done.stdout)
    return fields


def _messages() -> Iterator[Descriptor]:
    for name in _MODULES:
        module = importlib.import_module(f"heronladder_schema.v1.{name}_pb2")
        yield from module.DESCRIPTOR.message_types_by_name.values()


def _fields() -> Iterator[FieldDescriptor]:
    for message in _messages():
        yield from message.fields


def _option(field: FieldDescriptor, name: str) -> object:
    return field.GetOptions().Extensions[getattr(versions_pb2, name)]


def _reachable(names: tuple[str, ...]) -> set[str]:
    """Return the full names of all messages reachable from these through fields of any version."""
    known: set[str] = set()
    left = [control_pb2.DESCRIPTOR.message_types_by_name[name] for name in names]
    while left:
        message = left.pop()
        if message.full_name not in known:
            known.add(message.full_name)
            left.extend(one.message_type for one in message.fields if one.message_type)
    return known


class FieldsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.production = _production_fields()

    def _is_new_message(self, field: FieldDescriptor) -> bool:
        prefix = f"{field.containing_type.full_name}."
        return not any(name.startswith(prefix) for name in self.production)

    def test_fields_unknown_to_production_declare_their_version(self) -> None:
        for field in _fields():
            if self._is_new_message(field) or str(field.full_name) in self.production:
                continue
            marks = [bool(_option(field, name)) for name in ("since", "ignorable", "renamed_from")]
            with self.subTest(field.full_name):
                self.assertEqual(sum(marks), 1)
                self.assertLessEqual(since(field), LATEST_VERSION)

    def test_fields_in_the_log_are_not_ignorable(self) -> None:
        # Results in a snapshot belong to commands that set none of the ignorable fields.
        kept = _reachable(_LOGGED_MESSAGES) - {control_pb2.CommandResult.DESCRIPTOR.full_name}
        for field in _fields():
            if field.containing_type.full_name in kept:
                self.assertFalse(_option(field, "ignorable"), field.full_name)

    def test_field_numbers_and_types_do_not_change(self) -> None:
        numbers = {
            (name.rpartition(".")[0], shape[0]): (name.rpartition(".")[2], shape)
            for name, shape in self.production.items()
        }
        for field in _fields():
            known = numbers.get((field.containing_type.full_name, field.number))
            if known is None:
                continue
            name, shape = known
            with self.subTest(field.full_name):
                self.assertIn(name, (field.name, _option(field, "renamed_from")))
                self.assertEqual(shape[1], field.type)


class CommandVersionTest(unittest.TestCase):
    def test_commands_of_later_versions_are_rejected(self) -> None:
        for field in control_pb2.Command.DESCRIPTOR.fields:
            command = control_pb2.Command()
            getattr(command, field.name).SetInParent()
            self.assertEqual(is_allowed(command, INITIAL_VERSION), since(field) == INITIAL_VERSION)
            if since(field) == INITIAL_VERSION:
                require_allowed(command, INITIAL_VERSION)
                continue
            with self.subTest(field.name), self.assertRaises(ClusterVersionError):
                require_allowed(command, INITIAL_VERSION)

    def test_unknown_commands_are_rejected(self) -> None:
        with self.assertRaises(ClusterVersionError):
            require_allowed(control_pb2.Command(), LATEST_VERSION)

    def test_newer_fields_of_known_commands_are_removed(self) -> None:
        command = control_pb2.Command()
        command.register_replica.replica.id = "a"
        command.register_replica.replica.start_ms = 5
        command.register_replica.keeps_others = True
        draw = control_pb2.Command()
        draw.draw_tokens.wanted = 7
        draw.draw_tokens.needed = 3
        draw.draw_tokens.decided = 7
        notes = control_pb2.Command()
        notes.note_promises.promises.add(holder="a").promise.most = 5
        notes.note_promises.wall_ahead_ms["a"] = 1
        for full, kept in ((command, 1), (draw, 1), (notes, 2)):
            reduced = reduce_to_version(full, INITIAL_VERSION)
            self.assertEqual(self._newer(reduced), [])
            self.assertEqual(len(self._body(reduced).ListFields()), kept)
            self.assertEqual(reduce_to_version(full, LATEST_VERSION), full)

    @staticmethod
    def _body(command: control_pb2.Command) -> Message:
        body: Message = getattr(command, command.WhichOneof("body") or "")
        return body

    def _newer(self, command: control_pb2.Command) -> list[str]:
        body = self._body(command)
        found = [field.name for field, _ in body.ListFields() if since(field)]
        replica = getattr(body, "replica", None)
        return found + (["start_ms"] if replica is not None and replica.start_ms else [])


if __name__ == "__main__":
    unittest.main()
