"""TCP on the virtual network: the connection handshake."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Final

from .base_process import BaseProcess
from .clock import SECOND_NS
from .network import Address
from .tcp import TcpTransport

SYN_RETRY_NS: Final = SECOND_NS  # TCP's initial retransmission timeout of a SYN (RFC 6298)


async def connect(process: BaseProcess, address: Address) -> TcpTransport:
    """Opens a connection and returns it once it is established.

    Raises OSError if it is refused or the process is out of descriptors. It is never established while the
    remote host is unreachable or its accept queue is full, so the caller has to set a timeout.
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
        if transport.peer is not None:  # established after the caller gave up
            transport.send_reset()
        raise
    return transport


def _send_syn(transport: TcpTransport, waiter: asyncio.Future) -> None:
    """Sends a SYN; retries every SYN_RETRY_NS while the remote host is unreachable."""
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
    """Handles a SYN at the remote host: refuses it, drops it if the accept queue is full, or accepts it."""
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
    other.delay_arrivals_until(now_ns + delay_ns)
    network.scheduler.call_at(process.next_quantum_ns(now_ns + delay_ns), _complete, waiter, process=process)


def _complete(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _fail(waiter: asyncio.Future, err: Exception) -> None:
    if not waiter.done():
        waiter.set_exception(err)
