"""HTTP/1.1 as a client, without I/O: request heads and bounded parsers of responses, fed in pieces.

Format: RFC 9112
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .limits import Limits

CRLF: Final = b"\r\n"
RETRY_AFTER_DIGITS: Final = 4  # 9999 s at most: more is no wait that anybody means


class HttpError(ValueError):
    """The peer does not speak HTTP/1.1, or goes past a limit."""


def get(host: str, path: str) -> bytes:
    """A GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


def post(host: str, path: str) -> bytes:
    """A POST request without a body."""
    return f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n".encode()


class LineReader:
    """Reads the body of one response line by line, whether it comes in chunks, by length or until the end.

    A state machine: `_state` takes what it can of the buffer, and says whether it is worth a call again.
    """

    __slots__ = (
        "limits",
        "status",
        "done",
        "retry_after_s",
        "_buffer",
        "_state",
        "_left_bytes",
        "_line",
        "_headers",
        "_chunked",
        "_content_length",
    )

    def __init__(self, limits: Limits) -> None:
        """`limits`: of lines, headers and the body's lines."""
        self.limits = limits
        self.status = 0  # 0 until the status line has come
        self.done = False  # the body is complete
        self.retry_after_s = 0  # as the head asks, where it gives seconds
        self._buffer = b""
        self._state = self._read_status_line
        self._left_bytes = 0  # of the body or the chunk; -1: until the connection ends
        self._headers = 0
        self._line = bytearray()  # body not yet ended by a line feed
        self._chunked = False
        self._content_length = -1  # -1: not given

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete by now, without their ends. Raises HttpError."""
        self._buffer += data
        lines: list[bytes] = []
        while not self.done and self._state(lines):
            pass
        return lines

    def feed_eof(self) -> list[bytes]:
        """The peer has ended its sending: the last line, where only that tells the body's end."""
        lines: list[bytes] = []
        if not self.done and self._state == self._read_plain and self._left_bytes < 0:
            self._finish(lines)
        return lines

    @property
    def remaining_data(self) -> bytes:
        """What came behind the response, once that is done."""
        return self._buffer

    def _take_head_line(self) -> bytes | None:
        end = self._buffer.find(CRLF)
        if end < 0:
            if len(self._buffer) > self.limits.line_bytes:
                raise HttpError("too long a line")
            return None
        line, self._buffer = self._buffer[:end], self._buffer[end + 2 :]
        return line

    def _read_status_line(self, _: list[bytes]) -> bool:
        line = self._take_head_line()
        if line is None:
            return False
        words = line.split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise HttpError("no status line")
        self.status = int(words[1])
        self._state = self._read_header
        return True

    def _read_header(self, _: list[bytes]) -> bool:
        line = self._take_head_line()
        if line is None:
            return False
        if line:
            self._take_header(line)
        else:
            self._end_head()
        return True

    def _take_header(self, line: bytes) -> None:
        self._headers += 1
        if self._headers > self.limits.header_lines:
            raise HttpError("too many headers")
        name, _, value = line.partition(b":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == b"transfer-encoding":
            self._chunked = value.endswith(b"chunked")
        elif name == b"content-length":
            if not value.isdigit():
                raise HttpError("no length")
            self._content_length = int(value)
        elif name == b"retry-after" and value.isdigit() and len(value) <= RETRY_AFTER_DIGITS:
            self.retry_after_s = int(value)

    def _end_head(self) -> None:
        if 100 <= self.status < 200:  # an interim response has no body: the one asked for comes behind it
            self._headers, self._chunked, self._content_length = 0, False, -1
            self._state = self._read_status_line
        elif self._chunked:
            self._state = self._read_chunk_size
        else:
            self._left_bytes = self._content_length
            self._state = self._read_plain
            self.done = self._left_bytes == 0

    def _read_chunk_size(self, _: list[bytes]) -> bool:
        line = self._take_head_line()
        if line is None:
            return False
        try:
            self._left_bytes = int(line.partition(b";")[0], 16)
        except ValueError:
            raise HttpError("no chunk size") from None
        if self._left_bytes < 0 or self._left_bytes > self.limits.table_bytes:
            raise HttpError("too large a chunk")
        self._state = self._read_chunk if self._left_bytes else self._read_trailer
        return True

    def _read_chunk(self, lines: list[bytes]) -> bool:
        part = self._buffer[: self._left_bytes]
        self._buffer = self._buffer[len(part) :]
        self._left_bytes -= len(part)
        self._add_to_body(part, lines)
        if self._left_bytes == 0:
            self._state = self._read_chunk_end
            return True
        return False

    def _read_chunk_end(self, _: list[bytes]) -> bool:
        if len(self._buffer) < 2:
            return False
        if self._buffer[:2] != CRLF:
            raise HttpError("a chunk without its end")
        self._buffer = self._buffer[2:]
        self._state = self._read_chunk_size
        return True

    def _read_trailer(self, lines: list[bytes]) -> bool:
        line = self._take_head_line()
        if line == b"":
            self._finish(lines)
        return line is not None

    def _read_plain(self, lines: list[bytes]) -> bool:
        part = self._buffer if self._left_bytes < 0 else self._buffer[: self._left_bytes]
        self._buffer = self._buffer[len(part) :]
        self._add_to_body(part, lines)
        if self._left_bytes > 0:
            self._left_bytes -= len(part)
        if self._left_bytes == 0:
            self._finish(lines)
        return False

    def _finish(self, lines: list[bytes]) -> None:
        self.done = True
        if self._line:
            lines.append(bytes(self._line))
            self._line.clear()

    def _add_to_body(self, part: bytes, lines: list[bytes]) -> None:
        self._line += part
        if b"\n" in part:
            *complete, rest = bytes(self._line).split(b"\n")
            lines.extend(line.rstrip(b"\r") for line in complete)
            self._line = bytearray(rest)
        if len(self._line) > self.limits.table_bytes:
            raise HttpError("too long a line of the body")


class Response(NamedTuple):
    """One response."""

    status: int
    body: bytes  # its lines, joined by line feeds


class PipelinedResponses:
    """Reads the responses to requests that were written one behind another, in their order."""

    __slots__ = ("_limits", "_reader", "_lines")

    def __init__(self, limits: Limits) -> None:
        """`limits`: of each response."""
        self._limits = limits
        self._reader = LineReader(limits)
        self._lines: list[bytes] = []

    def feed(self, data: bytes) -> list[Response]:
        """The responses that are complete by now. Raises HttpError where nothing after can be understood."""
        responses: list[Response] = []
        while data:
            self._lines += self._reader.feed(data)
            if not self._reader.done:
                break
            responses.append(Response(self._reader.status, b"\n".join(self._lines)))
            data, self._reader, self._lines = self._reader.remaining_data, LineReader(self._limits), []
        return responses
