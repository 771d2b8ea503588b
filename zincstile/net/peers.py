"""Datagrams between gateways, in the module's own packing. A sender is known by its address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..decisions.messages import SendGossip
from ..simulator import codec
from .config import Address
from .dispatcher import Dispatcher

HEARD = object()  # said by who reads a message of another kind: nothing of it is the module's


class Peers(asyncio.DatagramProtocol):
    def __init__(self, dispatcher: Dispatcher, addresses: list[Address]) -> None:
        self.dispatcher, self.addresses = dispatcher, addresses
        self.numbers = {a: k for k, a in enumerate(addresses)}
        self.transport: asyncio.DatagramTransport | None = None
        self.others: dict[int, Callable[[int, bytes], object | None]] = {}  # by a message's first byte
        dispatcher.carry_out[SendGossip] = self._tell

    async def open(self, where: Address) -> None:
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        # A new version binds beside the old one while that still serves: both take datagrams until it ends.
        await self.dispatcher.loop.create_datagram_endpoint(
            lambda: self, local_addr=where, family=family, reuse_port=True
        )

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    @property
    def address(self) -> str:
        if self.transport is None:
            return "none"
        return "{}:{}".format(*self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # asyncio sets this much aside for each datagram, 256 KiB unless told: most of what one costs
        transport.max_size = 2 * self.dispatcher.limits.datagram_bytes  # type: ignore[attr-defined]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        number = self.numbers.get(sender[:2])
        message = None
        if number is not None and len(data) <= self.dispatcher.limits.datagram_bytes:
            other = self.others.get(data[0]) if data and self.others else None
            message = other(number, data) if other else codec.unpack_tell(number, data)
        if message is None:
            self.dispatcher.counters.messages_bad += 1
            return
        self.dispatcher.counters.messages_in += 1
        if message is not HEARD:
            self.dispatcher.post(message)

    def error_received(self, err: OSError) -> None:
        pass  # a peer that is down: messages may be lost in any case

    def send(self, peer: int, message: bytes) -> None:
        """A message of another kind, to one peer."""
        if self.transport is not None and 0 <= peer < len(self.addresses):
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[peer])

    def _tell(self, _: int, action: SendGossip) -> None:
        if self.transport is None or not 0 <= action.peer < len(self.addresses):
            return
        for message in codec.pack_tell(action):
            if len(message) > self.dispatcher.limits.datagram_bytes:
                raise ValueError("a message over the limit")  # it would void the run: better none
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[action.peer])
