"""HTTP/1.1 server codec for one request per connection, without I/O: an incremental request parser with
limits, and a response encoder (RFC 9112: request line, header fields, a body framed by Content-Length).

A request that is malformed or exceeds a limit raises `RequestError` with the response status; the rest of the
connection is not read. Chunked bodies are rejected with 411: a request holds at most one name, so no client
needs them, and a chunk parser would be one more source of defects.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final


class Status(IntEnum):
    """Status codes that the admin endpoint returns (RFC 9110, section 15)."""

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

# Bytes allowed in a token, such as a method or a field name (RFC 9110, section 5.6.2).
TOKEN_BYTES: Final = frozenset(
    b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)
SUPPORTED_VERSIONS: Final = (b"HTTP/1.1", b"HTTP/1.0")
FIRST_VISIBLE_BYTE: Final = 0x21  # a path may contain visible ASCII characters only
LAST_VISIBLE_BYTE: Final = 0x7E
MAX_LENGTH_DIGITS: Final = 9  # of a Content-Length; a longer number exceeds any limit


class RequestError(ValueError):
    """The request is malformed or exceeds a limit; `status` is the status of the response."""

    def __init__(self, status: Status, reason: str) -> None:
        """reason: the body of the response."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request, without its header fields, which no handler needs."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Maximum sizes of a request."""

    max_line_bytes: int = 1024
    max_header_lines: int = 32
    max_body_bytes: int = 1024


class RequestParser:
    """Parses one request incrementally, from chunks of any size."""

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
        """limits: the defaults of `RequestLimits` if None."""
        self.limits = limits or RequestLimits()
        self._buffer = bytearray()
        self._method = ""
        self._path = ""
        self._header_lines = 0
        self._body_bytes: int | None = None  # None until the head is complete
        self._content_length: int | None = None
        self._request: Request | None = None

    def feed(self, data: bytes) -> Request | None:
        """Consumes the next bytes; returns the request once it is complete, else None.

        Raises RequestError. Bytes after the request are ignored: a connection carries one request only.
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
        """Removes the next line from the buffer and returns it without its line end; None if incomplete."""
        end = self._buffer.find(b"\n")
        length = end if end >= 0 else len(self._buffer)
        if length > self.limits.max_line_bytes:
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
                self._header_lines += 1  # ignores one empty line before the request line (RFC 9112, 2.2)
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
        if version not in SUPPORTED_VERSIONS:
            is_http = version.startswith(b"HTTP/")
            status = Status.VERSION_NOT_SUPPORTED if is_http else Status.BAD_REQUEST
            raise RequestError(status, "not HTTP/1.1")
        if any(not FIRST_VISIBLE_BYTE <= byte <= LAST_VISIBLE_BYTE for byte in path):
            raise RequestError(Status.BAD_REQUEST, "a path with a byte that no path has")
        self._method = method.decode()
        self._path = path.decode()

    def _parse_header_line(self, line: bytes) -> None:
        self._header_lines += 1
        if self._header_lines > self.limits.max_header_lines:
            raise RequestError(Status.HEADERS_TOO_LARGE, "too many header lines")
        name, colon, value = line.partition(b":")
        if not colon or not name or not set(name) <= TOKEN_BYTES:
            raise RequestError(Status.BAD_REQUEST, "not a header line")
        name = name.lower()
        if name == b"transfer-encoding":
            raise RequestError(Status.LENGTH_REQUIRED, "a body in chunks")
        if name == b"content-length":
            self._parse_content_length(value.strip(b" \t"))

    def _parse_content_length(self, value: bytes) -> None:
        """Parses Content-Length; a repeated header must have the same value."""
        if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
            raise RequestError(Status.BAD_REQUEST, "a length that is no length")
        length = int(value)
        if self._content_length is not None and length != self._content_length:
            raise RequestError(Status.BAD_REQUEST, "a length that is no length")
        self._content_length = length
        if length > self.limits.max_body_bytes:
            raise RequestError(Status.CONTENT_TOO_LARGE, "too long a body")


def encode_response(status: Status, text: str = "") -> bytes:
    """Returns a complete response, which announces that the connection will be closed."""
    body = (text + "\n").encode() if text else b""
    head = (
        f"HTTP/1.1 {status.value} {REASON_PHRASES[status]}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
