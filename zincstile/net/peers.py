"""Datagrams between gateways: gossip of the decisions, and messages of features beside it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from ..decisions.messages import SendGossip
from ..simulator import gossip_codec
from .config import Address
from .dispatcher import Dispatcher

HANDLED: Final = object()  # returned by a decoder that has dealt with its message: no event comes of it

Decoder = Callable[[int, bytes], object | None]
"""Takes the sender's number and a datagram; returns an event, `HANDLED`, or None where it is malformed."""


class Peers(asyncio.DatagramProtocol):
    """The socket for datagrams. A sender is known by its address; its number is its place in the settings.

    Datagrams of strangers, too large ones and malformed ones are counted (`messages_bad`) and dropped.
    """

    def __init__(self, dispatcher: Dispatcher, addresses: list[Address]) -> None:
        """`addresses`: of all gateways, this one included, in the order of their numbers."""
        self.dispatcher = dispatcher
        self.addresses = addresses
        self.transport: asyncio.DatagramTransport | None = None
        self.decoders: dict[int, Decoder] = {}  # by a message's first byte; all others are gossip
        self._numbers = {address: number for number, address in enumerate(addresses)}
        dispatcher.action_handlers[SendGossip] = self._send_gossip

    async def open(self, address: Address) -> None:
        """Binds the socket. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        # A new version binds beside the old one while that still serves: both take datagrams until it ends.
        await self.dispatcher.loop.create_datagram_endpoint(
            lambda: self, local_addr=address, family=family, reuse_port=True
        )

    def close(self) -> None:
        """Closes the socket; nothing is sent or received any more."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    @property
    def address(self) -> str:
        """Where the socket is bound, as host and port, or `none`."""
        if self.transport is None:
            return "none"
        return "{}:{}".format(*self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is bound. Called by asyncio."""
        self.transport = transport  # type: ignore[assignment]
        # asyncio sets this much aside for each datagram, 256 KiB by default: most of what one costs.
        transport.max_size = 2 * self.dispatcher.limits.datagram_bytes  # type: ignore[attr-defined]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """A datagram has come. Called by asyncio."""
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
        """A peer is down: messages may be lost in any case. Called by asyncio."""

    def send(self, peer: int, message: bytes) -> None:
        """Sends a feature's message to one peer, by its number; without a socket it is dropped."""
        if self.transport is not None and 0 <= peer < len(self.addresses):
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[peer])

    def _send_gossip(self, _: int, action: SendGossip) -> None:
        if self.transport is None or not 0 <= action.peer < len(self.addresses):
            return
        for message in gossip_codec.encode_gossip(action):
            if len(message) > self.dispatcher.limits.datagram_bytes:
                # One over the limit would void the run: better none.
                raise ValueError(f"a gossip message of {len(message)} bytes is over the limit of datagrams")
            self.dispatcher.counters.messages_out += 1
            self.transport.sendto(message, self.addresses[action.peer])
