"""Responses of a faulty replica that are not HTTP, and unusual ones that are.

Each is a template; ``{id}`` stands for the id of the request that it responds to.
"""

_OK = b"HTTP/1.1 200 OK\r\n"
_OWN = b"Request-Id: {id}\r\nServer-Stamp: stamp-1\r\n"
_LENGTH = b"Content-Length: 4\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_BODY = b"done"
_CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"
_HIGHEST_CHUNK = b"fffffffffffffffff"  # 17 digits: over 64 bits

#: What a whole body of a sound response is.
SOUND_BODY = _BODY


def _status_line(line: bytes) -> bytes:
    return line + b"\r\n" + _OWN + _LENGTH + b"\r\n" + _BODY


def _field(line: bytes) -> bytes:
    return _OK + _OWN + line + b"\r\n" + _LENGTH + b"\r\n" + _BODY


def _framing(*lines: bytes, body: bytes = _BODY, first: bytes = _OK) -> bytes:
    return first + _OWN + b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body


def _chunks(body: bytes) -> bytes:
    return _OK + _OWN + _CHUNKED + b"\r\n" + body


_STATUS_LINES = {
    f"status {status}": f"HTTP/1.1 {status} What".encode()
    for status in (
        [
            "000",
            "001",
            "020",
            "099",
            "600",
            "700",
            "999",
            "1000",
            "20",
            "2",
            "0",
            "abc",
            "2x0",
            "-20",
            "+20",
            "2.0",
            "0200",
            "101",
            "199x",
        ]
    )
} | {
    "status 000 alone": b"HTTP/1.1 000",
    "no status": b"HTTP/1.1",
    "no status but a blank": b"HTTP/1.1 ",
    "two blanks": b"HTTP/1.1  200 OK",
    "a tab": b"HTTP/1.1\t200 OK",
    "a tab after the status": b"HTTP/1.1 200\tOK",
    "an early blank": b" HTTP/1.1 200 OK",
    "an early tab": b"\tHTTP/1.1 200 OK",
    "an early NUL": b"\0HTTP/1.1 200 OK",
    "version 0.9": b"HTTP/0.9 200 OK",
    "version 1.2": b"HTTP/1.2 200 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "version 2": b"HTTP/2 200 OK",
    "version 9.9": b"HTTP/9.9 200 OK",
    "version 11": b"HTTP/11 200 OK",
    "version 1.1.1": b"HTTP/1.1.1 200 OK",
    "version 1.10": b"HTTP/1.10 200 OK",
    "small letters": b"http/1.1 200 OK",
    "another protocol": b"RTSP/1.0 200 OK",
    "ICY": b"ICY 200 OK",
    "a request": b"GET / HTTP/1.1",
    "digits that are not ASCII": "HTTP/1.1 \u0662\u0660\u0660 OK".encode(),
    "NUL in the reason": b"HTTP/1.1 200 O\0K",
    "0x01 in the reason": b"HTTP/1.1 200 O\x01K",
    "DEL in the reason": b"HTTP/1.1 200 O\x7fK",
    "CR in the reason": b"HTTP/1.1 200 O\rK",
}

_FIELDS = (
    {
        f"{name} in a name": b"X" + byte + b"Y: z"
        for name, byte in {
            "a blank": b" ",
            "a tab": b"\t",
            "NUL": b"\0",
            "0x01": b"\x01",
            "0x0b": b"\x0b",
            "0x1f": b"\x1f",
            "DEL": b"\x7f",
            "CR": b"\r",
            "0x80": b"\x80",
            "0xff": b"\xff",
            "a parenthesis": b"(",
            "a quote": b'"',
            "a slash": b"/",
            "a brace": b"{",
            "a comma": b",",
        }.items()
    }
    | {
        f"{name} in a value": b"X-More: y" + byte + b"z"
        for name, byte in {
            "NUL": b"\0",
            "0x01": b"\x01",
            "0x08": b"\x08",
            "0x0b": b"\x0b",
            "0x0c": b"\x0c",
            "0x1b": b"\x1b",
            "0x1f": b"\x1f",
            "DEL": b"\x7f",
            "CR": b"\r",
        }.items()
    }
    | {
        "a blank before the colon": b"X-More : y",
        "a tab before the colon": b"X-More\t: y",
        "no name": b": y",
        "a blank as the name": b" : y",
        "no colon": b"X-More",
        "a folded line": b"X-More: y\r\n z",
        "a line folded by a tab": b"X-More: y\r\n\tz",
        "a blank line of blanks": b"X-More: y\r\n  ",
    }
)

_FRAMINGS = {
    "chunked twice": _framing(b"Transfer-Encoding: chunked, chunked", body=_CHUNKS),
    "gzip, chunked": _framing(b"Transfer-Encoding: gzip, chunked", body=_CHUNKS),
    "chunked, gzip": _framing(b"Transfer-Encoding: chunked, gzip", body=_CHUNKS),
    "xchunked": _framing(b"Transfer-Encoding: xchunked", body=_CHUNKS),
    "chunked with a parameter": _framing(b"Transfer-Encoding: chunked;q=1", body=_CHUNKS),
    "identity": _framing(b"Transfer-Encoding: identity"),
    "no encoding": _framing(b"Transfer-Encoding:"),
    "two lines of encodings": _framing(
        b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked", body=_CHUNKS
    ),
    "an encoding and a length": _framing(
        b"Transfer-Encoding: chunked", b"Content-Length: 4", body=_CHUNKS
    ),
    "a length and an encoding": _framing(
        b"Content-Length: 4", b"Transfer-Encoding: chunked", body=_CHUNKS
    ),
    "chunks in version 1.0": _framing(
        b"Transfer-Encoding: chunked", body=_CHUNKS, first=b"HTTP/1.0 200 OK\r\n"
    ),
    "chunks without a body": _framing(
        b"Transfer-Encoding: chunked", body=b"", first=b"HTTP/1.1 204 No Content\r\n"
    ),
    "two lengths": _framing(b"Content-Length: 4", b"Content-Length: 2"),
    "two lengths, the first shorter": _framing(b"Content-Length: 2", b"content-length: 4"),
    "a length twice": _framing(b"Content-Length: 4", b"Content-Length: 4"),
    "a list of lengths": _framing(b"Content-Length: 4, 4"),
    "a length with a sign": _framing(b"Content-Length: +4"),
    "a length below 0": _framing(b"Content-Length: -4"),
    "a hexadecimal length": _framing(b"Content-Length: 0x4"),
    "a length with letters": _framing(b"Content-Length: 4a"),
    "a length with a blank": _framing(b"Content-Length: 4 4"),
    "a length with an underscore": _framing(b"Content-Length: 0_4"),
    "a length that is not ASCII": _framing("Content-Length: \u0664".encode()),
    "no length": _framing(b"Content-Length:"),
    "a length over 64 bits": _framing(b"Content-Length: 99999999999999999999"),
}

_BODIES = {
    "no chunk size": _chunks(b"\r\ndone\r\n0\r\n\r\n"),
    "a chunk size of letters": _chunks(b"zz\r\ndone\r\n0\r\n\r\n"),
    "a chunk size below 0": _chunks(b"-4\r\ndone\r\n0\r\n\r\n"),
    "a chunk size with a sign": _chunks(b"+4\r\ndone\r\n0\r\n\r\n"),
    "a chunk size with an underscore": _chunks(b"0_4\r\ndone\r\n0\r\n\r\n"),
    "a chunk size with 0x": _chunks(b"0x4\r\ndone\r\n0\r\n\r\n"),
    "a chunk that is too long": _chunks(b"3\r\ndone\r\n0\r\n\r\n"),
    "a chunk that is too short": _chunks(b"5\r\ndone\r\n0\r\n\r\n"),
    "a chunk without an end": _chunks(b"4\r\ndone0\r\n\r\n"),
}

_BEFORE_A_HEAD = {
    "garbage": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "text": b"Segmentation fault (core dumped)\n",
    "a page": b"<html><body>oops</body></html>\r\n\r\n",
    "a blank line": b"\r\n" + _field(b"X-More: y"),
    "blank lines": b"\r\n" * 10 + _field(b"X-More: y"),
    "a line feed": b"\n" + _field(b"X-More: y"),
    "000 after an informational head": b"HTTP/1.1 100 Continue\r\n\r\n"
    + _status_line(b"HTTP/1.1 000 What"),
    "099 after an informational head": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    + _status_line(b"HTTP/1.1 099 What"),
    "a bad field in an informational head": b"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n"
    + _field(b"X-More: y"),
    "protocols switched": b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\n" + _OWN + b"\r\n",
    "a field first": _OWN + b"\r\n",
    "a first field that begins with a blank": _OK
    + b" X-More: y\r\n"
    + _OWN
    + _LENGTH
    + b"\r\ndone",
    "a first field that begins with a tab": _OK + b"\tX-More: y\r\n" + _OWN + _LENGTH + b"\r\ndone",
}

#: Heads that no response may have, by what is wrong with them.
MALFORMED_HEADS: dict[str, bytes] = (
    {kind: _status_line(line) for kind, line in _STATUS_LINES.items()}
    | {kind: _field(line) for kind, line in _FIELDS.items()}
    | _FRAMINGS
    | _BEFORE_A_HEAD
)

#: Bodies that are not framed as their head says.
MALFORMED_BODIES: dict[str, bytes] = _BODIES | {
    "a chunk size over 64 bits": _chunks(_HIGHEST_CHUNK + b"\r\ndone\r\n0\r\n\r\n"),
}

#: Responses that are unusual but sound; the status of each is 200 and its body ``SOUND_BODY``.
SOUND: dict[str, bytes] = {
    "a length": _field(b"X-More: y"),
    "no reason": _status_line(b"HTTP/1.1 200 "),
    "no blank after the status": _status_line(b"HTTP/1.1 200"),
    "a reason of blanks and tabs": _status_line(b"HTTP/1.1 200  very\twell "),
    "a reason that is not ASCII": _status_line("HTTP/1.1 200 muy bien, se\u00f1or".encode()),
    "a reason that is not UTF-8": _status_line(b"HTTP/1.1 200 se\xf1or"),
    "version 1.0": _status_line(b"HTTP/1.0 200 OK"),
    "version 1.0 that is kept": _framing(
        b"Connection: keep-alive", b"Content-Length: 4", first=b"HTTP/1.0 200 OK\r\n"
    ),
    "a value that is not ASCII": _field("X-More: se\u00f1or".encode()),
    "a value that is not UTF-8": _field(b"X-More: se\xf1or"),
    "a tab in a value": _field(b"X-More: y\tz"),
    "blanks around a value": _field(b"X-More: \t y \t "),
    "an empty value": _field(b"X-More:"),
    "no blank after the colon": _field(b"X-More:y"),
    "colons in a value": _field(b"X-More: y: z"),
    "all signs in a name": _field(b"!#$%&'*+-.^_`|~0Az: y"),
    "a name twice": _field(b"X-More: y\r\nX-More: z"),
    "small letters": _framing(b"content-length: 4"),
    "zeros before a length": _framing(b"Content-Length: 0004"),
    "line feeds alone": _field(b"X-More: y").replace(b"\r\n", b"\n"),
    "chunks": _chunks(_CHUNKS),
    "chunks in capitals": _framing(b"Transfer-Encoding: CHUNKED", body=_CHUNKS),
    "chunks with an extension": _chunks(b"4;x=y\r\ndone\r\n0;z\r\n\r\n"),
    "chunks with a trailer": _chunks(b"4\r\ndone\r\n0\r\nX-More: y\r\n\r\n"),
    "chunks of one byte": _chunks(b"1\r\nd\r\n1\r\no\r\n1\r\nn\r\n1\r\ne\r\n0\r\n\r\n"),
    "a chunk size with zeros": _chunks(b"0004\r\ndone\r\n000\r\n\r\n"),
    "an informational head": b"HTTP/1.1 100 Continue\r\n\r\n" + _field(b"X-More: y"),
    "two informational heads": b"HTTP/1.1 102 Processing\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + _field(b"X-More: y"),
    "an offer to upgrade": _framing(
        b"Connection: Upgrade", b"Upgrade: websocket", b"Content-Length: 4"
    ),
    "many fields": _field(b"\r\n".join(b"X-%d: y" % number for number in range(90))),
    "a long value": _field(b"X-More: " + b"y" * 30_000),
}
