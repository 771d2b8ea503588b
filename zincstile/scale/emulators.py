"""Emulated surroundings of measured gateways: discovery that pushes its list, backends, and peers.

One emulator serves all gateways and any number of backends or peers, as each of these has a loopback address
of its own and all share one socket. What passes is counted by gateway: payload bytes, without the headers of
TCP, UDP and IP.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import Any, Final

from ..decisions.messages import CustomerUsage, SendGossip
from ..emulators import codec as emulated_codec
from ..emulators.discovery import HEARTBEAT_S, EndpointEntry
from ..simulator import gossip_codec
from ..testbed.datagrams import INFO, PKTINFO
from ..testbed.places import loopback_socket
from .topology import Topology, shares

BACKENDS_NETWORK: Final = 120  # second byte of 127.x.x.x, as of the next two
PEERS_NETWORK: Final = 130
DISCOVERY_NETWORK: Final = 140  # and 141: the second address of discovery
ANSWER_AFTER_S: Final = 0.005  # a backend's service time
MAX_DATAGRAMS_READ: Final = 256  # in one go
DATAGRAM_BYTES: Final = 2048
RECEIVE_BUFFER_BYTES: Final = 4 << 20
SHARES_IN_DATAGRAM: Final = (
    gossip_codec.MAX_DATAGRAM_BYTES - gossip_codec.HEADER.size
) // gossip_codec.USAGE.size


def address(network: int, number: int) -> str:
    """The loopback address of one of up to 65,536 emulated things."""
    return f"127.{network}.{number >> 8}.{number & 255}"


@dataclass(slots=True)
class Traffic:
    """What passed between one gateway and the emulators."""

    list_bytes: int = 0  # the first whole list
    bytes_in: int = 0  # by the gateway: lists, changes and datagrams
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0

    def since(self, earlier: Traffic) -> Traffic:
        """What passed since then."""
        return Traffic(*(getattr(self, n) - getattr(earlier, n) for n in Traffic.__slots__))

    def copy(self) -> Traffic:
        """As it is now."""
        return Traffic(*(getattr(self, n) for n in Traffic.__slots__))


class EndpointTable:
    """Discovery's list: the backends of a fleet in their zones and racks, and endless replacements."""

    def __init__(self, fleet: Topology, port: int) -> None:
        """All backends of `fleet` are on the list; `port` is the one that all of them share."""
        self.zones, self.port = fleet.zones, port
        self.racks = fleet.racks_per_zone
        self.entries: dict[str, EndpointEntry] = {}
        self.index = 1
        self._made = 0
        self._free: list[int] = []  # numbers of addresses of those that are gone
        sizes = shares(fleet.backends, min(fleet.services.count, fleet.backends), fleet.services.zipf)
        for service, size in enumerate(sizes):
            for _ in range(size):
                self._add(service, 0)
        self._churn = self._replacements()

    def _add(self, service: int, since_ms: int) -> EndpointEntry:
        number = self._free.pop() if self._free else self._made
        name = f"s{service:03d}-{self._made:06x}"
        zone = self._made % len(self.zones)
        entry = EndpointEntry(
            name,
            f"{address(BACKENDS_NETWORK, number)}:{self.port}",
            self.zones[zone],
            "std",
            zone * self.racks + self._made // len(self.zones) % self.racks,
            since_ms=since_ms,
        )
        self._made += 1
        self.entries[name] = entry
        return entry

    def next_change(self) -> EndpointEntry:
        """One change of the list, already made here. Backends are replaced one after the other: each drains,
        goes, and comes back under another name at its old address."""
        self.index += 1
        return next(self._churn)

    def _replacements(self) -> Iterator[EndpointEntry]:
        while True:
            name, entry = next(iter(self.entries.items()))
            del self.entries[name]
            entry.status = "Terminating"
            self.entries[name] = entry
            yield entry
            del self.entries[name]
            entry.status = "Gone"
            host = entry.address.rpartition(":")[0].split(".")
            self._free.append(int(host[2]) << 8 | int(host[3]))
            yield entry
            yield self._add(int(name[1:4]), int(time.time() * 1000))

    def lose(self, count: int) -> Iterator[bytes]:
        """Lines of a watch by which up to `count` backends of the first zone are gone."""
        lost = [e for e in self.entries.values() if e.zone == self.zones[0]][:count]
        for entry in lost:
            del self.entries[entry.name]
            entry.status = "Gone"
            self.index += 1
            yield self.delta(entry)

    def whole(self) -> bytes:
        """The whole list as one line of a watch."""
        return self._line(True, list(self.entries.values()))

    def delta(self, entry: EndpointEntry) -> bytes:
        """One change as a line of a watch."""
        return self._line(False, [entry])

    def _line(self, snapshot: bool, entries: list[EndpointEntry]) -> bytes:
        table = {"index": self.index, "snapshot": snapshot, "endpoints": [asdict(e) for e in entries]}
        return json.dumps(table, separators=(",", ":")).encode() + b"\n"


class Discovery:
    """The list service's agent: a whole list at the start of each watch, changes as they come, and an empty
    line in each 2 s without any. A gateway has two addresses of it, so that its configuration can move it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, gateways: int) -> None:
        """Serves the gateways 0 to `gateways` - 1; `table` is set before the first one starts."""
        self.loop = loop
        self.traffic = [Traffic() for _ in range(gateways)]
        self.watches: dict[WatchConnection, None] = {}
        self.on_watch_opened: Callable[[int, int], None] = lambda gateway, place: None
        self.table: EndpointTable | None = None
        self.port = 0
        self.pending_sends = 0  # watches that a change is still on its way to
        self._whole: tuple[int, bytes] = (0, b"")
        self._changes: dict[int, bytes] = {}  # by the index that each led to

    async def start(self) -> None:
        """Listens on all addresses of the loopback interface."""
        sock = loopback_socket(socket.SOCK_STREAM)
        self.port = sock.getsockname()[1]
        await self.loop.create_server(lambda: WatchConnection(self), sock=sock)

    def address(self, gateway: int, place: int) -> str:
        """Where that gateway finds it; `place` is 0 or 1."""
        return f"{address(DISCOVERY_NETWORK + place, gateway)}:{self.port}"

    def whole(self) -> bytes:
        """The list, encoded once for each version."""
        if self._whole[0] != self.table.index:
            self._whole = self.table.index, self.table.whole()
        return self._whole[1]

    def since(self, index: int) -> list[bytes] | None:
        """The changes after that index; None where they are not known."""
        found = [self._changes.get(k) for k in range(index + 1, self.table.index + 1)]
        return None if index <= 0 or None in found else found  # type: ignore[return-value]

    def change(self, spread_s: float, sent: Callable[[int], None]) -> None:
        """Makes the next change and sends it to each gateway, one after the other within `spread_s`: those
        that share a process would hold each other up. `sent` is called with the gateway's number
        when its line is written."""
        line = self.table.delta(self.table.next_change())
        self._changes[self.table.index] = line
        for watch in list(self.watches):
            wait_s = spread_s * watch.gateway / len(self.traffic)
            self.pending_sends += 1
            self.loop.call_later(wait_s, self._send_change, watch, line, sent)

    def lose_zone(self, count: int) -> None:
        """Sends all watches at once that so many backends are gone, each in a message of its own."""
        for line in self.table.lose(count):
            self._changes[self.table.index] = line
            for watch in self.watches:
                watch.send_line(line)

    def _send_change(self, watch: WatchConnection, line: bytes, sent: Callable[[int], None]) -> None:
        self.pending_sends -= 1
        if watch in self.watches:  # else it is sent when its gateway opens another
            watch.send_line(line)
            sent(watch.gateway)


class WatchConnection(asyncio.Protocol):
    """One watch of a gateway."""

    def __init__(self, discovery: Discovery) -> None:
        """The gateway is known once the connection is made."""
        self.discovery = discovery
        self.transport: asyncio.Transport | None = None
        self.gateway = self.place = 0
        self._head = b""
        self._last_sent_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Learns from the local address which gateway this is, and at which of its two addresses."""
        self.transport = transport  # type: ignore[assignment]
        _, network, high, low = (int(n) for n in transport.get_extra_info("sockname")[0].split("."))
        self.gateway, self.place = high << 8 | low, network - DISCOVERY_NETWORK

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the watch."""
        self.discovery.watches.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Answers a complete request with what the gateway lacks of the list."""
        self._head += data
        if b"\r\n\r\n" not in self._head:
            return
        traffic = self.discovery.traffic[self.gateway]
        traffic.bytes_out += len(self._head)
        _, _, query = emulated_codec.parse_request_head(self._head)
        self._head = b""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        lines = self.discovery.since(int(query.get("index", "0")))
        if lines is None:
            lines = [self.discovery.whole()]
            traffic.list_bytes = traffic.list_bytes or len(lines[0])
        for line in lines or [b"\n"]:
            self.send_line(line)
        self.discovery.watches[self] = None
        self.discovery.on_watch_opened(self.gateway, self.place)
        self._heartbeat()

    def send_line(self, line: bytes) -> None:
        """Sends a line of the watch, unless the connection is closing."""
        if not self.transport.is_closing():
            self._last_sent_s = self.discovery.loop.time()
            self.discovery.traffic[self.gateway].bytes_in += len(line)
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _heartbeat(self) -> None:
        if self.transport.is_closing():
            return
        now = self.discovery.loop.time()
        if now - self._last_sent_s >= HEARTBEAT_S:
            self.send_line(b"\n")
        self.discovery.loop.call_at(self._last_sent_s + HEARTBEAT_S, self._heartbeat)


class FakeBackends:
    """As many backends as there are addresses, behind one listening socket, of one service time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Listens nowhere before `start`."""
        self.loop, self.port = loop, 0
        self.calls = self.connections = 0

    async def start(self) -> None:
        """Listens on all addresses of the loopback interface."""
        sock = loopback_socket(socket.SOCK_STREAM)
        self.port = sock.getsockname()[1]
        await self.loop.create_server(lambda: BackendConnection(self), sock=sock, backlog=1024)


class BackendConnection(asyncio.Protocol):
    """One connection of a gateway to one backend."""

    def __init__(self, backends: FakeBackends) -> None:
        """`backends` counts the calls."""
        self.backends = backends
        self.transport: asyncio.Transport | None = None
        self._commands = emulated_codec.CommandParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.backends.connections += 1

    def data_received(self, data: bytes) -> None:
        """Answers calls after the service time, PINGs and load reports at once."""
        for command in self._commands.feed(data):
            if command[0] in (b"CALL.GET", b"CALL.POST"):
                self.backends.calls += 1
                self.backends.loop.call_later(ANSWER_AFTER_S, self._answer, command[2])
            elif command == [b"PING"]:
                self.transport.write(b"+PONG\r\n")
            else:
                self.transport.write(b"$31\r\ninflight=0,latency_ms=5,queue=0\r\n")

    def _answer(self, request: bytes) -> None:
        report = b"inflight=1,latency_ms=5.0,queue=0"
        self.transport.write(
            b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(request), request, len(report), report)
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of one gateway, as its requests name it."""

    key: int
    spread: int  # gateways in its set
    first: int  # number of the first of them
    weight: float  # of its requests at this gateway


class FakePeers:
    """All other gateways, behind one socket. Each datagram is answered by one with the same tenants, as a
    peer with as much load of them would send, and requests for units are granted.
    `send_usages` sends messages unasked."""

    def __init__(self, loop: asyncio.AbstractEventLoop, traffic: list[Traffic], seed: int) -> None:
        """Listens at once on all addresses; `traffic` is counted by gateway."""
        self.loop, self.traffic = loop, traffic
        self.places: dict[tuple[str, int], int] = {}  # where datagrams come from: the gateway's index
        self.strange = 0  # datagrams of another layout: not answered
        self._rng = random.Random(seed)
        self._starts: dict[int, int] = {}
        self._sock = loopback_socket(socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.port = self._sock.getsockname()[1]
        loop.add_reader(self._sock.fileno(), self._read)

    def addresses(self, gateways: int, number: int, own: str) -> list[str]:
        """`peers` of the configuration of that gateway."""
        return [own if k == number else f"{address(PEERS_NETWORK, k)}:{self.port}" for k in range(gateways)]

    def _start(self, peer: int) -> int:
        return self._starts.setdefault(peer, self._rng.getrandbits(32))

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_READ):
            try:
                data, control, _, sender = self._sock.recvmsg(DATAGRAM_BYTES, 64)
            except OSError:  # nothing left; or a gateway that has ended
                return
            gateway = self.places.get(sender)
            if gateway is not None:
                self.traffic[gateway].datagrams_out += 1
                self.traffic[gateway].bytes_out += len(data)
                self._answer(sender, _peer_of(control), data)

    def _answer(self, sender: tuple[str, int], peer: int, data: bytes) -> None:
        message = gossip_codec.decode_gossip(0, data)
        if message is None:
            self.strange += 1
            return
        usages = [
            CustomerUsage(s.customer, s.plan, 0.0, s.level, 0, s.requested_units, s.query_id, True)
            if s.requested_units > 0
            else CustomerUsage(s.customer, s.plan, s.total, s.level, s.in_flight, 0.0, s.query_id)
            for s in message.usages
        ]
        for answer in gossip_codec.encode_gossip(SendGossip(0, self._start(peer), usages)):
            self.send(sender, peer, answer)

    def send(self, gateway: tuple[str, int], peer: int, data: bytes) -> None:
        """A datagram of that peer."""
        own = socket.inet_aton(address(PEERS_NETWORK, peer))
        with contextlib.suppress(OSError):  # a gateway that has ended, or this has
            self._sock.sendmsg(
                [data], [(socket.IPPROTO_IP, PKTINFO, INFO.pack(0, own, b"\0" * 4))], 0, gateway
            )
            traffic = self.traffic[self.places[gateway]]
            traffic.datagrams_in += 1
            traffic.bytes_in += len(data)

    def send_usages(
        self, peer: int, tenants: list[Tenant], plan: int, level: float, total: float, spread_s: float
    ) -> None:
        """That peer sends every gateway its usage by some tenants, at most `SHARES_IN_DATAGRAM`, to one
        after the other within `spread_s`: woken together, those of one process find its caches warm."""
        usages = [CustomerUsage(t.key, plan, total, level, 0) for t in tenants]
        for data in gossip_codec.encode_gossip(SendGossip(0, self._start(peer), usages)):
            for gateway, number in self.places.items():
                self.loop.call_later(spread_s * number / len(self.places), self.send, gateway, peer, data)

    def close(self) -> None:
        """Receives no more."""
        self.loop.remove_reader(self._sock.fileno())
        self._sock.close()


def _peer_of(control: list[tuple[int, int, Any]]) -> int:
    """The number of the peer whose address a datagram was sent to."""
    for level, kind, data in control:
        if level == socket.IPPROTO_IP and kind == PKTINFO:
            return struct.unpack("!I", INFO.unpack(data)[2])[0] & 0xFFFF
    return 0
