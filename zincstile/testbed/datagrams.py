"""The way of datagrams between gateways: one socket for all pairs, with what is wrong on each.

A gateway sends its peer's datagrams to an address that stands for the pair, and hears the peer from the
address that it knows it by. What a plan laid on the way (`links`) decides over each datagram.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from ..virtual.network_faults import NetworkFaults
from . import places

PKTINFO = getattr(socket, "IP_PKTINFO", 8)  # Linux's number; the module names it from Python 3.14 on
INFO = struct.Struct("=I4s4s")  # interface, own address, address in the header
TAKEN = 64  # datagrams taken in one go
MOST = 2048  # bytes of one


class Datagrams:
    """`counts`: by ordered pair of numbers, how many came, and bytes of all."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, links: NetworkFaults, block: int, names: list[str]
    ) -> None:
        """Listens for the datagrams of all pairs. `block`: of the gateways' addresses; `names`: theirs."""
        self.loop = loop
        self.links = links
        self.block = block
        self.names = names
        self.sent = [0] * len(names)
        self.bytes = [0] * len(names)
        self.strange = 0  # of nobody's
        self.sock = places.on_loopback(socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.port = self.sock.getsockname()[1]
        loop.add_reader(self.sock.fileno(), self._read)

    def peers(self, number: int) -> list[str]:
        """The `peers` of a gateway's file: its own address, and the way to each other one."""
        return [
            f"{places.gateway(self.block, k)}:{places.PEERS_PORT}"
            if k == number
            else f"{places.seen(places.PEER, number, k)}:{self.port}"
            for k in range(len(self.names))
        ]

    def _read(self) -> None:
        for _ in range(TAKEN):
            try:
                data, control, _, sender = self.sock.recvmsg(MOST, 64)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # a port that nobody listens on: that gateway is down
            own = next(
                (
                    INFO.unpack(d)[2]
                    for level, kind, d in control
                    if level == socket.IPPROTO_IP and kind == PKTINFO
                ),
                b"\x7f\0\0\1",
            )
            kind, source, target = places.who(socket.inet_ntoa(own))
            if (
                kind != places.PEER
                or sender[0] != places.gateway(self.block, source)
                or not 0 <= target < len(self.names)
            ):
                self.strange += 1
                continue
            self.sent[source] += 1
            self.bytes[source] += len(data)
            for late_s in self.links.outcome(self.names[source], self.names[target], self.loop.time()):
                if late_s:
                    self.loop.call_later(late_s, self._pass, data, source, target)
                else:
                    self._pass(data, source, target)

    def _pass(self, data: bytes, source: int, target: int) -> None:
        if self.sock.fileno() < 0:
            return
        own = socket.inet_aton(places.seen(places.PEER, target, source))
        with contextlib.suppress(OSError):  # a full buffer, or nobody there: lost, as datagrams are
            self.sock.sendmsg(
                [data],
                [(socket.IPPROTO_IP, PKTINFO, INFO.pack(0, own, b"\0" * 4))],
                0,
                (places.gateway(self.block, target), places.PEERS_PORT),
            )

    def close(self) -> None:
        """Closes the socket."""
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
