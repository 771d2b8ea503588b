"""What the checkers and the charts observe of a run with real processes.

Attempts are seen when their bytes reach the testbed's side of a connection, before the faults of a plan
delay them: what a gateway sent is counted when it sent it. All clocks are this machine's
monotonic one.
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

TICK_NS: Final = 5_000_000  # between two looks at the own loop's delay
CATCH_UP_NS: Final = 1_000_000_000  # after a delay, what is read may have come during it
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
    """By second since the first request, and by gateway."""

    answers: dict[tuple[int, str, str], int] = field(default_factory=dict)  # second, gateway, kind
    units: dict[tuple[int, str], float] = field(default_factory=dict)  # second, gateway: sent on
    best: dict[int, float] = field(default_factory=dict)  # second: what one all-seeing store would let in
    figures: dict[tuple[int, str], dict[str, float]] = field(default_factory=dict)  # second, gateway
    faults: list[tuple[float, str]] = field(default_factory=list)  # second, what

    def answer(self, second: int, gateway: str, kind: str) -> None:
        """Counts one answer."""
        key = second, gateway, kind
        self.answers[key] = self.answers.get(key, 0) + 1

    def rows(self, gateways: list[str]) -> list[dict[str, Any]]:
        """One row a second and gateway, for files and charts."""
        seconds = [k[0] for k in (*self.answers, *self.units, *self.figures)]
        made = []
        for second in range(min(seconds, default=0), max(seconds, default=-1) + 1):
            for name in gateways:
                row: dict[str, Any] = {"second": second, "gateway": name}
                row |= {kind: self.answers.get((second, name, kind), 0) for kind in KINDS}
                row["units"] = round(self.units.get((second, name), 0.0), 2)
                row |= {k: v for k, v in self.figures.get((second, name), {}).items() if k in FIGURES}
                made.append(row)
        return made


class Probe(Observer):
    """Hands all on to the checker, and counts by second for the charts."""

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
        """From now on it is known how long the testbed's own loop was held up."""
        now_ns = time.monotonic_ns()
        delay_ns = now_ns - self._ticked_ns - 2 * TICK_NS
        if now_ns >= self._delayed_until_ns or delay_ns > self._loop_delay_ns:
            self._loop_delay_ns, self._delayed_until_ns = max(0, delay_ns), now_ns + CATCH_UP_NS
        self._ticked_ns = now_ns
        loop.call_later(TICK_NS / 1e9, self.measure_loop_delay, loop)

    def loop_delay_ns(self) -> int:
        """What is read now may have come so long ago, as the testbed was busy, or has still to catch up with
        what came meanwhile: no gateway is to blame."""
        return max(self._loop_delay_ns, time.monotonic_ns() - self._ticked_ns - 2 * TICK_NS)

    def _sender(self, gateway: str, request_id: bytes) -> str:
        """The gateway; where a backend has one address for all, the one that received this request."""
        history = self.checker.histories.get(request_id) if gateway == "?" else None
        return gateway if history is None else history.gateway

    def _second(self) -> int:
        return int(time.monotonic() - self._began_s())

    def request_sent(self, request: Any) -> None:
        """Counts what one all-seeing store would let in of it."""
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
        """The head of an attempt has come; returns the checker's record of the attempt."""
        history = self.checker.histories.get(request_id)
        gateway = self._sender(gateway, request_id)
        if history is not None and not history.attempts:
            key = self._second(), gateway
            self.series.units[key] = self.series.units.get(key, 0.0) + history.units
        return self.checker.attempt_started(gateway, backend, request_id, first_ns)

    # what needs no more than the checker

    def unexpected_answer(self, gateway: str, line: int, text: str) -> None:
        """A client received an answer to nothing, or one that can't be read."""
        self.checker.unexpected_answer(gateway, line, text)

    def request_dropped(self, request_id: bytes) -> None:
        """Its connection was ended after it was read, without an answer."""
        if self.died_as_planned(self.checker.histories[request_id].gateway):
            self.checker.request_ended_unanswered(request_id)
            return
        self.checker.request_dropped(request_id)

    def was_forwarded(self, request_id: bytes) -> bool:
        """It was forwarded since it was sent: the gateway had read it, and owes its answer on the same
        connection. Of one that is forwarded later it isn't known which process read it."""
        history = self.checker.histories[request_id]
        return history.attempted

    def request_unread(self, request_id: bytes) -> None:
        """Its connection was ended before it was read."""
        self.checker.request_ended_unanswered(request_id)

    def client_disconnected(self, request_id: bytes) -> None:
        """The client closed the connection that it asked on, and waits no more."""
        self.checker.client_disconnected(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """No answer is owed: the client left, the gateway died or the request was never read."""
        self.checker.request_ended_unanswered(request_id)

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """A backend has read the attempt; `work_ns`: what it costs."""
        self.arrivals.append((time.monotonic(), backend, work_ns))
        self.checker.attempt_received(backend, request_id, key, self._sender(gateway, request_id), work_ns)

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """A backend rejected the attempt."""
        self.checker.attempt_rejected(backend, request_id)

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """A backend has worked out the value."""
        self.checker.value_produced(backend, request_id, value)

    def protocol_violated(self, where: str, gateway: str, why: str) -> None:
        """A gateway sent an emulated service what the protocol does not allow."""
        self.checker.protocol_violated(where, gateway, why)

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """The endpoint list changed."""
        self.checker.endpoint_changed(backend, status, since_ms)

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """A gateway was sent the change."""
        self.checker.gateway_notified(gateway, backend, status, since_ms)


class CommandTap:
    """Reads the commands of one connection as they come, before the path delays them."""

    __slots__ = ("probe", "gateway", "backend", "_commands", "_first_ns", "_attempt", "_malformed")

    def __init__(self, probe: Probe, gateway: str, backend: str) -> None:
        """Takes the probe to notify, and the names of both ends."""
        self.probe = probe
        self.gateway = gateway
        self.backend = backend
        self._commands = codec.CommandParser()
        self._first_ns = 0
        self._attempt: Any = None
        self._malformed = False  # the backend reports it

    def feed(self, data: bytes) -> None:
        """Reads on; reports each attempt as soon as its head has come, and its end."""
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
