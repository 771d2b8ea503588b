"""Datagrams on the virtual network: late, lost, duplicated, out of order, and limited at the receiver."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Sequence
from typing import Any, Final

from .base_process import BaseProcess
from .clock import SECOND_NS
from .network import Address

DEFAULT_MAX_BYTES: Final = 256 * 1024  # of a datagram that is read, as asyncio's
DELAY_EXPONENT: Final = 3  # of the draw between the shortest and the longest delay: most are quick


class DatagramSocket(asyncio.DatagramTransport):
    """A bound socket, and the transport on it."""

    def __init__(self, process: BaseProcess, address: Address, protocol: Any) -> None:
        """Bind to the address, port 0: any; OSError where it is taken or no descriptor is left."""
        super().__init__()
        host, port = address
        self.process = process
        self.network = process.network
        self.protocol = protocol
        self.address = host, port or self.network.allocate_port()
        if self.address in self.network.datagram_sockets:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        process.acquire_descriptor()
        self.network.datagram_sockets[self.address] = self
        process.datagram_sockets[self] = None
        self.max_size = DEFAULT_MAX_BYTES
        self._closing = False
        self._received_lately = 0.0  # datagrams, which decay at the rate that the process takes
        self._counted_ns = process.scheduler.now_ns
        process.loop.call_soon(protocol.connection_made, self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The socket's own address, as asyncio's transports give it."""
        return {"sockname": self.address, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        """Whether it was closed."""
        return self._closing

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        """Send a datagram, which may be lost, duplicated or late by the network's draws."""
        network = self.network
        settings, rng = network.settings, network.rng
        if self._closing or addr is None:
            return
        network.record("datagram", f"{self.process.name}>{addr[0]}:{addr[1]}", data)
        duplicate_ratio = settings.datagram_duplicate_ratio
        for _ in range(2 if duplicate_ratio and rng.random() < duplicate_ratio else 1):
            if self._is_lost(addr):
                continue
            for fault_delay_s in self._outcome(addr):
                delay_ns = self._draw_delay_ns() + int(fault_delay_s * SECOND_NS)
                network.scheduler.call_at(
                    network.scheduler.now_ns + delay_ns, _deliver, self, bytes(data), addr
                )

    def _is_lost(self, addr: Address) -> bool:
        loss_ratio = self.network.settings.datagram_loss_ratio
        if loss_ratio and self.network.rng.random() < loss_ratio:
            return True
        return self.network.is_cut(self.process.host, addr[0])

    def _draw_delay_ns(self) -> int:
        shortest_ns, longest_ns = self.network.settings.datagram_delay_ns
        return shortest_ns + int((longest_ns - shortest_ns) * self.network.rng.random() ** DELAY_EXPONENT)

    def _outcome(self, addr: Address) -> Sequence[float]:
        """By how many seconds each copy is late by the plan's faults; none: it is lost."""
        faults = self.network.faults
        target = self.network.datagram_sockets.get(addr)
        if faults is None or target is None:
            return (0.0,)
        now_s = self.network.scheduler.now_ns / SECOND_NS
        return faults.copy_delays_s(self.process.name, target.process.name, now_s)

    def receive(self, data: bytes, sender: Address) -> None:
        """Take a datagram in, unless it took too many in the last second."""
        now_ns = self.process.scheduler.now_ns
        per_s = self.network.settings.datagrams_per_s
        decayed = self._received_lately - per_s * (now_ns - self._counted_ns) / SECOND_NS
        self._received_lately = max(0.0, decayed)
        self._counted_ns = now_ns
        if self._received_lately + 1 > per_s:
            return
        self._received_lately += 1
        at_ns = self.process.next_quantum_ns(now_ns)
        self.process.scheduler.call_at(at_ns, self._read, data, sender, process=self.process)

    def _read(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self.protocol.datagram_received(data[: self.max_size], sender)

    def close(self) -> None:
        """Close the socket; the protocol learns it by a callback of its own."""
        if not self._closing:
            self._closing = True
            self.process.loop.call_soon(self.protocol.connection_lost, None)
            self.process.release_descriptor()
            self.unbind()

    def abort(self) -> None:
        """Close the socket, as `close` does."""
        self.close()

    def unbind(self) -> None:
        """Give the address up, as the machine does when the process has died."""
        self.network.datagram_sockets.pop(self.address, None)
        self.process.datagram_sockets.pop(self, None)


def _deliver(source: DatagramSocket, data: bytes, addr: Address) -> None:
    target = source.network.datagram_sockets.get(addr)
    if target is not None:
        target.receive(data, source.address)
