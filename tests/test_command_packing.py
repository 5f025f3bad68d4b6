"""Compression of large configurations in the replicated log."""

import json
import unittest

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.command_packing import (
    COMPRESSION_THRESHOLD_BYTES,
    decode_command,
    encode_command,
)
from heronladder_control.state import ControlState
from heronladder_platform.configuration import read_configuration
from heronladder_schema.v1 import control_pb2
from platform_stand_ins import configuration, route

_ROUTES = 14_000
_FOLLOWERS = 4
_LINK_BITS_PER_S = 170_000_000  # bandwidth of a control member's machine
_ELECTION_TIMEOUT_S = 0.8


def _command(routes: int) -> control_pb2.Command:
    entries = [
        route(f"/{number * 7919:x}/", name=f"r-{number * 104729:x}") for number in range(routes)
    ]
    body = json.dumps(configuration(7, *entries)).encode()
    command = control_pb2.Command()
    command.apply_configuration.configuration.CopyFrom(read_configuration(body))
    return command


def _seconds_to_followers(data: bytes) -> float:
    return len(data) * 8 * _FOLLOWERS / _LINK_BITS_PER_S


class CommandPackingTest(unittest.TestCase):
    def test_large_configuration_reaches_all_followers_within_one_call(self) -> None:
        """Guards against a group without a lasting leader while a large change is pending.

        Each call with the uncompressed entry timed out, so the leader got no responses and
        stepped down, and so did each of its successors.
        """
        command = _command(_ROUTES)
        call_timeout_s = ConsensusTiming(_ELECTION_TIMEOUT_S).call_timeout_s
        uncompressed_s = _seconds_to_followers(command.SerializeToString())
        self.assertGreater(uncompressed_s, call_timeout_s)
        compressed_s = _seconds_to_followers(encode_command(command))
        self.assertLess(compressed_s, call_timeout_s / 4)

    def test_state_applies_commands_with_and_without_compression(self) -> None:
        for command in (_command(1), _command(_ROUTES)):
            data = encode_command(command)
            self.assertEqual(decode_command(data), command)
            for entry in (data, command.SerializeToString()):
                state = ControlState("r1")
                result = state.apply(1, entry)
                self.assertEqual(result.code, control_pb2.RESULT_CODE_OK)
        self.assertLess(len(encode_command(_command(1))), COMPRESSION_THRESHOLD_BYTES)


if __name__ == "__main__":
    unittest.main()
