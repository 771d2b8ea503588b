"""TCP on the virtual network: the handshake that brings a connection up."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Final

from .base_process import BaseProcess
from .clock import SECOND_NS
from .network import Address
from .tcp import TcpTransport

SYN_RETRY_NS: Final = SECOND_NS  # TCP's first wait before it sends a SYN again (RFC 6298)


async def connect(process: BaseProcess, address: Address) -> TcpTransport:
    """Open a connection and return it once it is up.

    Raises OSError where it is refused or no descriptor is left. Where the other machine is silent or its
    queue is full it never comes up, and the caller has to give up by itself.
    """
    process.acquire_descriptor()
    network = process.network
    waiter = process.loop.create_future()
    transport = TcpTransport(process, (process.host, network.allocate_port()), address)
    transport.label = f"{process.name}>{address[0]}:{address[1]}#{transport.local[1]}"
    network.record("connect", transport.label)
    _send_syn(transport, waiter)
    try:
        await waiter
    except BaseException:
        process.connections.pop(transport, None)
        process.release_descriptor()
        if transport.peer is not None:  # it came up too late
            transport.send_reset()
        raise
    return transport


def _send_syn(transport: TcpTransport, waiter: asyncio.Future) -> None:
    """Ask the other machine; again after a second while nothing reaches it."""
    network, process = transport.network, transport.process
    if not process.alive or waiter.done():
        return
    now_ns = network.scheduler.now_ns
    listener = network.listeners.get(transport.remote)
    if network.is_cut(process.host, transport.remote[0]):
        network.scheduler.call_at(now_ns + SYN_RETRY_NS, _send_syn, transport, waiter)
        return
    if listener is None:
        delay_ns = network.settings.same_zone_ns
    else:
        delay_ns = network.delay_ns(process, listener.process)
    network.scheduler.call_at(now_ns + delay_ns, _receive_syn, transport, waiter)


def _receive_syn(transport: TcpTransport, waiter: asyncio.Future) -> None:
    """At the other machine: refuse, drop it where the queue is full, or make its side of the connection."""
    network, process = transport.network, transport.process
    if not process.alive or waiter.done():
        return
    now_ns = network.scheduler.now_ns
    listener = network.listeners.get(transport.remote)
    if listener is None:
        err = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
        at_ns = process.next_quantum_ns(now_ns + network.settings.same_zone_ns)
        network.scheduler.call_at(at_ns, _fail, waiter, err, process=process)
        return
    if listener.is_full:
        network.scheduler.call_at(now_ns + SYN_RETRY_NS, _send_syn, transport, waiter)
        return
    other = TcpTransport(listener.process, transport.remote, transport.local)
    other.label = f"{listener.process.name}<{transport.label}"
    other.peer = transport
    transport.peer = other
    if network.on_connected is not None:
        network.on_connected(transport, other)
    listener.enqueue(other)
    delay_ns = network.delay_ns(listener.process, process)
    other.hold_order(now_ns + delay_ns)
    network.scheduler.call_at(process.next_quantum_ns(now_ns + delay_ns), _complete, waiter, process=process)


def _complete(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _fail(waiter: asyncio.Future, err: Exception) -> None:
    if not waiter.done():
        waiter.set_exception(err)
