"""RESP2 without I/O: bounded parsers that take bytes in any pieces, and encoders.

Format: https://redis.io/docs/latest/develop/reference/protocol-spec/
"""

from __future__ import annotations

from typing import Final

from .limits import Limits

CRLF: Final = b"\r\n"
PONG: Final = b"+PONG\r\n"
ARRAY_SIGN: Final = ord("*")
BULK_SIGN: Final = ord("$")
ERROR_SIGN: Final = ord("-")
LINE_SIGNS: Final = b"+-:"  # of a simple string, an error and an integer
LENGTH_DIGITS: Final = 9  # of a length that may come; more would be past every limit
STREAM_HEAD: Final = b"*3\r\n$"  # how an answer with a value begins
STREAM_HEAD_BYTES: Final = 16  # the head, ten digits of a size, and a byte of the line's end
STREAM_SIZE_DIGITS: Final = 10


class RespError(ValueError):
    """The peer does not speak RESP, or goes past a limit; the text is for the peer and the log."""


class ErrorLine(bytes):
    """The text of an error reply, without its sign."""


class PlainLine(bytes):
    """The text of a simple string or the digits of an integer, without its sign: never a value."""


Reply = bytes | None | ErrorLine | PlainLine | list["Reply"]


class Parser:
    """Makes complete messages of pieces; `error` says why nothing after them can be understood."""

    __slots__ = ("_buffer", "_needed_bytes", "_end", "_value_bytes", "_message_bytes", "error", "limits")

    def __init__(self, limits: Limits, value_bytes: int, message_bytes: int) -> None:
        """`value_bytes` and `message_bytes`: the largest value and message."""
        self.limits = limits
        self.error = ""
        self._value_bytes = value_bytes
        self._message_bytes = message_bytes
        self._buffer = bytearray()  # the message that is incomplete
        self._needed_bytes = 0  # bytes in the buffer before a look at them can find anything new
        self._end = 0  # where the value that is incomplete will end

    @property
    def idle(self) -> bool:
        """No message is incomplete."""
        return not self._buffer

    def incomplete(self) -> bytes:
        """The message that is incomplete, as far as it has come."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list:
        """The messages that are complete by now, in order."""
        buffer, at, messages = data, 0, []
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed_bytes:  # a large value is not read anew for each piece
                return messages
            buffer = bytes(self._buffer)
        self._needed_bytes = self._end = 0
        try:
            while at < len(buffer):
                message, end = self._message(buffer, at)
                if end < 0:
                    if max(len(buffer), self._end) - at > self._message_bytes:
                        raise RespError("too long")
                    self._needed_bytes = self._end - at
                    break
                messages.append(message)
                at = end
        except RespError as err:
            self.error = str(err)
            at = len(buffer)
        self._buffer = bytearray(buffer[at:])
        return messages

    def _message(self, buffer: bytes, at: int) -> tuple[object, int]:
        """The message that begins there and where it ends; -1 where it is incomplete."""
        raise NotImplementedError

    def _number(self, buffer: bytes, at: int, most: int) -> tuple[int, int]:
        """The number behind the sign at that place and where its line ends; -1 where it is incomplete."""
        end = buffer.find(CRLF, at + 1, at + self.limits.line_bytes)
        if end < 0:
            if len(buffer) - at >= self.limits.line_bytes:
                raise RespError("too long a line")
            return 0, -1
        digits = buffer[at + 1 : end]
        if not digits.isdigit():
            if digits == b"-1":
                return -1, end + 2
            raise RespError("invalid length")
        if len(digits) > LENGTH_DIGITS or int(digits) > most:
            raise RespError("length past the limit")
        return int(digits), end + 2

    def _bulk(self, buffer: bytes, at: int) -> tuple[bytes | None, int]:
        """The bulk string that begins there and where it ends; -1 where it is incomplete."""
        size, start = self._number(buffer, at, self._value_bytes)
        if start < 0 or size < 0:
            return None, start
        end = start + size
        if len(buffer) < end + 2:
            self._end = end + 2
            return None, -1
        if buffer[end : end + 2] != CRLF:
            raise RespError("a value without its end")
        return buffer[start:end], end + 2


class CommandParser(Parser):
    """Parses what a client sends: arrays of bulk strings and nothing else."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        """`limits`: of values, arguments and commands."""
        super().__init__(limits, limits.value_bytes, limits.command_bytes)

    def _message(self, buffer: bytes, at: int) -> tuple[list[bytes], int]:
        if buffer[at] != ARRAY_SIGN:
            raise RespError("expected '*'")
        count, at = self._number(buffer, at, self.limits.max_arguments)
        arguments: list[bytes] = []
        if at < 0:
            return arguments, -1
        most, line_bytes, size = self._value_bytes, self.limits.line_bytes, len(buffer)
        for _ in range(count):  # what `_bulk` does, in line: most of a request's parsing is here
            end = buffer.find(CRLF, at + 1, at + line_bytes)
            if end < 0:
                self._check_argument_begun(buffer, at)
                return arguments, -1
            if buffer[at] != BULK_SIGN:
                raise RespError("expected '$'")
            digits = buffer[at + 1 : end]
            if not digits.isdigit() or len(digits) > LENGTH_DIGITS:
                raise RespError("invalid length")
            start = end + 2
            end = start + int(digits)
            if end - start > most:
                raise RespError("length past the limit")
            if size < end + 2:
                self._end = end + 2
                return arguments, -1
            if buffer[end : end + 2] != CRLF:
                raise RespError("a value without its end")
            arguments.append(buffer[start:end])
            at = end + 2
        return arguments, at

    def _check_argument_begun(self, buffer: bytes, at: int) -> None:
        """Raises RespError where the argument whose first line is incomplete can't be one."""
        if at >= len(buffer):
            return
        if buffer[at] != BULK_SIGN:
            raise RespError("expected '$'")
        if len(buffer) - at >= self.limits.line_bytes:
            raise RespError("too long a line")


class ReplyParser(Parser):
    """Parses what a backend server sends: one level of arrays is enough."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        """`limits`: of answers."""
        super().__init__(limits, limits.answer_bytes, 2 * limits.answer_bytes)

    def _message(self, buffer: bytes, at: int) -> tuple[Reply, int]:
        return self._reply(buffer, at, nested=False)

    def _reply(self, buffer: bytes, at: int, *, nested: bool) -> tuple[Reply, int]:
        sign = buffer[at]
        if sign == BULK_SIGN:
            return self._bulk(buffer, at)
        if sign == ARRAY_SIGN and not nested:
            return self._array(buffer, at)
        if sign not in LINE_SIGNS:
            raise RespError("unknown reply")
        end = buffer.find(CRLF, at, at + self.limits.line_bytes)
        if end < 0:
            if len(buffer) - at >= self.limits.line_bytes:
                raise RespError("too long a line")
            return None, -1
        text = buffer[at + 1 : end]
        return (ErrorLine(text) if sign == ERROR_SIGN else PlainLine(text)), end + 2

    def _array(self, buffer: bytes, at: int) -> tuple[Reply, int]:
        count, at = self._number(buffer, at, self.limits.max_arguments)
        if at < 0 or count < 0:
            return None, at
        parts: list[Reply] = []
        for _ in range(count):
            if at >= len(buffer):
                return None, -1
            part, at = self._reply(buffer, at, nested=True)
            if at < 0:
                return None, -1
            parts.append(part)
        return parts, at


def stream_head(head: bytes | bytearray, least: int) -> tuple[int, int] | None:
    """Whether an answer begins with a value larger than `least` bytes, to be passed on as it comes.

    `head`: the first bytes that have come. Returns the value's size and where its bulk string begins; None
    where the answer is another, (0, 0) where too little has come to tell.
    """
    if len(head) < len(STREAM_HEAD):
        return (0, 0) if STREAM_HEAD.startswith(bytes(head)) else None
    if not head.startswith(STREAM_HEAD):  # nothing is streamed that is not of the form agreed on
        return None
    end = head.find(CRLF, len(STREAM_HEAD), STREAM_HEAD_BYTES)
    if end < 0:
        digits = bytes(head[len(STREAM_HEAD) :]).removesuffix(b"\r")
        return (0, 0) if len(head) < STREAM_HEAD_BYTES and (not digits or digits.isdigit()) else None
    digits = bytes(head[len(STREAM_HEAD) : end])
    if not digits.isdigit() or len(digits) > STREAM_SIZE_DIGITS or int(digits) <= least:
        return None
    return int(digits), len(STREAM_HEAD) - 1


def answer(reply: Reply) -> tuple[bytes, bytes] | None:
    """The value and the load report of a backend server's answer; None where it is not of that form.

    A length that swallowed what follows leaves too few parts: such a value is never served.
    """
    if not isinstance(reply, list) or len(reply) != 3:
        return None
    if type(reply[0]) is not bytes or any(part is not None and type(part) is not bytes for part in reply):
        return None
    return reply[0], reply[2] or b""


def command(arguments: list[bytes]) -> bytes:
    """A command, as it is sent to a backend server."""
    parts = [b"*%d\r\n" % len(arguments)]
    for argument in arguments:
        parts.append(b"$%d\r\n%b\r\n" % (len(argument), argument))
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    """A value, as an answer."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def busy(retry_ms: int) -> bytes:
    """A rejection; `retry_ms`: when the client may retry, 0: nothing is said."""
    return b"-BUSY %d\r\n" % retry_ms if retry_ms > 0 else b"-BUSY\r\n"


def error(text: str) -> bytes:
    """An error, as an answer."""
    return b"-ERR " + text.replace("\r", " ").replace("\n", " ").encode("ascii", "replace") + CRLF
