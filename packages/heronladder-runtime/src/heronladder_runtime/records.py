"""Checksummed records in append-only files, and detection of damaged ones.

A record is written by one append and synced before the next one is written. A damaged record that
is followed by a valid one had therefore been synced: this is corruption and is reported. A damaged
record at the end of the last file is a write that a crash interrupted before it was acknowledged:
it is dropped.
"""

import struct
import zlib
from dataclasses import dataclass

from heronladder_runtime.errors import CorruptFileError

_MAGIC = b"\xf1HL1"
_HEADER = struct.Struct("<4sII")  # magic, length of the payload, CRC-32 of the payload


def frame_record(payload: bytes) -> bytes:
    """Return ``payload`` as a record with header and checksum."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


@dataclass
class ScanResult:
    """Payloads of a file in order, and the offset in bytes at which the valid records end."""

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
        last_file: Whether this is the newest file, whose last record may be incomplete.

    Raises:
        CorruptFileError: If synced bytes are damaged; the error names file and offset.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _record_at(data, offset)
        if payload is None:
            if not last_file or _has_valid_record_after(data, offset):
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


def _has_valid_record_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset + 1)
    while position != -1:
        if _record_at(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False
