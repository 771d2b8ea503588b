"""RESP2 without I/O: incremental parsers with size limits, and encoders.

Format: https://redis.io/docs/latest/develop/reference/protocol-spec/
"""

from __future__ import annotations

from typing import Final

from .limits import Limits

CRLF: Final = b"\r\n"
PONG: Final = b"+PONG\r\n"
ARRAY_PREFIX: Final = ord("*")
BULK_STRING_PREFIX: Final = ord("$")
ERROR_PREFIX: Final = ord("-")
LINE_PREFIXES: Final = b"+-:"  # simple string, error, integer
MAX_LENGTH_DIGITS: Final = 9  # a longer number exceeds every limit
STREAM_PREFIX: Final = b"*3\r\n$"  # a backend's answer with a value begins with this
MAX_STREAM_HEAD_BYTES: Final = 16  # STREAM_PREFIX, ten digits of the size, and CR
MAX_STREAM_SIZE_DIGITS: Final = 10


class RespError(ValueError):
    """Input is not valid RESP or exceeds a limit; the text goes to the peer and the log."""


class ErrorReply(bytes):
    """The text of an error reply, without its prefix."""


class SimpleReply(bytes):
    """The text of a simple string, or the digits of an integer, without the prefix; never a value."""


Reply = bytes | None | ErrorReply | SimpleReply | list["Reply"]


class Parser:
    """Assembles messages from chunks; `error` is set when the rest of the input can't be parsed."""

    __slots__ = (
        "_buffer",
        "_needed_bytes",
        "_value_end",
        "_max_value_bytes",
        "_max_message_bytes",
        "error",
        "limits",
    )

    def __init__(self, limits: Limits, max_value_bytes: int, max_message_bytes: int) -> None:
        """`max_value_bytes` limits one bulk string, `max_message_bytes` a whole message."""
        self.limits = limits
        self.error = ""
        self._max_value_bytes = max_value_bytes
        self._max_message_bytes = max_message_bytes
        self._buffer = bytearray()  # the incomplete message
        self._needed_bytes = 0  # with fewer bytes in the buffer, parsing again can't complete a message
        self._value_end = 0  # offset at which the incomplete bulk string will end

    @property
    def idle(self) -> bool:
        """Whether no message is incomplete."""
        return not self._buffer

    def incomplete_bytes(self) -> bytes:
        """Returns the received part of the incomplete message."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list:
        """Adds input and returns the messages that it completes, in order."""
        buffer, position, messages = data, 0, []
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed_bytes:  # avoids parsing a large value again for each chunk
                return messages
            buffer = bytes(self._buffer)
        self._needed_bytes = self._value_end = 0
        try:
            while position < len(buffer):
                message, end = self._parse_message(buffer, position)
                if end < 0:
                    if max(len(buffer), self._value_end) - position > self._max_message_bytes:
                        raise RespError("too long")
                    self._needed_bytes = self._value_end - position
                    break
                messages.append(message)
                position = end
        except RespError as err:
            self.error = str(err)
            position = len(buffer)
        self._buffer = bytearray(buffer[position:])
        return messages

    def _parse_message(self, buffer: bytes, position: int) -> tuple[object, int]:
        """Returns the message at `position` and its end, or -1 as the end if it is incomplete."""
        raise NotImplementedError

    def _parse_number(self, buffer: bytes, position: int, max_value: int) -> tuple[int, int]:
        """Returns the number after the prefix at `position` and the end of its line, -1 if incomplete."""
        end = buffer.find(CRLF, position + 1, position + self.limits.line_bytes)
        if end < 0:
            if len(buffer) - position >= self.limits.line_bytes:
                raise RespError("too long a line")
            return 0, -1
        digits = buffer[position + 1 : end]
        if not digits.isdigit():
            if digits == b"-1":
                return -1, end + 2
            raise RespError("invalid length")
        if len(digits) > MAX_LENGTH_DIGITS or int(digits) > max_value:
            raise RespError("length past the limit")
        return int(digits), end + 2

    def _parse_bulk_string(self, buffer: bytes, position: int) -> tuple[bytes | None, int]:
        """Returns the bulk string at `position` and its end, or -1 as the end if it is incomplete."""
        size, start = self._parse_number(buffer, position, self._max_value_bytes)
        if start < 0 or size < 0:
            return None, start
        end = start + size
        if len(buffer) < end + 2:
            self._value_end = end + 2
            return None, -1
        if buffer[end : end + 2] != CRLF:
            raise RespError("bulk string is not terminated by CRLF")
        return buffer[start:end], end + 2


class CommandParser(Parser):
    """Parses a client's commands: arrays of bulk strings only."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        """`limits` has the maximum sizes of values, lines and commands."""
        super().__init__(limits, limits.value_bytes, limits.command_bytes)

    def _parse_message(self, buffer: bytes, position: int) -> tuple[list[bytes], int]:
        if buffer[position] != ARRAY_PREFIX:
            raise RespError("expected '*'")
        count, position = self._parse_number(buffer, position, self.limits.max_arguments)
        arguments: list[bytes] = []
        if position < 0:
            return arguments, -1
        max_value_bytes, max_line_bytes, size = self._max_value_bytes, self.limits.line_bytes, len(buffer)
        for _ in range(count):  # inlines `_parse_bulk_string`: most of the parsing time is spent here
            end = buffer.find(CRLF, position + 1, position + max_line_bytes)
            if end < 0:
                self._check_argument_header(buffer, position)
                return arguments, -1
            if buffer[position] != BULK_STRING_PREFIX:
                raise RespError("expected '$'")
            digits = buffer[position + 1 : end]
            if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
                raise RespError("invalid length")
            start = end + 2
            end = start + int(digits)
            if end - start > max_value_bytes:
                raise RespError("length past the limit")
            if size < end + 2:
                self._value_end = end + 2
                return arguments, -1
            if buffer[end : end + 2] != CRLF:
                raise RespError("a value without its end")
            arguments.append(buffer[start:end])
            position = end + 2
        return arguments, position

    def _check_argument_header(self, buffer: bytes, position: int) -> None:
        """Raises RespError if the incomplete first line of an argument can't become valid."""
        if position >= len(buffer):
            return
        if buffer[position] != BULK_STRING_PREFIX:
            raise RespError("expected '$'")
        if len(buffer) - position >= self.limits.line_bytes:
            raise RespError("too long a line")


class ReplyParser(Parser):
    """Parses a backend's replies, with arrays of one level."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        """`limits` has the maximum size of an answer."""
        super().__init__(limits, limits.answer_bytes, 2 * limits.answer_bytes)

    def _parse_message(self, buffer: bytes, position: int) -> tuple[Reply, int]:
        return self._parse_reply(buffer, position, nested=False)

    def _parse_reply(self, buffer: bytes, position: int, *, nested: bool) -> tuple[Reply, int]:
        prefix = buffer[position]
        if prefix == BULK_STRING_PREFIX:
            return self._parse_bulk_string(buffer, position)
        if prefix == ARRAY_PREFIX and not nested:
            return self._parse_array(buffer, position)
        if prefix not in LINE_PREFIXES:
            raise RespError("unknown reply type")
        end = buffer.find(CRLF, position, position + self.limits.line_bytes)
        if end < 0:
            if len(buffer) - position >= self.limits.line_bytes:
                raise RespError("line exceeds the size limit")
            return None, -1
        text = buffer[position + 1 : end]
        return (ErrorReply(text) if prefix == ERROR_PREFIX else SimpleReply(text)), end + 2

    def _parse_array(self, buffer: bytes, position: int) -> tuple[Reply, int]:
        count, position = self._parse_number(buffer, position, self.limits.max_arguments)
        if position < 0 or count < 0:
            return None, position
        parts: list[Reply] = []
        for _ in range(count):
            if position >= len(buffer):
                return None, -1
            part, position = self._parse_reply(buffer, position, nested=True)
            if position < 0:
                return None, -1
            parts.append(part)
        return parts, position


def parse_stream_head(head: bytes | bytearray, min_bytes: int) -> tuple[int, int] | None:
    """Detects an answer whose value is larger than `min_bytes` and so is streamed to the client.

    `head` is the beginning of the answer. Returns the size of the value and the offset of its bulk string,
    None if the answer is not to be streamed, or (0, 0) if `head` is too short to decide.
    """
    if len(head) < len(STREAM_PREFIX):
        return (0, 0) if STREAM_PREFIX.startswith(bytes(head)) else None
    if not head.startswith(
        STREAM_PREFIX
    ):  # only answers of three parts with a bulk string first are streamed
        return None
    end = head.find(CRLF, len(STREAM_PREFIX), MAX_STREAM_HEAD_BYTES)
    if end < 0:
        digits = bytes(head[len(STREAM_PREFIX) :]).removesuffix(b"\r")
        return (0, 0) if len(head) < MAX_STREAM_HEAD_BYTES and (not digits or digits.isdigit()) else None
    digits = bytes(head[len(STREAM_PREFIX) : end])
    if not digits.isdigit() or len(digits) > MAX_STREAM_SIZE_DIGITS or int(digits) <= min_bytes:
        return None
    return int(digits), len(STREAM_PREFIX) - 1


def parse_answer(reply: Reply) -> tuple[bytes, bytes] | None:
    """Returns the value and the load report of a backend's answer, or None if it has another form.

    A wrong length that takes in the following parts leaves too few of them, so that value is never served.
    """
    if not isinstance(reply, list) or len(reply) != 3:
        return None
    if type(reply[0]) is not bytes or any(part is not None and type(part) is not bytes for part in reply):
        return None
    return reply[0], reply[2] or b""


def encode_command(arguments: list[bytes]) -> bytes:
    """Encodes a command to a backend."""
    parts = [b"*%d\r\n" % len(arguments)]
    for argument in arguments:
        parts.append(b"$%d\r\n%b\r\n" % (len(argument), argument))
    return b"".join(parts)


def encode_bulk_string(value: bytes) -> bytes:
    """Encodes a value as an answer."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_busy(retry_after_ms: int) -> bytes:
    """Encodes a rejection; without a hint if `retry_after_ms` is 0."""
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"


def encode_error(text: str) -> bytes:
    """Encodes an error as an answer."""
    return b"-ERR " + text.replace("\r", " ").replace("\n", " ").encode("ascii", "replace") + CRLF
