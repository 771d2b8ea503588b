"""HTTP/1.1 as a server for one request a connection, no I/O: a bounded parser of the request, fed in pieces,
and the encoder of its response (RFC 9112: request line, header fields, a body by Content-Length).

A request that breaks the syntax or a bound raises `RequestError` with the status of its response; nothing
after it is read. Chunked bodies are rejected with 411: an operator's request holds one name at most, and a
parser of chunks is a second place for faults that no caller needs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final


class Status(IntEnum):
    """The statuses that the admin endpoint answers with (RFC 9110, section 15)."""

    OK = 200
    BAD_REQUEST = 400
    NOT_FOUND = 404
    METHOD_NOT_ALLOWED = 405
    REQUEST_TIMEOUT = 408
    CONFLICT = 409
    LENGTH_REQUIRED = 411
    CONTENT_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431
    INTERNAL_SERVER_ERROR = 500
    SERVICE_UNAVAILABLE = 503
    VERSION_NOT_SUPPORTED = 505


REASON_PHRASES: Final = {
    Status.OK: "OK",
    Status.BAD_REQUEST: "Bad Request",
    Status.NOT_FOUND: "Not Found",
    Status.METHOD_NOT_ALLOWED: "Method Not Allowed",
    Status.REQUEST_TIMEOUT: "Request Timeout",
    Status.CONFLICT: "Conflict",
    Status.LENGTH_REQUIRED: "Length Required",
    Status.CONTENT_TOO_LARGE: "Content Too Large",
    Status.HEADERS_TOO_LARGE: "Request Header Fields Too Large",
    Status.INTERNAL_SERVER_ERROR: "Internal Server Error",
    Status.SERVICE_UNAVAILABLE: "Service Unavailable",
    Status.VERSION_NOT_SUPPORTED: "HTTP Version Not Supported",
}

# Bytes of a token (RFC 9110, section 5.6.2): of a method, and of a field's name.
TOKEN_BYTES: Final = frozenset(
    b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)
VERSIONS: Final = (b"HTTP/1.1", b"HTTP/1.0")
FIRST_VISIBLE_BYTE: Final = 0x21  # of ASCII; a path holds visible bytes alone
LAST_VISIBLE_BYTE: Final = 0x7E
LENGTH_DIGITS: Final = 9  # of a Content-Length; more is past any bound


class RequestError(ValueError):
    """A request that can't be answered as asked; `status` is the one of its response."""

    def __init__(self, status: Status, reason: str) -> None:
        """reason: the text of the response."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request; its header fields are of no use to what answers it."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a request may be at most."""

    line_bytes: int = 1024
    header_lines: int = 32
    body_bytes: int = 1024


class RequestParser:
    """Parses one request, fed in pieces of any size."""

    __slots__ = (
        "limits",
        "_buffer",
        "_method",
        "_path",
        "_header_lines",
        "_body_bytes",
        "_content_length",
        "_request",
    )

    def __init__(self, limits: RequestLimits | None = None) -> None:
        """Takes the usual limits where none are given."""
        self.limits = limits or RequestLimits()
        self._buffer = bytearray()
        self._method = ""
        self._path = ""
        self._header_lines = 0
        self._body_bytes: int | None = None  # None until the head is complete
        self._content_length: int | None = None
        self._request: Request | None = None

    def feed(self, data: bytes) -> Request | None:
        """Takes the next bytes; returns the request once it is complete, else None.

        Raises RequestError. One request a connection: what comes behind it is not read.
        """
        if self._request is not None:
            return self._request
        self._buffer += data
        while self._body_bytes is None:
            line = self._take_line()
            if line is None:
                return None
            self._parse_head_line(line)
        if len(self._buffer) < self._body_bytes:
            return None
        self._request = Request(self._method, self._path, bytes(self._buffer[: self._body_bytes]))
        return self._request

    def _take_line(self) -> bytes | None:
        """Takes a line without its end out of the buffer; None where it is not complete."""
        end = self._buffer.find(b"\n")
        length = end if end >= 0 else len(self._buffer)
        if length > self.limits.line_bytes:
            status = Status.HEADERS_TOO_LARGE if self._method else Status.BAD_REQUEST
            raise RequestError(status, "too long a line")
        if end < 0:
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line.removesuffix(b"\r")

    def _parse_head_line(self, line: bytes) -> None:
        if not self._method:
            if not line and not self._header_lines:
                self._header_lines += 1  # one empty line before the request line is ignored (RFC 9112, 2.2)
                return
            self._parse_request_line(line)
        elif line:
            self._parse_header_line(line)
        else:
            self._body_bytes = self._content_length or 0

    def _parse_request_line(self, line: bytes) -> None:
        parts = line.split(b" ")
        if len(parts) != 3:
            raise RequestError(Status.BAD_REQUEST, "not a request line")
        method, path, version = parts
        if not method or not set(method) <= TOKEN_BYTES or not path.startswith(b"/"):
            raise RequestError(Status.BAD_REQUEST, "not a request line")
        if version not in VERSIONS:
            other_version = version.startswith(b"HTTP/")
            status = Status.VERSION_NOT_SUPPORTED if other_version else Status.BAD_REQUEST
            raise RequestError(status, "not HTTP/1.1")
        if any(not FIRST_VISIBLE_BYTE <= byte <= LAST_VISIBLE_BYTE for byte in path):
            raise RequestError(Status.BAD_REQUEST, "a path with a byte that no path has")
        self._method = method.decode()
        self._path = path.decode()

    def _parse_header_line(self, line: bytes) -> None:
        self._header_lines += 1
        if self._header_lines > self.limits.header_lines:
            raise RequestError(Status.HEADERS_TOO_LARGE, "too many header lines")
        name, colon, value = line.partition(b":")
        if not colon or not name or not set(name) <= TOKEN_BYTES:
            raise RequestError(Status.BAD_REQUEST, "not a header line")
        name = name.lower()
        if name == b"transfer-encoding":
            raise RequestError(Status.LENGTH_REQUIRED, "a body in chunks")
        if name == b"content-length":
            self._take_content_length(value.strip(b" \t"))

    def _take_content_length(self, value: bytes) -> None:
        """Takes the length of the body; a second one has to be the same."""
        if not value.isdigit() or len(value) > LENGTH_DIGITS:
            raise RequestError(Status.BAD_REQUEST, "a length that is no length")
        length = int(value)
        if self._content_length is not None and length != self._content_length:
            raise RequestError(Status.BAD_REQUEST, "a length that is no length")
        self._content_length = length
        if length > self.limits.body_bytes:
            raise RequestError(Status.CONTENT_TOO_LARGE, "too long a body")


def encode_response(status: Status, text: str = "") -> bytes:
    """Returns a whole response, which ends the connection."""
    body = (text + "\n").encode() if text else b""
    head = (
        f"HTTP/1.1 {status.value} {REASON_PHRASES[status]}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
