"""Manifests: declared resources in YAML or JSON, with kind, metadata and spec."""

import json
import re
from typing import Any

import yaml
from google.protobuf import json_format
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_runtime.errors import HeronladderError

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")

#: Field of ``Resource`` for each kind as written in manifests and paths.
KIND_FIELDS = {
    "Tenant": "tenant",
    "Budget": "budget",
    "Service": "service",
    "Backend": "backend",
    "RoutingPolicy": "routing_policy",
    "FleetConfiguration": "fleet_configuration",
    "Replica": "replica",
    "Evacuation": "evacuation",
    "Rollout": "rollout",
    "CrashingRequest": "crashing_request",
}
FIELD_KINDS = {field: kind for kind, field in KIND_FIELDS.items()}


class ManifestError(HeronladderError):
    """A manifest is malformed; ``errors`` names each invalid field.

    Attributes:
        errors: Invalid fields, each with the problem and its remedy.
    """

    def __init__(self, errors: list[control_pb2.FieldError], where: str = "") -> None:
        text = "; ".join(f"{error.field}: {error.message}" for error in errors)
        super().__init__(text, step="read_manifest", peer=where)
        self.errors = errors


def _error(field: str, message: str, where: str = "") -> ManifestError:
    return ManifestError([control_pb2.FieldError(field=field, message=message)], where)


def kind_of(resource: resources_pb2.Resource) -> str:
    """Return the kind of a resource as a field name, such as ``routing_policy``."""
    return resource.WhichOneof("spec") or ""


def field_of_kind(kind: str) -> str:
    """Return the field name of a kind given as Kind, kind or plural path.

    Raises:
        ManifestError: If there is no such kind.
    """
    wanted = kind.replace("-", "").replace("_", "").lower()
    for name, field in KIND_FIELDS.items():
        lower = name.lower()
        plural = lower[:-1] + "ies" if lower.endswith("y") else lower + "s"
        if wanted in (lower, plural):
            return field
    raise _error("kind", f"unknown kind {kind!r}; known: {', '.join(KIND_FIELDS)}")


def parse_manifest(document: Any, where: str = "") -> resources_pb2.Resource:
    """Return the resource that a manifest declares.

    Args:
        document: One document as parsed from YAML or JSON.
        where: File and position, for error messages.

    Raises:
        ManifestError: If it is malformed.
    """
    if not isinstance(document, dict):
        raise _error("", "a manifest is a mapping with kind, metadata and spec", where)
    unknown = sorted(set(document) - {"kind", "metadata", "spec", "status"})
    if unknown:
        raise _error(str(unknown[0]), "unknown field; allowed: kind, metadata, spec", where)
    field = field_of_kind(str(document.get("kind", "")))
    metadata = document.get("metadata") or {}
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        raise _error("metadata.name", "give the resource a name (text)", where)
    resource = resources_pb2.Resource()
    allowed_metadata = {
        key: value for key, value in metadata.items() if key not in ("revision", "inForce")
    }
    _parse_into(allowed_metadata, resource.metadata, "metadata", where)
    spec = getattr(resource, field)
    spec.SetInParent()
    _parse_into(document.get("spec") or {}, spec, "spec", where)
    return resource


def _parse_into(source: Any, message: Any, field: str, where: str) -> None:
    try:
        json_format.ParseDict(source, message)
    except (json_format.ParseError, TypeError, AttributeError) as error:
        raise _error(field, str(error), where) from error


def parse_manifests(text: str, where: str = "") -> list[resources_pb2.Resource]:
    """Return all resources of a YAML or JSON text, which may contain several documents."""
    try:
        documents = [document for document in yaml.safe_load_all(text) if document is not None]
    except yaml.YAMLError as error:
        raise _error("", f"not YAML or JSON: {error}", where) from error
    flat: list[Any] = []
    for document in documents:
        flat.extend(document if isinstance(document, list) else [document])
    return [
        parse_manifest(document, f"{where}#{number}")
        for number, document in enumerate(flat, start=1)
    ]


def to_manifest(resource: resources_pb2.Resource) -> dict[str, Any]:
    """Return a resource as a manifest."""
    field = kind_of(resource)
    return {
        "kind": FIELD_KINDS[field],
        "metadata": json_format.MessageToDict(resource.metadata),
        "spec": json_format.MessageToDict(getattr(resource, field)),
    }


def to_yaml(manifests: list[dict[str, Any]]) -> str:
    """Return manifests as YAML documents."""
    return yaml.safe_dump_all(manifests, sort_keys=False)


def to_json(manifests: list[dict[str, Any]]) -> str:
    """Return manifests as a JSON list."""
    return json.dumps(manifests, indent=2)
