"""The network between processes: who listens where, how long a path takes, and what is wrong with it.

All draws come from one random source, in the order of the events, so that one seed is one network.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from .clock import MICROSECOND_NS, MS_NS, Scheduler
from .network_faults import NetworkFaults

Address = tuple[str, int]
FIRST_PORT: Final = 40001  # of those that the machines choose
FIRST_DESCRIPTOR: Final = 101  # above those that a process holds from its start
LINES_BEFORE_HASHING: Final = 4096  # of the record; hashing each by itself costs a fifth of a run


class NetworkConnection(Protocol):
    """One side of a TCP connection, as the network knows it."""

    def send_held_segments(self) -> None:
        """Send what was held back while the network was cut."""


class NetworkProcess(Protocol):
    """A process, as the network knows it: its machine, its zone and its connections."""

    host: str
    zone: int
    connections: Iterable[NetworkConnection]


@dataclass(slots=True)
class NetworkSettings:
    """How the network treats what crosses it. Times are one way; ratios are from 0 to 1."""

    same_host_ns: int = 30 * MICROSECOND_NS
    same_zone_ns: int = 200 * MICROSECOND_NS
    cross_zone_ns: int = MS_NS
    jitter_ratio: float = 0.2  # each segment takes up to so much more
    window_bytes: int = 65536  # that one side of a connection may have in flight and unread at the other
    max_read_bytes: int = 0  # of one read; 0: as much as the reader's buffer holds
    split_ratio: float = 0.0  # of writes that arrive in several segments
    datagram_delay_ns: tuple[int, int] = (2 * MS_NS, 30 * MS_NS)  # shortest and longest
    datagram_loss_ratio: float = 0.0
    datagram_duplicate_ratio: float = 0.0
    datagrams_per_s: float = 60.0  # that a process takes in; what is over it is lost


class Network:
    """What lies between the processes, and a record of what crosses it, whose digest is the run's.

    `on_connected` is called with both sides of a new TCP connection, who opened it and who accepted it;
    `on_fin_sent` with the side whose sending ends.
    """

    def __init__(
        self, scheduler: Scheduler, rng: random.Random, settings: NetworkSettings | None = None
    ) -> None:
        """Begin without processes; `rng` decides over all that is drawn here."""
        self.scheduler = scheduler
        self.rng = rng
        self.settings = settings or NetworkSettings()
        self.processes: dict[str, NetworkProcess] = {}
        self.listeners: dict[Address, Any] = {}  # `tcp_listen.Listener`
        self.listeners_by_descriptor: dict[int, Any] = {}
        self.datagram_sockets: dict[Address, Any] = {}  # `udp.DatagramSocket`
        self.extra_delay_ns: dict[str, int] = {}  # by host: paths to and from it take so much longer
        self.faults: NetworkFaults | None = None  # of datagrams between processes, by their names
        self.on_connected: Callable[[Any, Any], None] | None = None
        self.on_fin_sent: Callable[[Any], None] | None = None
        self.trace: list[str] | None = None  # lines of the record, where it is kept
        self._isolated_hosts: dict[str, None] = {}
        self._disconnected_hosts: dict[tuple[str, str], None] = {}  # pairs, both ways round
        self._digest = hashlib.blake2b(digest_size=8)
        self._unhashed_lines: list[str] = []
        self._next_port = FIRST_PORT
        self._next_descriptor = FIRST_DESCRIPTOR

    # ---- the record

    def record(self, kind: str, where: str, data: bytes = b"") -> None:
        """Add a line to the record: step, time, kind, place, size and checksum of the bytes."""
        scheduler = self.scheduler
        line = f"{scheduler.steps} {scheduler.now_ns} {kind} {where} {len(data)} {zlib.crc32(data):08x}"
        self._unhashed_lines.append(line)
        if self.trace is not None:
            self.trace.append(line)
        if len(self._unhashed_lines) >= LINES_BEFORE_HASHING:
            self._hash_lines()

    def _hash_lines(self) -> None:
        self._digest.update("\n".join(self._unhashed_lines).encode())
        self._digest.update(b"\n")
        self._unhashed_lines.clear()

    def digest(self) -> str:
        """The digest of the record so far: equal for equal runs."""
        self._hash_lines()
        return self._digest.copy().hexdigest()

    # ---- numbers

    def allocate_port(self) -> int:
        """A port that nobody has had."""
        port = self._next_port
        self._next_port += 1
        return port

    def allocate_descriptor(self) -> int:
        """A descriptor number that nobody has had."""
        descriptor = self._next_descriptor
        self._next_descriptor += 1
        return descriptor

    # ---- paths

    def delay_ns(self, source: NetworkProcess, target: NetworkProcess) -> int:
        """How long one segment takes from a process to another, by one draw where there is jitter."""
        settings = self.settings
        if source.host == target.host:
            base = settings.same_host_ns
        elif source.zone == target.zone:
            base = settings.same_zone_ns
        else:
            base = settings.cross_zone_ns
        if self.extra_delay_ns:
            base += self.extra_delay_ns.get(source.host, 0) + self.extra_delay_ns.get(target.host, 0)
        if not settings.jitter_ratio:
            return base
        return int(base * (1 + settings.jitter_ratio * self.rng.random()))

    def is_cut(self, host: str, other: str) -> bool:
        """Whether nothing passes between these hosts at present."""
        isolated = self._isolated_hosts
        if isolated and host != other and (host in isolated or other in isolated):
            return True
        return (host, other) in self._disconnected_hosts

    def isolate(self, host: str) -> None:
        """Cut a host off: open connections stay open and carry nothing, new ones never come up."""
        self._isolated_hosts[host] = None
        self.record("cut", host)

    def disconnect(self, host: str, other: str) -> None:
        """Cut the path between two hosts, as `isolate` does."""
        self._disconnected_hosts[host, other] = None
        self._disconnected_hosts[other, host] = None
        self.record("cut", f"{host} {other}")

    def reconnect(self, host: str, other: str | None = None) -> None:
        """Undo `isolate` of a host or `disconnect` of two.

        Segments that were held back are sent, as TCP sends them again; datagrams were lost.
        """
        if other is None:
            self._isolated_hosts.pop(host, None)
        else:
            self._disconnected_hosts.pop((host, other), None)
            self._disconnected_hosts.pop((other, host), None)
        self.record("mend", host if other is None else f"{host} {other}")
        for process in list(self.processes.values()):
            for connection in list(process.connections):
                connection.send_held_segments()
