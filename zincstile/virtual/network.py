"""What lies between processes: who listens where, how long the way is, and what is wrong with it at present.

All draws come from one random source, in the order of the events, so that one seed is one network.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from .clock import MICROSECOND, MS, Scheduler
from .network_faults import Links

Address = tuple[str, int]


class Connection(Protocol):
    """One side of a TCP connection, as the network knows it."""

    def resume_held(self) -> None:
        """Sends what was held back while the network was cut."""


class Located(Protocol):
    """A process, as the network knows it: the machine and the zone that it runs in, and its connections."""

    host: str
    zone: int
    endpoints: Iterable[Connection]


@dataclass(slots=True)
class Ways:
    """How the network treats what crosses it. Times in nanoseconds, shares from 0 to 1."""

    own_ns: int = 30 * MICROSECOND  # one way between processes of one machine
    near_ns: int = 200 * MICROSECOND  # between machines of one zone
    far_ns: int = MS  # between zones
    jitter: float = 0.2  # at most this much more of it, for each piece
    window_bytes: int = 65536  # what one side of a connection may have on its way and unread at the other
    read_bytes: int = 0  # most that one read takes; 0: as much as the reader's buffer holds
    split: float = 0.0  # share of the writes that arrive in several pieces
    udp_ns: tuple[int, int] = (2 * MS, 30 * MS)  # shortest and longest way of a datagram
    udp_loss: float = 0.0
    udp_twice: float = 0.0  # share of the datagrams that arrive twice
    udp_per_s: float = 60.0  # datagrams that a process takes in a second; what is over it is lost


class Network:
    """The wires, and a record of what crosses them, whose digest is the run's."""

    def __init__(self, scheduler: Scheduler, rng: random.Random, ways: Ways | None = None) -> None:
        self.scheduler, self.rng, self.ways = scheduler, rng, ways or Ways()
        self.processes: dict[str, Located] = {}
        self.listeners: dict[Address, Any] = {}  # `tcp_listen.Listener`
        self.listening: dict[int, Any] = {}  # the same, by descriptor
        self.bound: dict[Address, Any] = {}  # `udp.Datagrams`
        self.mute: dict[str, None] = {}  # machines that nothing reaches or leaves
        self.lag_ns: dict[str, int] = {}  # machines whose ways are longer by so much
        self.cuts: dict[tuple[str, str], None] = {}  # machines between which nothing passes, both ways round
        self.links: Links | None = None  # what is wrong with datagrams between processes, by their names
        self.on_connected: Callable[[Any, Any], None] | None = None  # endpoints: who opened it, who took it
        self.on_end: Callable[[Any], None] | None = None  # the endpoint whose sending ends
        self.trace: list[str] | None = None  # lines of all that happened, where it is kept
        self._digest = hashlib.blake2b(digest_size=8)
        self._lines: list[str] = []
        self._ports = 40000
        self._descriptors = 100

    # ---- the record

    def note(self, what: str, where: str, data: bytes = b"") -> None:
        """One line of the record: step, time, what, where, how much and which bytes."""
        scheduler = self.scheduler
        line = f"{scheduler.steps} {scheduler.now_ns} {what} {where} {len(data)} {zlib.crc32(data):08x}"
        self._lines.append(line)
        if self.trace is not None:
            self.trace.append(line)
        if len(self._lines) >= 4096:
            self._fold()

    def _fold(self) -> None:
        self._digest.update("\n".join(self._lines).encode())
        self._digest.update(b"\n")
        self._lines.clear()

    def digest(self) -> str:
        """Of the record so far: equal for equal runs."""
        self._fold()
        return self._digest.copy().hexdigest()

    # ---- the ways

    def port(self) -> int:
        """A port that nobody has had."""
        self._ports += 1
        return self._ports

    def descriptor(self) -> int:
        """A descriptor number that nobody has had."""
        self._descriptors += 1
        return self._descriptors

    def way_ns(self, a: Located, b: Located) -> int:
        """One way from a to b, with this piece's jitter."""
        ways = self.ways
        base = ways.own_ns if a.host == b.host else ways.near_ns if a.zone == b.zone else ways.far_ns
        if self.lag_ns:
            base += self.lag_ns.get(a.host, 0) + self.lag_ns.get(b.host, 0)
        return int(base * (1 + ways.jitter * self.rng.random())) if ways.jitter else base

    def silent(self, a: str, b: str) -> bool:
        """Nothing passes between these machines at present."""
        return bool(
            self.mute and (a in self.mute or b in self.mute) and a != b or self.cuts and (a, b) in self.cuts
        )

    def hush(self, host: str) -> None:
        """The machine is cut off: open connections stay open and say nothing, new ones never come up."""
        self.mute[host] = None
        self.note("cut", host)

    def cut(self, a: str, b: str) -> None:
        """The same between two machines."""
        self.cuts[a, b] = self.cuts[b, a] = None
        self.note("cut", f"{a} {b}")

    def mend(self, a: str, b: str | None = None) -> None:
        """What was held back goes on its way, as TCP sends it again; datagrams were lost."""
        if b is None:
            self.mute.pop(a, None)
        else:
            self.cuts.pop((a, b), None)
            self.cuts.pop((b, a), None)
        self.note("mend", a if b is None else f"{a} {b}")
        for process in list(self.processes.values()):
            for endpoint in list(process.endpoints):
                endpoint.resume_held()
