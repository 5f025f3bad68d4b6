"""Commands as the replicated log carries them: large ones packed.

A configuration of 14,000 routes with its document is 3.9 MB. A leader sends each entry to
four followers, and each call must be answered within two fifths of an election timeout:
at 170 Mbit/s such an entry never came through, and the group went without a lasting
leader. Packed it takes a twelfth of that time (tests/test_command_packing.py).
"""

import zlib

from heronladder_schema.v1 import control_pb2

COMPRESSION_THRESHOLD_BYTES = 4_096  # smaller commands gain nothing
_PACKED = b"\x00"  # no command begins with it: field numbers begin at 1
_LEVEL = 1  # the fastest: routes are alike, higher levels save little


def encode_command(command: control_pb2.Command) -> bytes:
    """Return a command as a log entry."""
    data = command.SerializeToString()
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return data
    return _PACKED + zlib.compress(data, _LEVEL)


def decode_command(data: bytes) -> control_pb2.Command:
    """Return the command of a log entry, packed or not."""
    if data.startswith(_PACKED):
        data = zlib.decompress(data[len(_PACKED) :])
    return control_pb2.Command.FromString(data)
