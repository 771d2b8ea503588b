"""Whole JSON objects out of lines, no I/O: one a line, several, or one over many, as where it is indented."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

# A string, which may hold brackets, or a bracket. JSON knows no line feed in a string: a line has whole ones.
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class JsonObjects:
    """Collects lines until the brackets of an object are closed. ValueError where what comes is none, or is
    larger than it may be. `each` is called with every object as soon as it is read, the inner ones first;
    what it returns stands in its place."""

    __slots__ = ("_most", "_each", "_parts", "_size", "_depth")

    def __init__(self, most_bytes: int, each: Callable[[dict[str, Any]], Any] | None = None) -> None:
        self._most, self._each = most_bytes, each
        self._parts: list[bytes] = []  # of an object that is begun and not whole
        self._size = self._depth = 0

    @property
    def idle(self) -> bool:
        return not self._parts

    def feed(self, line: bytes) -> list[Any]:
        """The objects that this line makes whole, read."""
        line = line.strip()
        if not self._parts and line[:1] == b"{" and line[-1:] == b"}":  # most are one a line
            try:
                return [json.loads(line, object_hook=self._each)]
            except ValueError:
                pass
        return [json.loads(text, object_hook=self._each) for text in self._split(line)]

    def _split(self, line: bytes) -> list[bytes]:
        whole: list[bytes] = []
        begin = 0
        for token in TOKENS.finditer(line):
            sign = token[0]
            if sign in (b"{", b"["):
                if not self._depth and line[begin : token.start()].strip():
                    raise ValueError("text between objects")
                self._depth += 1
            elif sign in (b"}", b"]"):
                self._depth -= 1
                if self._depth < 0:
                    raise ValueError("a bracket that closes nothing")
                if not self._depth:
                    whole.append(b"\n".join([*self._parts, line[begin : token.end()]]))
                    self._parts, self._size, begin = [], 0, token.end()
        rest = line[begin:].strip()
        if rest:
            if not self._depth:
                raise ValueError("not an object")
            self._size += len(rest) + 1
            if self._size > self._most:  # guards the memory against one that never ends
                raise ValueError("an object past the limit")
            self._parts.append(rest)
        return whole
