"""Log lines on standard error: a word for what it is, then the details. docs/on-call.md explains each."""

from __future__ import annotations

import contextlib

from .host import HOST, Host


class Log:
    """Few lines: of a kind that may repeat, one a second at most; the next tells how many were left out."""

    __slots__ = ("_last", "_left_out", "_name", "_host", "_every_ns")

    def __init__(self, name: str, every_ns: int = 1_000_000_000, host: Host = HOST) -> None:
        self._name, self._host, self._every_ns = name, host, every_ns
        self._last: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def line(self, text: str) -> None:
        """Always written."""
        with contextlib.suppress(OSError):  # a log that can't be written is no reason to stop serving
            self._host.log(f"{self._host.unix_ns() / 1e9:.3f} {self._name} {text}\n")

    def often(self, kind: str, text: str) -> None:
        now = self._host.monotonic_ns()
        if now - self._last.get(kind, -self._every_ns) < self._every_ns:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return
        self._last[kind] = now
        more = self._left_out.pop(kind, 0)
        self.line(f"{kind} {text}" + (f" (and {more} more like it)" if more else ""))
