"""Datagrams on the virtual network: late, lost, twice, out of order, and too many for who takes them."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Any

from .base_process import BaseProcess
from .clock import SECOND
from .network import Address


class Datagrams(asyncio.DatagramTransport):
    """A bound socket, and the transport on it."""

    def __init__(self, process: BaseProcess, address: Address, protocol: Any) -> None:
        super().__init__()
        self.process, self.network, self.protocol = process, process.network, protocol
        self.address = address[0], address[1] or self.network.port()
        if self.address in self.network.bound:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        process.take_descriptor()
        self.network.bound[self.address] = self
        process.datagrams[self] = None
        self.max_size = 256 * 1024
        self._closing = False
        self._taken, self._counted_ns = 0.0, process.scheduler.now_ns
        process.loop.call_soon(protocol.connection_made, self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"sockname": self.address, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        return self._closing

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        network, ways, rng = self.network, self.network.ways, self.network.rng
        if self._closing or addr is None:
            return
        network.note("datagram", f"{self.process.name}>{addr[0]}:{addr[1]}", data)
        for _ in range(2 if ways.udp_twice and rng.random() < ways.udp_twice else 1):
            if ways.udp_loss and rng.random() < ways.udp_loss or network.silent(self.process.host, addr[0]):
                continue
            for late_s in self._fates(addr):
                low, high = ways.udp_ns
                late_ns = low + int((high - low) * rng.random() ** 3) + int(late_s * SECOND)  # most are quick
                network.scheduler.at(network.scheduler.now_ns + late_ns, _arrive, self, bytes(data), addr)

    def _fates(self, addr: Address) -> tuple[float, ...] | list[float]:
        """How late each copy arrives by what a plan laid on the way; none: it is lost."""
        links, target = self.network.links, self.network.bound.get(addr)
        if links is None or target is None:
            return (0.0,)
        now_s = self.network.scheduler.now_ns / SECOND
        return links.fates(self.process.name, target.process.name, now_s)

    def come(self, data: bytes, sender: Address) -> None:
        """Takes it in, where it has not taken too many lately (a store of a second's worth)."""
        now, per_s = self.process.scheduler.now_ns, self.network.ways.udp_per_s
        self._taken = max(0.0, self._taken - per_s * (now - self._counted_ns) / SECOND)
        self._counted_ns = now
        if self._taken + 1 > per_s:
            return
        self._taken += 1
        at = self.process.ready_ns(now)
        self.process.scheduler.at(at, self._read, data, sender, process=self.process)

    def _read(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self.protocol.datagram_received(data[: self.max_size], sender)

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.process.loop.call_soon(self.protocol.connection_lost, None)
            self.process.give_descriptor()
            self.cut()

    abort = close

    def cut(self) -> None:
        """The process has died."""
        self.network.bound.pop(self.address, None)
        self.process.datagrams.pop(self, None)


def _arrive(source: Datagrams, data: bytes, addr: Address) -> None:
    target = source.network.bound.get(addr)
    if target is not None:
        target.come(data, source.address)
