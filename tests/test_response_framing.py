"""The check of a response's bytes, however they are cut into pieces."""

import random
import unittest

from heronladder_runtime.response_framing import MalformedResponseError, ResponseFraming
from malformed_responses import MALFORMED_BODIES, MALFORMED_HEADS, SOUND, SOUND_BODY

_PIECE = b"x" * 1024
_MOST_BYTES = 70_000  # of a head, a chunk's line or a trailer without end
_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _feed(pieces: list[bytes], *, has_body: bool = True) -> tuple[bytes, str]:
    """Return the bytes of the response, and its end: complete, incomplete, or what is malformed."""
    framing = ResponseFraming("replica", has_body=has_body)
    own = b""
    try:
        for piece in pieces:
            own += framing.feed(piece)
    except MalformedResponseError as error:
        return b"", error.message
    return own, "excess" if framing.has_excess else str(framing.is_complete)


def _at_random(data: bytes, seed: int) -> list[bytes]:
    generator = random.Random(seed)
    cuts = sorted(generator.sample(range(len(data) + 1), min(3, len(data))))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


class ResponseFramingTest(unittest.TestCase):
    def test_each_malformed_response_is_refused_in_any_pieces(self) -> None:
        for kind, data in (MALFORMED_HEADS | MALFORMED_BODIES).items():
            with self.subTest(kind=kind):
                self.assertIn("malformed", _feed([data])[1])
                self.assertIn("malformed", _feed([bytes([byte]) for byte in data])[1])
                for seed in range(20):
                    self.assertIn("malformed", _feed(_at_random(data, seed))[1], seed)

    def test_each_sound_response_is_complete_in_any_pieces(self) -> None:
        for kind, data in SOUND.items():
            with self.subTest(kind=kind):
                own, end = _feed([data])
                self.assertEqual(end, "True")
                self.assertTrue(data.endswith(own))
                self.assertEqual(_feed([bytes([byte]) for byte in data]), (own, end))
                for seed in range(20):
                    self.assertEqual(_feed(_at_random(data, seed)), (own, end), seed)

    def test_informational_heads_are_left_out(self) -> None:
        own, _ = _feed([SOUND["two informational heads"]])
        self.assertEqual(own, SOUND["a length"])

    def test_bytes_after_the_end_are_left_out(self) -> None:
        for kind in ("a length", "chunks", "chunks with a trailer"):
            whole = SOUND[kind]
            for more in (b"x", b"\r\n", whole):
                self.assertEqual(_feed([whole + more]), (whole, "excess"))
                self.assertEqual(_feed([whole[:-3], whole[-3:] + more]), (whole, "excess"))

    def test_a_response_without_a_body_ends_with_its_head(self) -> None:
        for status in (b"204 No Content", b"304 Not Modified"):
            head = b"HTTP/1.1 " + status + b"\r\n\r\n"
            self.assertEqual(_feed([head]), (head, "True"))
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        self.assertEqual(_feed([head], has_body=False), (head, "True"))
        self.assertEqual(_feed([head + SOUND_BODY], has_body=False), (head, "excess"))

    def test_a_body_without_a_length_has_no_end(self) -> None:
        data = b"HTTP/1.1 200 OK\r\n\r\n" + SOUND_BODY
        self.assertEqual(_feed([data, data]), (data + data, "False"))

    def test_what_has_no_end_is_refused_within_a_bound(self) -> None:
        for kind, first, again in (
            ("status line", b"HTTP/1.1 200 ", _PIECE),
            ("fields", b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
            ("value", b"HTTP/1.1 200 OK\r\nX: ", _PIECE),
            ("name", b"HTTP/1.1 200 OK\r\n", _PIECE),
            ("informational heads", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("blank lines", b"", b"\r\n"),
            ("garbage", b"", _PIECE),
            ("chunk size", _CHUNKED_HEAD, b"0" * 100),
            ("chunk extension", _CHUNKED_HEAD + b"4;", _PIECE),
            ("end of a chunk", _CHUNKED_HEAD + b"4\r\ndone", _PIECE),
            ("trailer", _CHUNKED_HEAD + b"0\r\n", b"X: y\r\n"),
            ("value of a trailer", _CHUNKED_HEAD + b"0\r\nX: ", _PIECE),
        ):
            with self.subTest(kind=kind):
                pieces = [first] + [again] * (_MOST_BYTES // len(again))
                self.assertIn("malformed", _feed(pieces)[1])

    def test_an_error_names_the_peer_and_a_bounded_part_of_the_bytes(self) -> None:
        for data, excerpt in (
            (b"HTTP/1.1 000 W\x01\r\nX: y", r"b'HTTP/1.1 000 W\x01\r'"),
            (b"garbage " * 2000, f"b'{'garbage ' * 10}' and 15920 more bytes"),
        ):
            with self.assertRaises(MalformedResponseError) as caught:
                ResponseFraming("10.0.0.9:8080").feed(data)
            self.assertEqual(caught.exception.peer, "10.0.0.9:8080")
            self.assertEqual(
                caught.exception.message, f"malformed response: status line: {excerpt}"
            )


if __name__ == "__main__":
    unittest.main()
