"""Log lines on standard error: the kind of event, then the details. docs/on-call.md explains each."""

from __future__ import annotations

import contextlib
from typing import Final

from .host import HOST, Host

REPEAT_INTERVAL_NS: Final = 1_000_000_000  # a flood of one kind hides no other, and costs little


class Log:
    """The log of one gateway, rate-limited by kind of line."""

    __slots__ = ("_last_ns", "_suppressed", "_name", "_host", "_interval_ns")

    def __init__(self, name: str, interval_ns: int = REPEAT_INTERVAL_NS, host: Host = HOST) -> None:
        """`name` of the gateway; `interval_ns` between two lines of one kind written by `line_limited`."""
        self._name = name
        self._host = host
        self._interval_ns = interval_ns
        self._last_ns: dict[str, int] = {}  # when a line of a kind was last written
        self._suppressed: dict[str, int] = {}  # lines of a kind left out since

    def line(self, text: str) -> None:
        """Writes a line, always."""
        with contextlib.suppress(OSError):  # a log that can't be written is no reason to stop serving
            self._host.log(f"{self._host.unix_ns() / 1e9:.3f} {self._name} {text}\n")

    def line_limited(self, kind: str, text: str) -> None:
        """Writes a line of a kind that may repeat, or counts it where one was written just before."""
        now = self._host.monotonic_ns()
        if now - self._last_ns.get(kind, -self._interval_ns) < self._interval_ns:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._last_ns[kind] = now
        more = self._suppressed.pop(kind, 0)
        self.line(f"{kind} {text}" + (f" (and {more} more like it)" if more else ""))
