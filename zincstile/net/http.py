"""HTTP/1.1 as a client, no I/O: a writer of requests and a bounded parser of one answer, fed in pieces."""

from __future__ import annotations

from .limits import Limits

CRLF = b"\r\n"


class HttpError(ValueError):
    """The peer does not speak HTTP/1.1, or goes past a limit."""


def get(host: str, path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


def post(host: str, path: str) -> bytes:
    """Without a body."""
    return f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n".encode()


class LineReader:
    """The body of one answer, line by line, whether it comes in chunks, by length or until the end."""

    __slots__ = (
        "limits",
        "status",
        "done",
        "retry_after_s",
        "_buf",
        "_state",
        "_left",
        "_line",
        "_headers",
        "_chunked",
        "_length",
    )

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.status = 0
        self.done = False  # the body is over
        self.retry_after_s = 0  # as the answer's head asks, where it gives seconds
        self._buf = b""
        self._state = self._status_line
        self._left = self._headers = 0
        self._line = bytearray()  # body not yet ended by a line feed
        self._chunked, self._length = False, -1

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole by now, without their ends."""
        self._buf += data
        lines: list[bytes] = []
        while not self.done and self._state(lines):
            pass
        return lines

    def end(self) -> list[bytes]:
        """The other side has ended its sending: the last line, where only that tells the body's end."""
        lines: list[bytes] = []
        if not self.done and self._state == self._plain and self._left < 0:
            self._end(lines)
        return lines

    @property
    def rest(self) -> bytes:
        """What came behind the answer, once that is done."""
        return self._buf

    def _head(self) -> bytes | None:
        end = self._buf.find(CRLF)
        if end < 0:
            if len(self._buf) > self.limits.line_bytes:
                raise HttpError("too long a line")
            return None
        line, self._buf = self._buf[:end], self._buf[end + 2 :]
        return line

    def _status_line(self, _: list[bytes]) -> bool:
        line = self._head()
        if line is None:
            return False
        words = line.split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise HttpError("no status line")
        self.status = int(words[1])
        self._state = self._header
        return True

    def _header(self, _: list[bytes]) -> bool:
        line = self._head()
        if line is None:
            return False
        if line:
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
                self._length = int(value)
            elif name == b"retry-after" and value.isdigit() and len(value) <= 4:
                self.retry_after_s = int(value)
            return True
        if 100 <= self.status < 200:  # an interim answer has no body: the one asked for comes behind it
            self._headers, self._chunked, self._length = 0, False, -1
            self._state = self._status_line
        elif self._chunked:
            self._state = self._chunk_size
        else:
            self._left = self._length if self._length >= 0 else -1
            self._state = self._plain
            self.done = self._left == 0
        return True

    def _chunk_size(self, _: list[bytes]) -> bool:
        line = self._head()
        if line is None:
            return False
        try:
            self._left = int(line.partition(b";")[0], 16)
        except ValueError:
            raise HttpError("no chunk size") from None
        if self._left < 0 or self._left > self.limits.table_bytes:
            raise HttpError("too large a chunk")
        self._state = self._chunk if self._left else self._trailer
        return True

    def _chunk(self, lines: list[bytes]) -> bool:
        part = self._buf[: self._left]
        self._buf = self._buf[len(part) :]
        self._left -= len(part)
        self._body(part, lines)
        if self._left == 0:
            self._state = self._chunk_end
            return True
        return False

    def _chunk_end(self, _: list[bytes]) -> bool:
        if len(self._buf) < 2:
            return False
        if self._buf[:2] != CRLF:
            raise HttpError("a chunk without its end")
        self._buf = self._buf[2:]
        self._state = self._chunk_size
        return True

    def _trailer(self, lines: list[bytes]) -> bool:
        line = self._head()
        if line == b"":
            self._end(lines)
        return line is not None

    def _plain(self, lines: list[bytes]) -> bool:
        part = self._buf if self._left < 0 else self._buf[: self._left]
        self._buf = self._buf[len(part) :]
        self._body(part, lines)
        if self._left > 0:
            self._left -= len(part)
        if self._left == 0:
            self._end(lines)
        return False

    def _end(self, lines: list[bytes]) -> None:
        self.done = True
        if self._line:
            lines.append(bytes(self._line))
            self._line.clear()

    def _body(self, part: bytes, lines: list[bytes]) -> None:
        self._line += part
        if b"\n" in part:
            *whole, rest = bytes(self._line).split(b"\n")
            lines.extend(line.rstrip(b"\r") for line in whole)
            self._line = bytearray(rest)
        if len(self._line) > self.limits.table_bytes:
            raise HttpError("too long a line of the body")


class Answers:
    """Answers to requests that were written one behind another, in their order."""

    __slots__ = ("_limits", "_reader", "_lines")

    def __init__(self, limits: Limits) -> None:
        self._limits, self._reader = limits, LineReader(limits)
        self._lines: list[bytes] = []

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Status and body of those that are whole by now. HttpError where nothing after can be understood."""
        whole: list[tuple[int, bytes]] = []
        while data:
            self._lines += self._reader.feed(data)
            if not self._reader.done:
                break
            whole.append((self._reader.status, b"\n".join(self._lines)))
            data, self._reader, self._lines = self._reader.rest, LineReader(self._limits), []
        return whole
