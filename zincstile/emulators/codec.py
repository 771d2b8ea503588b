"""Incremental parsers and encoders of RESP2 and HTTP/1.1 for the emulators.

They are strict on purpose: any input that a gateway may not send raises `ProtocolError` with the reason.
"""

from __future__ import annotations

from typing import Final

NO_BULK_STRING: Final = -1  # size of the current argument while no bulk string has started
CALL_FIELDS_INDEX: Final = 3  # position in a call, after its verb, customer and id
REQUEST_LINE_PARTS: Final = 3  # method, target and version (RFC 9112)


class ProtocolError(ValueError):
    """The peer sent input that violates the protocol; the message says how."""


class CommandParser:
    """Parses commands of a client or a gateway: arrays of bulk strings.

    `arguments` are the arguments received so far of the command that is not complete yet.
    """

    __slots__ = ("_buffer", "arguments", "_missing", "_size")

    def __init__(self) -> None:
        """Creates a parser that expects the start of a command."""
        self._buffer = b""
        self.arguments: list[bytes] = []
        self._missing = 0  # arguments of the current command that are not received yet; 0: between commands
        self._size = NO_BULK_STRING  # size of the current argument in bytes

    @property
    def idle(self) -> bool:
        """Whether no command is partially received."""
        return not self._buffer and not self._missing

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Parses bytes and returns the commands that they complete.

        Raises ProtocolError if the input is not an array of bulk strings.
        """
        buffer = self._buffer + data if self._buffer else data
        position = 0
        complete = []
        while True:
            if self._size == NO_BULK_STRING:
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
        """Parses one argument; returns the position after it, or -1 if it is incomplete."""
        end = start + self._size
        if len(buffer) < end + 2:
            return -1
        if buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("bulk string is not terminated by CRLF")
        self.arguments.append(buffer[start:end])
        self._size = NO_BULK_STRING
        self._missing -= 1
        return end + 2

    def _read_header(self, buffer: bytes, start: int) -> int:
        """Parses the header line of an array or an argument; returns the position after it, or -1."""
        end = buffer.find(b"\r\n", start)
        if end < 0:
            return -1
        type_character, digits = buffer[start : start + 1], buffer[start + 1 : end]
        if type_character != (b"$" if self._missing else b"*") or not digits.isdigit():
            raise ProtocolError(
                f"expected the header of an array or a bulk string: {buffer[start:end][:40]!r}"
            )
        if self._missing:
            self._size = int(digits)
        else:
            self._missing = int(digits)
        return end + 2


class ReplyParser:
    """Parses replies of a server.

    A reply is bytes (a bulk string), None (the null bulk string), a str (a line including its type character)
    or a list of these.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Creates a parser that expects the start of a reply."""
        self._buffer = b""

    @property
    def idle(self) -> bool:
        """Whether no reply is partially received."""
        return not self._buffer

    def feed(self, data: bytes) -> list[object]:
        """Parses bytes and returns the replies that they complete; raises ProtocolError on other input."""
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
    """Returns the reply that starts at `start` and the position after it, or -1 if it is incomplete."""
    end = buffer.find(b"\r\n", start)
    if end < 0:
        return None, -1
    type_character, size_text, after = buffer[start : start + 1], buffer[start + 1 : end], end + 2
    if type_character in (b"+", b"-", b":"):
        return buffer[start:end].decode("latin-1"), after
    try:
        size = int(size_text)
    except ValueError:
        raise ProtocolError(f"malformed reply header: {buffer[start:end][:40]!r}") from None
    if type_character == b"$":
        return _parse_bulk_string(buffer, after, size)
    if type_character != b"*":
        raise ProtocolError(f"malformed reply header: {buffer[start:end][:40]!r}")
    parts: list[object] = []
    for _ in range(max(0, size)):
        part, after = _parse_reply(buffer, after)
        if after < 0:
            return None, -1
        parts.append(part)
    return parts, after


def _parse_bulk_string(buffer: bytes, start: int, size: int) -> tuple[bytes | None, int]:
    """Returns a bulk string and the position after it; a negative size means the null bulk string."""
    if size < 0:
        return None, start
    end = start + size
    if len(buffer) < end + 2:
        return None, -1
    if buffer[end : end + 2] != b"\r\n":
        raise ProtocolError("bulk string in a reply is not terminated by CRLF")
    return buffer[start:end], end + 2


def encode_command(*arguments: bytes) -> bytes:
    """Encodes a command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments)


def parse_call_fields(text: bytes) -> dict[str, str]:
    """Returns the fields of a call by name; raises ProtocolError on a malformed or repeated field."""
    fields: dict[str, str] = {}
    for part in text.decode("latin-1").split(","):
        name, equals, value = part.partition("=")
        if not equals or name in fields:
            raise ProtocolError(f"malformed or repeated call field: {text[:60]!r}")
        fields[name] = value
    return fields


def parse_request_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Returns method, path and query of an HTTP request; `head` does not include the empty line."""
    parts = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    if len(parts) != REQUEST_LINE_PARTS or not parts[2].startswith("HTTP/1."):
        raise ProtocolError(f"malformed HTTP request line: {head[:40]!r}")
    path, _, query = parts[1].partition("?")
    return parts[0], path, dict(p.split("=", 1) for p in query.split("&") if "=" in p)


def forwarded_timeout_ms(arguments: list[bytes]) -> int:
    """Returns the remaining time in ms that a gateway forwards to a backend, or 0 if there is none."""
    if len(arguments) <= CALL_FIELDS_INDEX:
        return 0
    fields = arguments[CALL_FIELDS_INDEX].split(b",")
    return next((int(f[2:]) for f in fields if f.startswith(b"d=") and f[2:].isdigit()), 0)
