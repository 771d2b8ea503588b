"""RESP2 and HTTP/1.1 as the emulators read and write them, in pieces of any size.

Strict on purpose: whatever a gateway may not send raises `ProtocolError` with the reason.
"""

from __future__ import annotations

from typing import Final

NOTHING_OPEN: Final = -1  # no bulk string has begun
CALL_FIELDS_INDEX: Final = 3  # of a call: after its verb, customer and id
REQUEST_LINE_PARTS: Final = 3  # method, target and version (RFC 9112)


class ProtocolError(ValueError):
    """The other side sent something that the protocol does not have; the text quotes it."""


class CommandParser:
    """Reads what a client or a gateway sends: arrays of bulk strings.

    `arguments` holds those of the command that is not complete yet.
    """

    __slots__ = ("_buffer", "arguments", "_missing", "_size")

    def __init__(self) -> None:
        """Stand between two commands."""
        self._buffer = b""
        self.arguments: list[bytes] = []
        self._missing = 0  # arguments still to come; 0: between commands
        self._size = NOTHING_OPEN  # bytes of the argument that is coming

    @property
    def idle(self) -> bool:
        """Whether the parser stands between two commands."""
        return not self._buffer and not self._missing

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Take bytes and return the commands that they complete.

        Raises ProtocolError for what is no array of bulk strings.
        """
        buffer = self._buffer + data if self._buffer else data
        position = 0
        complete = []
        while True:
            if self._size == NOTHING_OPEN:
                after = self._read_header(buffer, position)
            else:
                after = self._read_argument(buffer, position)
            if after < 0:
                break
            position = after
            if self.arguments and not self._missing:
                complete.append(self.arguments)
                self.arguments = []
        self._buffer = buffer[position:]
        return complete

    def _read_argument(self, buffer: bytes, start: int) -> int:
        """Read one argument; the position after it, or -1 where it is not complete."""
        end = start + self._size
        if len(buffer) < end + 2:
            return -1
        if buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("a bulk string without its end")
        self.arguments.append(buffer[start:end])
        self._size = NOTHING_OPEN
        self._missing -= 1
        return end + 2

    def _read_header(self, buffer: bytes, start: int) -> int:
        """Read the line before an array or an argument; the position after it, or -1 as above."""
        end = buffer.find(b"\r\n", start)
        if end < 0:
            return -1
        sign, digits = buffer[start : start + 1], buffer[start + 1 : end]
        if sign != (b"$" if self._missing else b"*") or not digits.isdigit():
            raise ProtocolError(f"not a command: {buffer[start:end][:40]!r}")
        if self._missing:
            self._size = int(digits)
        else:
            self._missing = int(digits)
        return end + 2


class ReplyParser:
    """Reads what a server answers.

    A reply is bytes (a bulk string), None (the null one), a str (a line with its sign first) or a list of
    these.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Stand between two replies."""
        self._buffer = b""

    @property
    def idle(self) -> bool:
        """Whether no reply has begun."""
        return not self._buffer

    def feed(self, data: bytes) -> list[object]:
        """Take bytes and return the replies that they complete; ProtocolError for what is none."""
        self._buffer += data
        complete = []
        while self._buffer:
            reply, end = _parse_reply(self._buffer, 0)
            if end < 0:
                break
            complete.append(reply)
            self._buffer = self._buffer[end:]
        return complete


def _parse_reply(buffer: bytes, start: int) -> tuple[object, int]:
    """The reply that begins there and the position after it; -1 where it is not complete."""
    end = buffer.find(b"\r\n", start)
    if end < 0:
        return None, -1
    sign, rest, after = buffer[start : start + 1], buffer[start + 1 : end], end + 2
    if sign in (b"+", b"-", b":"):
        return buffer[start:end].decode("latin-1"), after
    try:
        size = int(rest)
    except ValueError:
        raise ProtocolError(f"not a reply: {buffer[start:end][:40]!r}") from None
    if sign == b"$":
        return _parse_bulk_string(buffer, after, size)
    if sign != b"*":
        raise ProtocolError(f"not a reply: {buffer[start:end][:40]!r}")
    parts: list[object] = []
    for _ in range(max(0, size)):
        part, after = _parse_reply(buffer, after)
        if after < 0:
            return None, -1
        parts.append(part)
    return parts, after


def _parse_bulk_string(buffer: bytes, start: int, size: int) -> tuple[bytes | None, int]:
    """A bulk string of that size and the position after it; a negative size is the null one."""
    if size < 0:
        return None, start
    end = start + size
    if len(buffer) < end + 2:
        return None, -1
    if buffer[end : end + 2] != b"\r\n":
        raise ProtocolError("a value without its end")
    return buffer[start:end], end + 2


def encode_command(*arguments: bytes) -> bytes:
    """The command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments)


def parse_call_fields(text: bytes) -> dict[str, str]:
    """The names and values of a call; ProtocolError where a part is none or a name comes twice."""
    fields: dict[str, str] = {}
    for part in text.decode("latin-1").split(","):
        name, equals, value = part.partition("=")
        if not equals or name in fields:
            raise ProtocolError(f"not a list of names and values: {text[:60]!r}")
        fields[name] = value
    return fields


def parse_request_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Method, path and query of an HTTP request's head, given without its empty line."""
    parts = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    if len(parts) != REQUEST_LINE_PARTS or not parts[2].startswith("HTTP/1."):
        raise ProtocolError(f"not a request: {head[:40]!r}")
    path, _, query = parts[1].partition("?")
    return parts[0], path, dict(p.split("=", 1) for p in query.split("&") if "=" in p)


def forwarded_timeout_ms(arguments: list[bytes]) -> int:
    """The client's remaining time as a gateway passes it to a backend, in milliseconds; 0: none given."""
    if len(arguments) <= CALL_FIELDS_INDEX:
        return 0
    fields = arguments[CALL_FIELDS_INDEX].split(b",")
    return next((int(f[2:]) for f in fields if f.startswith(b"d=") and f[2:].isdigit()), 0)
