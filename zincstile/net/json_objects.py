"""Complete JSON objects out of lines, no I/O: one a line, several, or one over many, as in indented JSON."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, Final

# A string, which may hold brackets, or a bracket. No string of JSON holds a line feed: a line has whole ones.
TOKENS: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')
OPENING: Final = (b"{", b"[")
CLOSING: Final = (b"}", b"]")


class JsonObjectParser:
    """Collects lines until the brackets of an object are closed."""

    __slots__ = ("_max_bytes", "_object_hook", "_parts", "_size_bytes", "_depth")

    def __init__(self, max_bytes: int, object_hook: Callable[[dict[str, Any]], Any] | None = None) -> None:
        """max_bytes: of an object over several lines. object_hook: called with every object as soon as it is
        decoded, the inner ones first; what it returns stands in its place (`json.loads`).
        """
        self._max_bytes = max_bytes
        self._object_hook = object_hook
        self._parts: list[bytes] = []  # of an object that is begun and not complete
        self._size_bytes = 0
        self._depth = 0

    @property
    def idle(self) -> bool:
        """No object is begun."""
        return not self._parts

    def feed(self, line: bytes) -> list[Any]:
        """Returns the objects that a line completes, decoded.

        Raises ValueError where what comes is no object, or one that is too large.
        """
        line = line.strip()
        if not self._parts and line[:1] == b"{" and line[-1:] == b"}":  # most are one a line
            try:
                return [json.loads(line, object_hook=self._object_hook)]
            except ValueError:
                pass
        return [json.loads(text, object_hook=self._object_hook) for text in self._split(line)]

    def _split(self, line: bytes) -> list[bytes]:
        """Returns the texts of the objects that a line completes, and keeps what it begins."""
        complete: list[bytes] = []
        begin = 0
        for token in TOKENS.finditer(line):
            bracket = token[0]
            if bracket in OPENING:
                if not self._depth and line[begin : token.start()].strip():
                    raise ValueError("text between objects")
                self._depth += 1
            elif bracket in CLOSING:
                self._depth -= 1
                if self._depth < 0:
                    raise ValueError("a bracket that closes nothing")
                if not self._depth:
                    complete.append(b"\n".join([*self._parts, line[begin : token.end()]]))
                    self._parts = []
                    self._size_bytes = 0
                    begin = token.end()
        self._keep(line[begin:].strip())
        return complete

    def _keep(self, rest: bytes) -> None:
        """Keeps the part of an object that goes on in the next line."""
        if not rest:
            return
        if not self._depth:
            raise ValueError("not an object")
        self._size_bytes += len(rest) + 1
        if self._size_bytes > self._max_bytes:  # guards the memory against one that never ends
            raise ValueError("an object past the limit")
        self._parts.append(rest)
