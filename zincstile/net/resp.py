"""RESP2, no I/O: bounded parsers that take bytes in any pieces, and writers."""

from __future__ import annotations

from .limits import Limits

CRLF = b"\r\n"


class RespError(ValueError):
    """The peer does not speak RESP, or goes past a limit."""


class ErrorLine(bytes):
    """The text of an error reply, without its sign."""


class PlainLine(bytes):
    """The text of a simple string or the digits of an integer, without its sign: never a value."""


Reply = bytes | None | ErrorLine | PlainLine | list["Reply"]


class Parser:
    """Whole messages out of the pieces fed; `error` tells why nothing after them can be understood."""

    __slots__ = ("_kept", "_need", "_end", "_value_bytes", "_most", "error", "limits")

    def __init__(self, limits: Limits, value_bytes: int, most: int) -> None:
        self.limits, self._value_bytes, self._most = limits, value_bytes, most
        self._kept, self.error = bytearray(), ""
        self._need = 0  # bytes that have to be kept before a look at them can find anything new
        self._end = 0  # where the value that is not whole yet will end

    @property
    def idle(self) -> bool:
        """Nothing begun and not yet whole."""
        return not self._kept

    def kept(self) -> bytes:
        """What is begun and not yet whole."""
        return bytes(self._kept)

    def feed(self, data: bytes) -> list:
        buf, at, whole = data, 0, []
        if self._kept:
            self._kept += data
            if len(self._kept) < self._need:  # guards against reading a large value anew for each piece of it
                return whole
            buf = bytes(self._kept)
        self._need = self._end = 0
        try:
            while at < len(buf):
                found, end = self._message(buf, at)
                if end < 0:
                    if max(len(buf), self._end) - at > self._most:
                        raise RespError("too long")
                    self._need = self._end - at
                    break
                whole.append(found)
                at = end
        except RespError as err:
            self.error = str(err)
            at = len(buf)
        self._kept = bytearray(buf[at:])
        return whole

    def _message(self, buf: bytes, at: int) -> tuple[object, int]:
        raise NotImplementedError

    def _number(self, buf: bytes, at: int, most: int) -> tuple[int, int]:
        """The number after the sign at that place, and where the line ends; -1 when it is not whole yet."""
        end = buf.find(CRLF, at + 1, at + self.limits.line_bytes)
        if end < 0:
            if len(buf) - at >= self.limits.line_bytes:
                raise RespError("too long a line")
            return 0, -1
        text = buf[at + 1 : end]
        if not text.isdigit():
            if text == b"-1":
                return -1, end + 2
            raise RespError("invalid length")
        if len(text) > 9 or int(text) > most:
            raise RespError("length past the limit")
        return int(text), end + 2

    def _bulk(self, buf: bytes, at: int) -> tuple[bytes | None, int]:
        size, start = self._number(buf, at, self._value_bytes)
        if start < 0 or size < 0:
            return None, start
        end = start + size
        if len(buf) < end + 2:
            self._end = end + 2
            return None, -1
        if buf[end : end + 2] != CRLF:
            raise RespError("a value without its end")
        return buf[start:end], end + 2


class CommandParser(Parser):
    """A client's side: arrays of bulk strings and nothing else."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits, limits.value_bytes, limits.command_bytes)

    def _message(self, buf: bytes, at: int) -> tuple[list[bytes], int]:
        if buf[at] != 42:  # '*'
            raise RespError("expected '*'")
        count, at = self._number(buf, at, self.limits.words)
        words: list[bytes] = []
        if at < 0:
            return words, -1
        most, line, size = self._value_bytes, self.limits.line_bytes, len(buf)
        for _ in range(count):  # what _bulk does, in line: most of a request's parsing is here
            if at >= size:
                return words, -1
            if buf[at] != 36:  # '$'
                raise RespError("expected '$'")
            end = buf.find(CRLF, at + 1, at + line)
            if end < 0:
                if size - at >= line:
                    raise RespError("too long a line")
                return words, -1
            digits = buf[at + 1 : end]
            if not digits.isdigit() or len(digits) > 9:
                raise RespError("invalid length")
            start = end + 2
            end = start + int(digits)
            if end - start > most:
                raise RespError("length past the limit")
            if size < end + 2:
                self._end = end + 2
                return words, -1
            if buf[end : end + 2] != CRLF:
                raise RespError("a value without its end")
            words.append(buf[start:end])
            at = end + 2
        return words, at


class ReplyParser(Parser):
    """A backend server's side: one level of arrays is enough."""

    __slots__ = ()

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits, limits.answer_bytes, 2 * limits.answer_bytes)

    def _message(self, buf: bytes, at: int) -> tuple[Reply, int]:
        return self._reply(buf, at, True)

    def _reply(self, buf: bytes, at: int, nest: bool) -> tuple[Reply, int]:
        sign = buf[at]
        if sign == 36:  # '$'
            return self._bulk(buf, at)
        if sign == 42 and nest:  # '*'
            count, at = self._number(buf, at, self.limits.words)
            if at < 0 or count < 0:
                return None, at
            parts: list[Reply] = []
            for _ in range(count):
                if at >= len(buf):
                    return None, -1
                part, at = self._reply(buf, at, False)
                if at < 0:
                    return None, -1
                parts.append(part)
            return parts, at
        if sign not in b"+-:":
            raise RespError("unknown reply")
        end = buf.find(CRLF, at, at + self.limits.line_bytes)
        if end < 0:
            if len(buf) - at >= self.limits.line_bytes:
                raise RespError("too long a line")
            return None, -1
        text = buf[at + 1 : end]
        return (ErrorLine(text) if sign == 45 else PlainLine(text)), end + 2


def stream_head(buf: bytes | bytearray, least: int) -> tuple[int, int] | None:
    """Where a backend server's answer begins with a value larger than `least` bytes: (its size, where its
    bulk string begins), so that it can be passed on as it comes. None where it is another answer, (0, 0)
    where the head is not whole yet. Guards against streaming what is not of the form agreed on."""
    if len(buf) < 5:
        return (0, 0) if b"*3\r\n$".startswith(bytes(buf)) else None
    if buf[:5] != b"*3\r\n$":
        return None
    end = buf.find(CRLF, 5, 16)
    if end < 0:
        digits = bytes(buf[5:]).removesuffix(b"\r")
        return (0, 0) if len(buf) < 16 and (not digits or digits.isdigit()) else None
    digits = bytes(buf[5:end])
    if not digits.isdigit() or len(digits) > 10 or int(digits) <= least:
        return None
    return int(digits), 4


def answer(reply: Reply) -> tuple[bytes, bytes] | None:
    """The value and the load report of a backend server's answer, where its form is the one agreed on. Guards
    against serving what no backend server made: a length that swallowed what follows leaves too few parts."""
    if not isinstance(reply, list) or len(reply) != 3:
        return None
    if type(reply[0]) is not bytes or any(part is not None and type(part) is not bytes for part in reply):
        return None
    return reply[0], reply[2] or b""


def command(words: list[bytes]) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def busy(ms: int) -> bytes:
    return b"-BUSY %d\r\n" % ms if ms > 0 else b"-BUSY\r\n"


def error(text: str) -> bytes:
    return b"-ERR " + text.replace("\r", " ").replace("\n", " ").encode("ascii", "replace") + CRLF


PONG = b"+PONG\r\n"
