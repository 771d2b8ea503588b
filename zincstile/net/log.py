"""Log lines on standard error: the kind of event, then the details. docs/on-call.md explains each."""

from __future__ import annotations

import contextlib
from typing import Final

from .host import HOST, Host

REPEAT_INTERVAL_NS: Final = 1_000_000_000  # limits the cost of many lines of one kind


class Log:
    """The log of one gateway, rate-limited by kind of line."""

    __slots__ = ("_last_ns", "_suppressed", "_name", "_host", "_interval_ns")

    def __init__(self, name: str, interval_ns: int = REPEAT_INTERVAL_NS, host: Host = HOST) -> None:
        """name: of the gateway. interval_ns: minimum between two lines of one kind from `line_limited`."""
        self._name = name
        self._host = host
        self._interval_ns = interval_ns
        self._last_ns: dict[str, int] = {}  # by kind, when a line was last written
        self._suppressed: dict[str, int] = {}  # by kind, lines suppressed since

    def line(self, text: str) -> None:
        """Writes a line without a rate limit."""
        with contextlib.suppress(OSError):  # a failed write must not stop the gateway
            self._host.log(f"{self._host.unix_ns() / 1e9:.3f} {self._name} {text}\n")

    def line_limited(self, kind: str, text: str) -> None:
        """Writes a line, or only counts it if one of its kind was written within the interval."""
        now = self._host.monotonic_ns()
        if now - self._last_ns.get(kind, -self._interval_ns) < self._interval_ns:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._last_ns[kind] = now
        suppressed = self._suppressed.pop(kind, 0)
        self.line(f"{kind} {text}" + (f" (and {suppressed} more suppressed)" if suppressed else ""))
