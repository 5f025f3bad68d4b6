"""Compression and splitting of configuration updates for low-bandwidth links.

A configuration of 1,700 routes, with the source document that only operators read back, has
0.47 MB: 0.75 s at 5 Mbit/s. Compressed and without the document it takes less than 0.25 s
(tests/test_config_packing.py).

Compressed events are sent in parts, one per frame. A router counts any frame as contact with
control, and a single large frame would look like silence on a slow link.
"""

import zlib

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.configuration import FLEET_KIND

COMPRESSION_THRESHOLD_BYTES = 4_096  # smaller updates are sent uncompressed
PART_BYTES = 4_096  # 0.9 s, a router's silence timeout, at 36 kbit/s
_COMPRESSION_LEVEL = 1  # the fastest; routes are similar, so that higher levels save little
_MAX_UNCOMPRESSED_BYTES = 256 * 1024 * 1024  # correct peers never send more


def without_source_document(event: control_pb2.ConfigEvent) -> control_pb2.ConfigEvent:
    """Return the event without the operator's source document, which routers do not need."""
    if event.kind != FLEET_KIND or not event.resource.fleet_configuration.source:
        return event
    bare = control_pb2.ConfigEvent()
    bare.CopyFrom(event)
    bare.resource.fleet_configuration.ClearField("source")
    return bare


def pack(update: control_pb2.ConfigUpdate) -> control_pb2.ConfigUpdate:
    """Return the update with its events compressed, or the update itself if it is small."""
    if update.ByteSize() <= COMPRESSION_THRESHOLD_BYTES:
        return update
    events = control_pb2.ConfigUpdate(events=update.events)
    packed = zlib.compress(events.SerializeToString(), _COMPRESSION_LEVEL)
    return control_pb2.ConfigUpdate(
        snapshot=update.snapshot, revision=update.revision, packed_events=packed
    )


def part(
    update: control_pb2.ConfigUpdate, offset: int, size: int = PART_BYTES
) -> control_pb2.ConfigUpdate:
    """Return the part of an update that begins at a byte offset of its compressed events."""
    end = offset + size
    return control_pb2.ConfigUpdate(
        events=update.events,
        snapshot=update.snapshot,
        revision=update.revision,
        packed_events=update.packed_events[offset:end],
        more=end < len(update.packed_events),
    )


class PartJoiner:
    """Joins the parts of updates on one stream, which arrive in order."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, update: control_pb2.ConfigUpdate) -> control_pb2.ConfigUpdate | None:
        """Add a part; return the complete update with the last one, else None."""
        self._parts.append(update.packed_events)
        if update.more:
            return None
        parts, self._parts = self._parts, []
        if len(parts) == 1:
            return update
        return control_pb2.ConfigUpdate(
            snapshot=update.snapshot, revision=update.revision, packed_events=b"".join(parts)
        )


def unpack(update: control_pb2.ConfigUpdate) -> control_pb2.ConfigUpdate:
    """Return the update with its events uncompressed.

    Raises:
        ValueError: If the compressed events cannot be read.
    """
    if not update.packed_events:
        return update
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(update.packed_events, _MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"packed configuration: {error}") from error
    if not reader.eof:
        raise ValueError("packed configuration: truncated or too large")
    events = control_pb2.ConfigUpdate.FromString(data)
    return control_pb2.ConfigUpdate(
        events=events.events, snapshot=update.snapshot, revision=update.revision
    )
