"""The wire as the stand-ins read and write it: RESP2 and HTTP/1.1, in pieces of any size.

Strict on purpose where a gateway speaks: what it may not send raises `ForeignError`, with the reason.
"""

from __future__ import annotations


class ForeignError(ValueError):
    """The other side sent what the protocol does not have."""


class Commands:
    """What a client or a gateway sends: arrays of bulk strings. Feed it bytes, take whole commands."""

    __slots__ = ("_kept", "words", "_left", "_size")

    def __init__(self) -> None:
        self._kept = b""
        self.words: list[bytes] = []  # of the command that is not whole yet
        self._left = 0  # words still to come; 0: between commands
        self._size = -1  # of the word that is coming

    @property
    def idle(self) -> bool:
        """Between two commands."""
        return not self._kept and not self._left

    def feed(self, data: bytes) -> list[list[bytes]]:
        buf = self._kept + data if self._kept else data
        at, whole = 0, []
        while True:
            if self._size >= 0:  # in the middle of a word
                end = at + self._size
                if len(buf) < end + 2:
                    break
                if buf[end : end + 2] != b"\r\n":
                    raise ForeignError("a word without its end")
                self.words.append(buf[at:end])
                at, self._size, self._left = end + 2, -1, self._left - 1
                if not self._left:
                    whole.append(self.words)
                    self.words = []
                continue
            end = buf.find(b"\r\n", at)
            if end < 0:
                break
            sign, digits = buf[at : at + 1], buf[at + 1 : end]
            if sign != (b"$" if self._left else b"*") or not digits.isdigit():
                raise ForeignError(f"not a command: {buf[at:end][:40]!r}")
            at = end + 2
            if self._left:
                self._size = int(digits)
            else:
                self._left = int(digits)
        self._kept = buf[at:]
        return whole


class Replies:
    """What a server answers. A reply is bytes (a bulk string), None (the null one), a str (a line, its sign
    first) or a list of these."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept = b""

    @property
    def idle(self) -> bool:
        return not self._kept

    def feed(self, data: bytes) -> list[object]:
        self._kept += data
        whole = []
        while self._kept:
            reply, end = _reply(self._kept, 0)
            if end < 0:
                break
            whole.append(reply)
            self._kept = self._kept[end:]
        return whole


def _reply(buf: bytes, at: int) -> tuple[object, int]:
    end = buf.find(b"\r\n", at)
    if end < 0:
        return None, -1
    sign, rest, after = buf[at : at + 1], buf[at + 1 : end], end + 2
    if sign in (b"+", b"-", b":"):
        return buf[at:end].decode("latin-1"), after
    try:
        size = int(rest)
    except ValueError:
        raise ForeignError(f"not a reply: {buf[at:end][:40]!r}") from None
    if sign == b"$":
        if size < 0:
            return None, after
        if len(buf) < after + size + 2:
            return None, -1
        if buf[after + size : after + size + 2] != b"\r\n":
            raise ForeignError("a value without its end")
        return buf[after : after + size], after + size + 2
    if sign != b"*":
        raise ForeignError(f"not a reply: {buf[at:end][:40]!r}")
    parts: list[object] = []
    for _ in range(max(0, size)):
        part, after = _reply(buf, after)
        if after < 0:
            return None, -1
        parts.append(part)
    return parts, after


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def fields(text: bytes) -> dict[str, str]:
    """The list of names and values of a call. ForeignError where a part is none or a name comes twice."""
    found: dict[str, str] = {}
    for part in text.decode("latin-1").split(","):
        name, equals, value = part.partition("=")
        if not equals or name in found:
            raise ForeignError(f"not a list of names and values: {text[:60]!r}")
        found[name] = value
    return found


def request_line(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Method, path and query of an HTTP request's head (without its empty line)."""
    words = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        raise ForeignError(f"not a request: {head[:40]!r}")
    path, _, query = words[1].partition("?")
    return words[0], path, dict(p.split("=", 1) for p in query.split("&") if "=" in p)


def told_ms(words: list[bytes]) -> int:
    """Of a call at a guide box: the time that its client waits, as the gateway tells it; 0: none is told."""
    fields = words[3].split(b",") if len(words) > 3 else []
    return next((int(f[2:]) for f in fields if f.startswith(b"d=") and f[2:].isdigit()), 0)
