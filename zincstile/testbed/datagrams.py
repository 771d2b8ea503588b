"""Relays datagrams between gateways: one socket for all pairs, with the faults of each path.

A gateway sends its peer's datagrams to an address that stands for the pair, and receives the peer's from the
address that it knows it by. The plan's faults (`links`) determine whether and when each datagram arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Final

from ..virtual.network_faults import NetworkFaults
from . import places

PKTINFO = getattr(socket, "IP_PKTINFO", 8)  # Linux's number; the module names it from Python 3.14 on
INFO = struct.Struct("=I4s4s")  # interface, own address, address in the header
MAX_BATCH: Final = 64  # datagrams read in one go, so that connections are not starved
MAX_DATAGRAM_BYTES: Final = 2048
MAX_CONTROL_BYTES: Final = 64  # room for one IP_PKTINFO


class Datagrams:
    """The relay. `sent`, `bytes`: datagrams and their bytes, by the number of the sending gateway."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, links: NetworkFaults, block: int, names: list[str]
    ) -> None:
        """Listens for the datagrams of all pairs. `block`: of gateway addresses; `names`: the gateways."""
        self.loop = loop
        self.links = links
        self.block = block
        self.names = names
        self.sent = [0] * len(names)
        self.bytes = [0] * len(names)
        self.unknown_senders = 0  # datagrams that did not come from one gateway for another
        self.sock = places.loopback_socket(socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.port = self.sock.getsockname()[1]
        loop.add_reader(self.sock.fileno(), self._read)

    def peers(self, number: int) -> list[str]:
        """Returns the `peers` setting of a gateway: its own address and a relay address for each peer."""
        return [
            f"{places.gateway_address(self.block, k)}:{places.PEERS_PORT}"
            if k == number
            else f"{places.address_for_gateway(places.PEER, number, k)}:{self.port}"
            for k in range(len(self.names))
        ]

    def _read(self) -> None:
        for _ in range(MAX_BATCH):
            try:
                data, control, _, sender = self.sock.recvmsg(MAX_DATAGRAM_BYTES, MAX_CONTROL_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # ICMP error: the target gateway is down and its port closed
            own = next(
                (
                    INFO.unpack(d)[2]
                    for level, kind, d in control
                    if level == socket.IPPROTO_IP and kind == PKTINFO
                ),
                b"\x7f\0\0\1",
            )
            kind, source, target = places.parse_address(socket.inet_ntoa(own))
            if (
                kind != places.PEER
                or sender[0] != places.gateway_address(self.block, source)
                or not 0 <= target < len(self.names)
            ):
                self.unknown_senders += 1
                continue
            self.sent[source] += 1
            self.bytes[source] += len(data)
            for delay_s in self.links.copy_delays_s(self.names[source], self.names[target], self.loop.time()):
                if delay_s:
                    self.loop.call_later(delay_s, self._forward, data, source, target)
                else:
                    self._forward(data, source, target)

    def _forward(self, data: bytes, source: int, target: int) -> None:
        if self.sock.fileno() < 0:
            return
        own = socket.inet_aton(places.address_for_gateway(places.PEER, target, source))
        with contextlib.suppress(OSError):  # full buffer or no listener: the datagram is lost
            self.sock.sendmsg(
                [data],
                [(socket.IPPROTO_IP, PKTINFO, INFO.pack(0, own, b"\0" * 4))],
                0,
                (places.gateway_address(self.block, target), places.PEERS_PORT),
            )

    def close(self) -> None:
        """Closes the socket."""
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
