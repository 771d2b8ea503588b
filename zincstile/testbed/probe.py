"""Observes a run with real processes for the checkers and the charts.

Attempts are counted when their bytes reach the testbed, before the faults of a plan delay them, and so at
the time when the gateway sent them. All times are of this machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from ..checkers.checker import Checker
from ..emulators import codec
from ..emulators.observer import Observer

TICK_NS: Final = 5_000_000  # between two measurements of the loop's delay
CATCH_UP_NS: Final = 1_000_000_000  # after a delay, data read may have arrived during the delay
KINDS = ("served", "denied", "failed", "unreached")
FIGURES = (
    "level",
    "out",
    "good",
    "doubted",
    "messages_out",
    "messages_in",
    "cpu_ms",
    "memory_kb",
    "loans",
    "hand",
    "attempts",
    "customers",
)


@dataclass(slots=True)
class TimeSeries:
    """Counts by second since the first request, and by gateway."""

    answers: dict[tuple[int, str, str], int] = field(default_factory=dict)  # second, gateway, kind
    units: dict[tuple[int, str], float] = field(default_factory=dict)  # second, gateway: forwarded
    best: dict[int, float] = field(
        default_factory=dict
    )  # second: units that a single central store would admit
    figures: dict[tuple[int, str], dict[str, float]] = field(default_factory=dict)  # second, gateway
    faults: list[tuple[float, str]] = field(default_factory=list)  # second, description

    def answer(self, second: int, gateway: str, kind: str) -> None:
        """Counts one answer."""
        key = second, gateway, kind
        self.answers[key] = self.answers.get(key, 0) + 1

    def rows(self, gateways: list[str]) -> list[dict[str, Any]]:
        """Returns one row for each second and gateway, for files and charts."""
        seconds = [k[0] for k in (*self.answers, *self.units, *self.figures)]
        rows = []
        for second in range(min(seconds, default=0), max(seconds, default=-1) + 1):
            for name in gateways:
                row: dict[str, Any] = {"second": second, "gateway": name}
                row |= {kind: self.answers.get((second, name, kind), 0) for kind in KINDS}
                row["units"] = round(self.units.get((second, name), 0.0), 2)
                row |= {k: v for k, v in self.figures.get((second, name), {}).items() if k in FIGURES}
                rows.append(row)
        return rows


class Probe(Observer):
    """Passes every event on to the checker, and counts by second for the charts."""

    def __init__(self, checker: Checker, series: TimeSeries, began_s: Callable[[], float]) -> None:
        """`began_s`: when the first request was sent, by the monotonic clock."""
        self.checker = checker
        self.series = series
        self._began_s = began_s
        self.died_as_planned: Callable[[str], bool] = lambda gateway: False
        self._ticked_ns = time.monotonic_ns()
        self._loop_delay_ns = self._delayed_until_ns = 0
        self.arrivals: list[tuple[float, str, int]] = []  # time, backend, work in ns

    def measure_loop_delay(self, loop: asyncio.AbstractEventLoop) -> None:
        """Measures from now on how late the testbed's event loop runs."""
        now_ns = time.monotonic_ns()
        delay_ns = now_ns - self._ticked_ns - 2 * TICK_NS
        if now_ns >= self._delayed_until_ns or delay_ns > self._loop_delay_ns:
            self._loop_delay_ns, self._delayed_until_ns = max(0, delay_ns), now_ns + CATCH_UP_NS
        self._ticked_ns = now_ns
        loop.call_later(TICK_NS / 1e9, self.measure_loop_delay, loop)

    def loop_delay_ns(self) -> int:
        """Returns how long ago data read now may have arrived, because the testbed was busy or is still
        catching up. No gateway is blamed for this delay."""
        return max(self._loop_delay_ns, time.monotonic_ns() - self._ticked_ns - 2 * TICK_NS)

    def _sender(self, gateway: str, request_id: bytes) -> str:
        """Returns the gateway; if all share the backend's address, the one that received the request."""
        history = self.checker.histories.get(request_id) if gateway == "?" else None
        return gateway if history is None else history.gateway

    def _second(self) -> int:
        return int(time.monotonic() - self._began_s())

    def request_sent(self, request: Any) -> None:
        """Counts the units of the request that a single central store would admit."""
        quotas = self.checker.quotas
        before = quotas.ideal_units if quotas else 0.0
        self.checker.request_sent(request)
        if quotas:
            second = self._second()
            self.series.best[second] = self.series.best.get(second, 0.0) + quotas.ideal_units - before

    def request_answered(self, request_id: bytes, kind: str, value: bytes) -> None:
        """Counts the answer by its kind."""
        self.series.answer(self._second(), self.checker.histories[request_id].gateway, kind)
        self.checker.request_answered(request_id, kind, value)

    def attempt_first_byte(self, gateway: str, backend: str, request_id: bytes, first_ns: int) -> Any:
        """Records an attempt whose first arguments have arrived; returns the checker's record of it."""
        history = self.checker.histories.get(request_id)
        gateway = self._sender(gateway, request_id)
        if history is not None and not history.attempts:
            key = self._second(), gateway
            self.series.units[key] = self.series.units.get(key, 0.0) + history.units
        return self.checker.attempt_started(gateway, backend, request_id, first_ns)

    # events for the checker alone

    def unexpected_answer(self, gateway: str, line: int, text: str) -> None:
        """Reports an answer without a request, or one that cannot be parsed."""
        self.checker.unexpected_answer(gateway, line, text)

    def request_dropped(self, request_id: bytes) -> None:
        """Reports a request that was read, but whose connection closed without an answer."""
        if self.died_as_planned(self.checker.histories[request_id].gateway):
            self.checker.request_ended_unanswered(request_id)
            return
        self.checker.request_dropped(request_id)

    def was_forwarded(self, request_id: bytes) -> bool:
        """Returns whether the request was forwarded since it was sent. If so, the gateway has read it and
        owes the answer on this connection. For one forwarded later, it is unknown which process read it."""
        history = self.checker.histories[request_id]
        return history.attempted

    def request_unread(self, request_id: bytes) -> None:
        """Reports a request whose connection closed before it was read."""
        self.checker.request_ended_unanswered(request_id)

    def client_disconnected(self, request_id: bytes) -> None:
        """Reports that the client closed the connection of this request."""
        self.checker.client_disconnected(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """Reports a request that is owed no answer: client gone, gateway killed, or request never read."""
        self.checker.request_ended_unanswered(request_id)

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """Records an attempt that a backend has read; `work_ns`: its work."""
        self.arrivals.append((time.monotonic(), backend, work_ns))
        self.checker.attempt_received(backend, request_id, key, self._sender(gateway, request_id), work_ns)

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """Reports that a backend rejected the attempt."""
        self.checker.attempt_rejected(backend, request_id)

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """Reports that a backend computed the value."""
        self.checker.value_produced(backend, request_id, value)

    def protocol_violated(self, where: str, gateway: str, why: str) -> None:
        """Reports that a gateway violated the protocol of an emulated service."""
        self.checker.protocol_violated(where, gateway, why)

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """Reports a change of the endpoint list."""
        self.checker.endpoint_changed(backend, status, since_ms)

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """Reports that the change was sent to a gateway."""
        self.checker.gateway_notified(gateway, backend, status, since_ms)


class CommandTap:
    """Parses the commands of one connection on arrival, before the path delays them."""

    __slots__ = ("probe", "gateway", "backend", "_commands", "_first_ns", "_attempt", "_malformed")

    def __init__(self, probe: Probe, gateway: str, backend: str) -> None:
        """`gateway`, `backend`: the names of both ends."""
        self.probe = probe
        self.gateway = gateway
        self.backend = backend
        self._commands = codec.CommandParser()
        self._first_ns = 0
        self._attempt: Any = None
        self._malformed = False  # parsing stopped; the backend reports the violation

    def feed(self, data: bytes) -> None:
        """Parses more data; reports the start and the end of each attempt."""
        if self._malformed:
            return
        if self._commands.idle:
            self._first_ns = time.monotonic_ns() - self.probe.loop_delay_ns()
        try:
            complete = self._commands.feed(data)
        except codec.ProtocolError:
            self._malformed = True
            return
        for arguments in complete or [self._commands.arguments]:
            if self._attempt is None and len(arguments) > 2:
                self._attempt = self.probe.attempt_first_byte(
                    self.gateway, self.backend, arguments[2], self._first_ns
                )
            if complete and self._attempt is not None:
                self.probe.checker.attempt_completed(
                    arguments[2], self._attempt, codec.forwarded_timeout_ms(arguments)
                )
                self._attempt = None
