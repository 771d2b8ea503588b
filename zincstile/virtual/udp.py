"""UDP on the virtual network: delay, loss, duplication, reordering, and a rate limit at the receiver."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Sequence
from typing import Any, Final

from .base_process import BaseProcess
from .clock import SECOND_NS
from .network import Address

DEFAULT_MAX_BYTES: Final = 256 * 1024  # read of one datagram, as in asyncio
# Exponent of the uniform draw between the minimum and the maximum delay: most delays are short.
DELAY_EXPONENT: Final = 3


class DatagramSocket(asyncio.DatagramTransport):
    """A bound UDP socket, which is also its asyncio transport."""

    def __init__(self, process: BaseProcess, address: Address, protocol: Any) -> None:
        """Binds to `address`; port 0 means any free port.

        Raises OSError if the address is in use or the process is out of descriptors.
        """
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
        self._recent_datagrams = 0.0  # count of received datagrams, which decreases at the rate limit
        self._decayed_at_ns = process.scheduler.now_ns
        process.loop.call_soon(protocol.connection_made, self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns `sockname` or `socket`, as asyncio's transports do."""
        return {"sockname": self.address, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        """Returns whether the socket was closed."""
        return self._closing

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        """Sends a datagram, which the network may randomly lose, duplicate or delay."""
        network = self.network
        settings, rng = network.settings, network.rng
        if self._closing or addr is None:
            return
        network.record("datagram", f"{self.process.name}>{addr[0]}:{addr[1]}", data)
        duplicate_ratio = settings.datagram_duplicate_ratio
        for _ in range(2 if duplicate_ratio and rng.random() < duplicate_ratio else 1):
            if self._is_lost(addr):
                continue
            for fault_delay_s in self._fault_delays_s(addr):
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
        min_ns, max_ns = self.network.settings.datagram_delay_ns
        return min_ns + int((max_ns - min_ns) * self.network.rng.random() ** DELAY_EXPONENT)

    def _fault_delays_s(self, addr: Address) -> Sequence[float]:
        """Returns the delay in seconds that faults add to each copy; empty if the datagram is lost."""
        faults = self.network.faults
        target = self.network.datagram_sockets.get(addr)
        if faults is None or target is None:
            return (0.0,)
        now_s = self.network.scheduler.now_ns / SECOND_NS
        return faults.copy_delays_s(self.process.name, target.process.name, now_s)

    def receive(self, data: bytes, sender: Address) -> None:
        """Receives a datagram, or drops it above the process's rate limit."""
        now_ns = self.process.scheduler.now_ns
        per_s = self.network.settings.datagrams_per_s
        recent_datagrams = self._recent_datagrams - per_s * (now_ns - self._decayed_at_ns) / SECOND_NS
        self._recent_datagrams = max(0.0, recent_datagrams)
        self._decayed_at_ns = now_ns
        if self._recent_datagrams + 1 > per_s:
            return
        self._recent_datagrams += 1
        at_ns = self.process.next_quantum_ns(now_ns)
        self.process.scheduler.call_at(at_ns, self._read, data, sender, process=self.process)

    def _read(self, data: bytes, sender: Address) -> None:
        if not self._closing:
            self.protocol.datagram_received(data[: self.max_size], sender)

    def close(self) -> None:
        """Closes the socket and schedules the protocol's `connection_lost`."""
        if not self._closing:
            self._closing = True
            self.process.loop.call_soon(self.protocol.connection_lost, None)
            self.process.release_descriptor()
            self.unbind()

    def abort(self) -> None:
        """Closes the socket, as `close` does."""
        self.close()

    def unbind(self) -> None:
        """Releases the address; called alone when the process has died."""
        self.network.datagram_sockets.pop(self.address, None)
        self.process.datagram_sockets.pop(self, None)


def _deliver(source: DatagramSocket, data: bytes, addr: Address) -> None:
    target = source.network.datagram_sockets.get(addr)
    if target is not None:
        target.receive(data, source.address)
