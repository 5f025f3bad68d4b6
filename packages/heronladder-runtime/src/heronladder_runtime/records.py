"""Checksummed records in append-only files, and what to make of damaged ones.

A record is written by one append and synced before the next one is written.
So a damaged record with a whole one behind it was synced once: that is
corruption and must be reported. A damaged record at the very end is a write
that a crash cut short and that nobody was told of: it is dropped.
"""

import struct
import zlib
from dataclasses import dataclass

from heronladder_runtime.errors import CorruptFileError

_MAGIC = b"\xf1HL1"
_HEADER = struct.Struct("<4sII")  # magic, length of the payload, CRC-32 of the payload


def frame_record(payload: bytes) -> bytes:
    """Return ``payload`` as it stands in a file."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


@dataclass
class ScanResult:
    """What a file held: the payloads in order, and where the whole ones end (bytes)."""

    payloads: list[bytes]
    good_size: int


def _record_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    if magic != _MAGIC:
        return None
    payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def scan_records(data: bytes, name: str, *, last_file: bool) -> ScanResult:
    """Read all records of a file.

    Args:
        data: The whole file.
        name: Its name, for errors.
        last_file: Whether writing stopped in this file, so that its end may be cut short.

    Raises:
        CorruptFileError: If synced bytes are damaged; names file and offset.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _record_at(data, offset)
        if payload is None:
            if not last_file or _whole_record_after(data, offset):
                raise CorruptFileError(
                    f"file {name} is damaged at offset {offset}: "
                    "restore it from another member (see docs/operators/recover-control.md)",
                    step="scan_records",
                    peer=f"{name}:{offset}",
                )
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return ScanResult(payloads, offset)


def _whole_record_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset + 1)
    while position != -1:
        if _record_at(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False
