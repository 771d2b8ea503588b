"""Datagrams between gateways: gossip of the policy, and messages of features."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from ..decisions.messages import SendGossip
from ..simulator import gossip_codec
from .config import Address
from .dispatcher import Dispatcher

HANDLED: Final = object()  # returned by a decoder that has processed the message itself

Decoder = Callable[[int, bytes], object | None]
"""Decodes a datagram from a sender's number; returns an event, `HANDLED`, or None if it is malformed."""


class Peers(asyncio.DatagramProtocol):
    """The datagram socket. A peer is identified by its address; its number is its index in the settings.

    Datagrams that are malformed, too large or from unknown addresses are dropped and counted
    (`messages_bad`).
    """

    def __init__(self, dispatcher: Dispatcher, addresses: list[Address]) -> None:
        """`addresses` of all gateways, including this one, in the order of their numbers."""
        self.dispatcher = dispatcher
        self.addresses = addresses
        self.transport: asyncio.DatagramTransport | None = None
        self.decoders: dict[int, Decoder] = {}  # by the first byte of a message; other messages are gossip
        self._numbers = {address: number for number, address in enumerate(addresses)}
        dispatcher.action_handlers[SendGossip] = self._send_gossip

    async def open(self, address: Address) -> None:
        """Binds the socket. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        # During an upgrade the old and the new process are both bound, and both receive datagrams.
        await self.dispatcher.loop.create_datagram_endpoint(
            lambda: self, local_addr=address, family=family, reuse_port=True
        )

    def close(self) -> None:
        """Closes the socket; later messages are dropped."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    @property
    def address(self) -> str:
        """The bound address as host and port, or `none`."""
        if self.transport is None:
            return "none"
        return "{}:{}".format(*self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the socket is bound."""
        self.transport = transport  # type: ignore[assignment]
        # asyncio allocates this much for each datagram; the default of 256 KiB dominates its cost.
        transport.max_size = 2 * self.dispatcher.limits.datagram_bytes  # type: ignore[attr-defined]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Called by asyncio with each datagram."""
        number = self._numbers.get(sender[:2])
        message = None
        if number is not None and len(data) <= self.dispatcher.limits.datagram_bytes:
            decode = self.decoders.get(data[0]) if data and self.decoders else None
            message = decode(number, data) if decode else gossip_codec.decode_gossip(number, data)
        if message is None:
            self.dispatcher.counters.messages_bad += 1
            return
        self.dispatcher.counters.messages_in += 1
        if message is not HANDLED:
            self.dispatcher.post(message)

    def error_received(self, err: OSError) -> None:
        """Called by asyncio if a peer is unreachable; ignored, as datagrams may be lost anyway."""

    def send(self, peer: int, message: bytes) -> None:
        """Sends a feature's message to a peer; dropped if the socket is closed."""
        if self.transport is not None and 0 <= peer < len(self.addresses):
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[peer])

    def _send_gossip(self, _: int, action: SendGossip) -> None:
        if self.transport is None or not 0 <= action.peer < len(self.addresses):
            return
        for message in gossip_codec.encode_gossip(action):
            if len(message) > self.dispatcher.limits.datagram_bytes:
                # A datagram over the limit would invalidate the whole run, so none is sent.
                raise ValueError(f"gossip message of {len(message)} bytes exceeds the datagram limit")
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[action.peer])
