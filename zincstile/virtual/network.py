"""The network between processes: listening addresses, path delays and partitions.

All random draws come from one source, in the order of events, so that one seed always gives the same run.
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
FIRST_PORT: Final = 40001  # the first port chosen for port 0 and for outgoing connections
FIRST_DESCRIPTOR: Final = 101  # above the descriptors that a process has open from its start
LINES_BEFORE_HASHING: Final = 4096  # per hash update; hashing each line by itself costs a fifth of a run


class NetworkConnection(Protocol):
    """What the network needs of one side of a TCP connection."""

    def send_blocked_segments(self) -> None:
        """Sends the segments that were blocked by a partition."""


class NetworkProcess(Protocol):
    """What the network needs of a process: its host, its zone and its connections."""

    host: str
    zone: int
    connections: Iterable[NetworkConnection]


@dataclass(slots=True)
class NetworkSettings:
    """Delays, losses and limits of the network. Delays are one-way; ratios are from 0 to 1."""

    same_host_ns: int = 30 * MICROSECOND_NS
    same_zone_ns: int = 200 * MICROSECOND_NS
    cross_zone_ns: int = MS_NS
    jitter_ratio: float = 0.2  # maximum random addition to a segment's delay, as a ratio of it
    window_bytes: int = 65536  # maximum bytes of one side that are in flight or unread by its peer
    max_read_bytes: int = 0  # limit of one read; 0: only the size of the reader's buffer
    split_ratio: float = 0.0  # probability of splitting what is sent, repeated for the remainder
    datagram_delay_ns: tuple[int, int] = (2 * MS_NS, 30 * MS_NS)  # minimum and maximum
    datagram_loss_ratio: float = 0.0
    datagram_duplicate_ratio: float = 0.0
    datagrams_per_s: float = 60.0  # receive limit of a process; further datagrams are dropped


class Network:
    """The network between processes. Keeps a record of all traffic; its digest identifies the run.

    `on_connected` is called with the opening and the accepting side of a new TCP connection; `on_fin_sent` is
    called with the side that has sent its FIN.
    """

    def __init__(
        self, scheduler: Scheduler, rng: random.Random, settings: NetworkSettings | None = None
    ) -> None:
        """Creates a network without processes; `rng` is the source of all random draws."""
        self.scheduler = scheduler
        self.rng = rng
        self.settings = settings or NetworkSettings()
        self.processes: dict[str, NetworkProcess] = {}
        self.listeners: dict[Address, Any] = {}  # `tcp_listen.Listener`
        self.listeners_by_descriptor: dict[int, Any] = {}
        self.datagram_sockets: dict[Address, Any] = {}  # `udp.DatagramSocket`
        self.extra_delay_ns: dict[str, int] = {}  # by host: added to the delay of paths to and from it
        self.faults: NetworkFaults | None = None  # of datagrams, by process name
        self.on_connected: Callable[[Any, Any], None] | None = None
        self.on_fin_sent: Callable[[Any], None] | None = None
        self.trace: list[str] | None = None  # lines of the record; None: not kept
        self._isolated_hosts: dict[str, None] = {}
        self._disconnected_hosts: dict[tuple[str, str], None] = {}  # pairs, in both directions
        self._digest = hashlib.blake2b(digest_size=8)
        self._unhashed_lines: list[str] = []
        self._next_port = FIRST_PORT
        self._next_descriptor = FIRST_DESCRIPTOR

    # ---- the record

    def record(self, kind: str, location: str, data: bytes = b"") -> None:
        """Adds a line to the record: step, time, kind, location, size and checksum of the bytes."""
        scheduler = self.scheduler
        line = f"{scheduler.steps} {scheduler.now_ns} {kind} {location} {len(data)} {zlib.crc32(data):08x}"
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
        """Returns the digest of the record so far; equal runs have equal digests."""
        self._hash_lines()
        return self._digest.copy().hexdigest()

    # ---- numbers

    def allocate_port(self) -> int:
        """Returns a port that was not allocated before."""
        port = self._next_port
        self._next_port += 1
        return port

    def allocate_descriptor(self) -> int:
        """Returns a descriptor number that was not allocated before."""
        descriptor = self._next_descriptor
        self._next_descriptor += 1
        return descriptor

    # ---- paths

    def delay_ns(self, source: NetworkProcess, target: NetworkProcess) -> int:
        """Returns the delay of one segment from `source` to `target`; with jitter this takes one draw."""
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
        """Returns whether no traffic passes between these hosts at present."""
        isolated = self._isolated_hosts
        if isolated and host != other and (host in isolated or other in isolated):
            return True
        return (host, other) in self._disconnected_hosts

    def isolate(self, host: str) -> None:
        """Isolates a host: open connections stay open but carry no data, new ones are never established."""
        self._isolated_hosts[host] = None
        self.record("cut", host)

    def disconnect(self, host: str, other: str) -> None:
        """Cuts the path between two hosts, with the same effect as `isolate`."""
        self._disconnected_hosts[host, other] = None
        self._disconnected_hosts[other, host] = None
        self.record("cut", f"{host} {other}")

    def reconnect(self, host: str, other: str | None = None) -> None:
        """Reverts `isolate` of a host, or `disconnect` of two hosts.

        Blocked segments are sent, as TCP would retransmit them; datagrams sent meanwhile are lost.
        """
        if other is None:
            self._isolated_hosts.pop(host, None)
        else:
            self._disconnected_hosts.pop((host, other), None)
            self._disconnected_hosts.pop((other, host), None)
        self.record("mend", host if other is None else f"{host} {other}")
        for process in list(self.processes.values()):
            for connection in list(process.connections):
                connection.send_blocked_segments()
