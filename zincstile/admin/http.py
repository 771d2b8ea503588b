"""HTTP/1.1 as a server for one call a connection, no I/O: a bounded parser of the call, fed in pieces, and
the writer of its answer (RFC 9112: request line, header fields, a body by Content-Length).

A call that breaks the syntax or a bound raises `CallError` with the status of its answer; nothing after it is
read. Chunked bodies are refused with 411: an operator's call is a word or two, and a parser of chunks is a
second place for faults that no caller needs.
"""

from __future__ import annotations

from dataclasses import dataclass

CRLF = b"\r\n"
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")


class CallError(ValueError):
    """A call that can't be answered as asked; `status` is the 4xx of its answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Call:
    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Bounds:
    """In bytes and lines; what a call may be at most."""

    line_bytes: int = 1024
    header_lines: int = 32
    body_bytes: int = 1024


class CallParser:
    """One call, fed in pieces of any size. `feed` gives the call once it is whole, else None."""

    __slots__ = ("bounds", "_buf", "_method", "_path", "_headers", "_length", "_length_given", "_call")

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self._buf = bytearray()
        self._method = self._path = ""
        self._headers = 0
        self._length = -1  # of the body, once the head is read
        self._length_given = -1  # by Content-Length
        self._call: Call | None = None

    @property
    def begun(self) -> bool:
        """Some of a call has come."""
        return bool(self._buf) or bool(self._method)

    def feed(self, data: bytes) -> Call | None:
        if self._call is not None:
            return self._call  # one call a connection: what comes behind it is not read
        self._buf += data
        while self._length < 0:
            line = self._line()
            if line is None:
                return None
            if not self._method:
                if not line and not self._headers:
                    self._headers += 1  # one empty line before the request line may be ignored (9112 2.2)
                    continue
                self._request_line(line)
            elif line:
                self._header(line)
            else:
                self._length = max(0, self._length_given)
        if len(self._buf) < self._length:
            return None
        self._call = Call(self._method, self._path, bytes(self._buf[: self._length]))
        return self._call

    def _line(self) -> bytes | None:
        end = self._buf.find(b"\n")
        if end < 0:
            if len(self._buf) > self.bounds.line_bytes:
                raise CallError(431 if self._method else 400, "too long a line")
            return None
        if end > self.bounds.line_bytes:
            raise CallError(431 if self._method else 400, "too long a line")
        line = bytes(self._buf[:end])
        del self._buf[: end + 1]
        return line[:-1] if line.endswith(b"\r") else line

    def _request_line(self, line: bytes) -> None:
        parts = line.split(b" ")
        if len(parts) != 3 or not parts[0] or not set(parts[0]) <= TOKEN or not parts[1].startswith(b"/"):
            raise CallError(400, "not a request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise CallError(505 if parts[2].startswith(b"HTTP/") else 400, "not HTTP/1.1")
        if any(c < 0x21 or c > 0x7E for c in parts[1]):
            raise CallError(400, "a path with a byte that no path has")
        self._method, self._path = parts[0].decode(), parts[1].decode()

    def _header(self, line: bytes) -> None:
        self._headers += 1
        if self._headers > self.bounds.header_lines:
            raise CallError(431, "too many header lines")
        name, colon, value = line.partition(b":")
        if not colon or not name or not set(name) <= TOKEN:
            raise CallError(400, "not a header line")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"transfer-encoding":
            raise CallError(411, "a body in chunks")
        if name == b"content-length":
            if (
                not value.isdigit()
                or len(value) > 9
                or (self._length_given >= 0 and int(value) != self._length_given)
            ):
                raise CallError(400, "a length that is no length")
            self._length_given = int(value)
            if self._length_given > self.bounds.body_bytes:
                raise CallError(413, "too long a body")


def answer(status: int, text: str = "") -> bytes:
    """The whole answer, which ends the connection."""
    body = (text + "\n").encode() if text else b""
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
