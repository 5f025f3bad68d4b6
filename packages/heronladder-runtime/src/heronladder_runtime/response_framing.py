"""Checks that the bytes of a response are HTTP/1, before aiohttp's parser reads them.

That parser is lenient in responses, and there are two of it: one in C, and one in Python that is
used where the extension is missing. They differ in what they let through. What passes here means
the same to both. See RFC 9112, sections 2.2, 4, 5, 6.3 and 7.1.
"""

import re

import aiohttp

from heronladder_runtime.errors import HeronladderError

_MAX_HEAD_BYTES = 65_536  # of all heads of a response, including informational ones
_MAX_CHUNK_LINE_BYTES = 4_096
_MAX_TRAILER_BYTES = 65_536
_MAX_EXCERPT_BYTES = 80

_VERSION = b"HTTP/1."
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n")
_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT + rb"\r?\n"
_FIELDS = re.compile(rb"(?:" + _FIELD + rb")*")
_ENDS_OF_HEAD = (b"\r\n", b"\n")
_CONTENT_LENGTH = b"\ncontent-length:"
_TRANSFER_ENCODING = b"\ntransfer-encoding:"
_LENGTH = re.compile(rb"[0-9]{1,18}")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;" + _TEXT + rb")?\r\n")
_TRAILER = re.compile(_FIELD)
_CRLF = b"\r\n"

_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_NO_CONTENT = 204
_STATUSES_WITHOUT_BODY = (_NO_CONTENT, 304)


class MalformedResponseError(HeronladderError, aiohttp.ClientError):
    """The bytes of a peer are not a response; whether it ran the request is unknown."""


class _Part:
    """Part of a response that the next byte belongs to.

    No Enum: looking up a member takes 0.1 us, and each segment takes several.
    """

    HEAD = "head"
    LENGTH = "body with a length"
    CHUNK_LINE = "chunk size"
    CHUNK_END = "end of a chunk"
    TRAILER = "trailer"
    UNTIL_CLOSE = "body until the connection ends"
    COMPLETE = "complete"


def _field_values(fields: bytes, name: bytes) -> list[bytes]:
    """Return the values of all fields of a name.

    Args:
        fields: Well-formed head, in lower case.
        name: Name of the field, in lower case, between the line break before it and its colon.
    """
    values = []
    position = fields.find(name)
    while position >= 0:
        position += len(name)
        values.append(fields[position : fields.index(b"\n", position)].strip(b" \t\r"))
        position = fields.find(name, position)
    return values


def _chunk_end(data: bytes, position: int) -> int:
    """Return the end of the chunk that begins at a position; 0 unless all of it is well-formed."""
    line = _CHUNK_LINE.match(data, position)
    if line is None or line.end() - position > _MAX_CHUNK_LINE_BYTES:
        return 0
    size = int(line[1], 16)
    end = line.end() + size
    return end + len(_CRLF) if size and data.startswith(_CRLF, end) else 0


class ResponseFraming:
    """Follows the bytes of one response, and finds its end.

    Args:
        peer: Address of the sender, for errors.
        has_body: Whether the response may have a body; false for one to a HEAD request.

    Attributes:
        has_excess: Whether bytes came after the end of the response.
    """

    def __init__(self, peer: str, *, has_body: bool = True) -> None:
        self.has_excess = False
        self._peer = peer
        self._has_body = has_body
        self._part = _Part.HEAD
        self._head = b""
        self._status = 0  # 0 until the status line has arrived
        self._is_http_1_0 = False
        self._checked_bytes = 0  # of the head: complete lines that are well-formed
        self._informational_bytes = 0
        self._line = b""  # beginning of a line of a chunked body
        self._trailer_bytes = 0
        self._remaining_bytes = 0  # of the body with a length, or of the chunk

    @property
    def is_complete(self) -> bool:
        """Whether the end of the response has come; never for one that its connection ends."""
        return self._part == _Part.COMPLETE

    def feed(self, data: bytes) -> bytes:
        """Check bytes that have arrived.

        Returns:
            The bytes that belong to the response, from the first byte of its head once that has
            arrived in full. Informational heads and bytes after the end are left out.

        Raises:
            MalformedResponseError: If they are no part of a response.
        """
        if self._part != _Part.HEAD:
            return data[: self._body_end(data, 0)]
        self._head += data
        if b"\n" not in data:
            self._check_incomplete_head()
            return b""
        while (body_start := self._find_body()) is not None:
            if self._begin_body(body_start):
                received, self._head = self._head, b""
                return received[: self._body_end(received, body_start)]
            self._informational_bytes += body_start
            self._head = self._head[body_start:]
            self._status = 0
        self._check_incomplete_head()
        return b""

    # ---- head -------------------------------------------------------------

    def _find_body(self) -> int | None:
        """Return where the body begins; None if the head is incomplete."""
        if not self._status:
            line = _STATUS_LINE.match(self._head)
            if line is None:
                if b"\n" in self._head:
                    raise self._malformed("status line", self._head)
                return None
            self._is_http_1_0 = line[1] == b"0"
            self._status = int(line[2])
            self._checked_bytes = line.end()
        fields = _FIELDS.match(self._head, self._checked_bytes)
        assert fields is not None  # it also matches if there is no field
        self._checked_bytes = fields.end()
        for end in _ENDS_OF_HEAD:
            if self._head.startswith(end, self._checked_bytes):
                return self._checked_bytes + len(end)
        if self._head.find(b"\n", self._checked_bytes) >= 0:
            raise self._malformed("field", self._head[self._checked_bytes :])
        return None

    def _check_incomplete_head(self) -> None:
        if self._head[: len(_VERSION)] != _VERSION[: len(self._head)]:
            raise self._malformed("status line", self._head)
        if self._informational_bytes + len(self._head) > _MAX_HEAD_BYTES:
            raise self._malformed(f"head over {_MAX_HEAD_BYTES} bytes", self._head)

    def _begin_body(self, body_start: int) -> bool:
        """Choose how the body is framed; return false after an informational head."""
        if self._status == _SWITCHING_PROTOCOLS:
            raise self._malformed("switch of protocols that was not asked for", self._head)
        if self._informational_bytes + body_start > _MAX_HEAD_BYTES:
            raise self._malformed(f"head over {_MAX_HEAD_BYTES} bytes", self._head)
        if self._status < _FIRST_FINAL_STATUS:
            return False
        fields = self._head[:body_start].lower()
        lengths = _field_values(fields, _CONTENT_LENGTH)
        encodings = _field_values(fields, _TRANSFER_ENCODING)
        if len(lengths) + len(encodings) > 1:
            raise self._malformed("framing given more than once", b", ".join(lengths + encodings))
        if lengths and not _LENGTH.fullmatch(lengths[0]):
            raise self._malformed("Content-Length", lengths[0])
        if encodings and encodings[0] != b"chunked":
            raise self._malformed("Transfer-Encoding", encodings[0])
        if encodings and (self._is_http_1_0 or self._status == _NO_CONTENT):
            raise self._malformed("Transfer-Encoding after the status line", self._head)
        if not self._has_body or self._status in _STATUSES_WITHOUT_BODY:
            self._part = _Part.COMPLETE
        elif encodings:
            self._part = _Part.CHUNK_LINE
        elif lengths:
            self._remaining_bytes = int(lengths[0])
            self._part = _Part.LENGTH if self._remaining_bytes else _Part.COMPLETE
        else:
            self._part = _Part.UNTIL_CLOSE
        return True

    # ---- body -------------------------------------------------------------

    def _body_end(self, data: bytes, position: int) -> int:
        """Check the body from a position on; return up to where the data belong to it."""
        end = len(data)
        if self._part == _Part.UNTIL_CLOSE:
            return end
        while position < end and self._part != _Part.COMPLETE:
            if self._part == _Part.CHUNK_LINE and not self._line:
                chunk_end = _chunk_end(data, position)
                if chunk_end:
                    position = chunk_end
                    continue
            if self._remaining_bytes:
                taken = min(self._remaining_bytes, end - position)
                self._remaining_bytes -= taken
                position += taken
                if self._part == _Part.LENGTH and not self._remaining_bytes:
                    self._part = _Part.COMPLETE
                continue
            line_end = data.find(b"\n", position) + 1
            if not line_end:
                self._line += data[position:]
                self._check_line_size(self._line)
                if self._part == _Part.CHUNK_END and not _CRLF.startswith(self._line):
                    raise self._malformed(self._part, self._line)
                return end
            line, self._line = self._line + data[position:line_end], b""
            self._take_line(line)
            position = line_end
        self.has_excess = self.has_excess or position < end
        return position

    def _take_line(self, line: bytes) -> None:
        """Check a line of a chunked body."""
        self._check_line_size(line)
        if self._part == _Part.CHUNK_LINE:
            found = _CHUNK_LINE.fullmatch(line)
            if found is None:
                raise self._malformed(self._part, line)
            self._remaining_bytes = int(found[1], 16)
            self._part = _Part.CHUNK_END if self._remaining_bytes else _Part.TRAILER
        elif line == _CRLF:
            is_chunk = self._part == _Part.CHUNK_END
            self._part = _Part.CHUNK_LINE if is_chunk else _Part.COMPLETE
        elif self._part == _Part.CHUNK_END or not _TRAILER.fullmatch(line):
            raise self._malformed(self._part, line)
        else:
            self._trailer_bytes += len(line)

    def _check_line_size(self, line: bytes) -> None:
        if self._part == _Part.CHUNK_LINE and len(line) > _MAX_CHUNK_LINE_BYTES:
            raise self._malformed(f"chunk size over {_MAX_CHUNK_LINE_BYTES} bytes", line)
        if self._trailer_bytes + len(line) > _MAX_TRAILER_BYTES:
            raise self._malformed(f"trailer over {_MAX_TRAILER_BYTES} bytes", line)

    def _malformed(self, what: str, data: bytes) -> MalformedResponseError:
        line = data.partition(b"\n")[0]
        excerpt = line[:_MAX_EXCERPT_BYTES]
        more = f" and {len(line) - len(excerpt)} more bytes" if len(line) > len(excerpt) else ""
        step = "read_head" if self._part == _Part.HEAD else "read_body"
        return MalformedResponseError(
            f"malformed response: {what}: {excerpt!r}{more}", step=step, peer=self._peer
        )
