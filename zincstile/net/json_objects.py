"""Parses JSON objects from lines, without I/O: one or several per line, or one over several lines."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, Final

# A string, which may contain brackets, or a bracket. JSON strings contain no line feed, so none is split.
TOKENS: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')
OPENING: Final = (b"{", b"[")
CLOSING: Final = (b"}", b"]")


class JsonObjectParser:
    """Collects lines until all brackets of an object are closed."""

    __slots__ = ("_max_bytes", "_object_hook", "_parts", "_size_bytes", "_depth")

    def __init__(self, max_bytes: int, object_hook: Callable[[dict[str, Any]], Any] | None = None) -> None:
        """`max_bytes` limits an object over several lines. `object_hook` is that of `json.loads`: called with
        each decoded object, inner ones first; its result replaces the object.
        """
        self._max_bytes = max_bytes
        self._object_hook = object_hook
        self._parts: list[bytes] = []  # lines of an incomplete object
        self._size_bytes = 0
        self._depth = 0

    @property
    def idle(self) -> bool:
        """Whether no object is incomplete."""
        return not self._parts

    def feed(self, line: bytes) -> list[Any]:
        """Returns the decoded objects that a line completes.

        Raises ValueError if the input is not a JSON object or exceeds the limit.
        """
        line = line.strip()
        if not self._parts and line[:1] == b"{" and line[-1:] == b"}":  # the usual case: one object per line
            try:
                return [json.loads(line, object_hook=self._object_hook)]
            except ValueError:
                pass
        return [json.loads(text, object_hook=self._object_hook) for text in self._split(line)]

    def _split(self, line: bytes) -> list[bytes]:
        """Returns the texts of the objects that a line completes, and keeps an incomplete one."""
        complete: list[bytes] = []
        begin = 0
        for token in TOKENS.finditer(line):
            bracket = token[0]
            if bracket in OPENING:
                if not self._depth and line[begin : token.start()].strip():
                    raise ValueError("unexpected text between JSON objects")
                self._depth += 1
            elif bracket in CLOSING:
                self._depth -= 1
                if self._depth < 0:
                    raise ValueError("unmatched closing bracket")
                if not self._depth:
                    complete.append(b"\n".join([*self._parts, line[begin : token.end()]]))
                    self._parts = []
                    self._size_bytes = 0
                    begin = token.end()
        self._keep_incomplete(line[begin:].strip())
        return complete

    def _keep_incomplete(self, text: bytes) -> None:
        """Keeps the part of an object that continues on the next line."""
        if not text:
            return
        if not self._depth:
            raise ValueError("expected a JSON object")
        self._size_bytes += len(text) + 1
        if self._size_bytes > self._max_bytes:  # bounds the memory for an object that never ends
            raise ValueError("JSON object exceeds the size limit")
        self._parts.append(text)
