"""TCP on the virtual network: the handshake that brings a connection up."""

from __future__ import annotations

import asyncio
import errno
import os

from .base_process import BaseProcess
from .clock import SECOND
from .network import Address
from .tcp import Endpoint


async def connect(process: BaseProcess, address: Address) -> Endpoint:
    """A connection that is up. OSError where it is refused or no descriptor is left; where the other machine
    is silent or its queue is full it never comes up, and the caller has to give up by itself."""
    process.take_descriptor()
    network, waiter = process.network, process.loop.create_future()
    endpoint = Endpoint(process, (process.host, network.port()), address)
    endpoint.label = f"{process.name}>{address[0]}:{address[1]}#{endpoint.local[1]}"
    network.note("connect", endpoint.label)
    _send_syn(endpoint, waiter)
    try:
        await waiter
    except BaseException:
        process.endpoints.pop(endpoint, None)
        process.give_descriptor()
        if endpoint.peer is not None:  # it came up too late
            endpoint._send("reset", b"")
        raise
    return endpoint


def _send_syn(endpoint: Endpoint, waiter: asyncio.Future) -> None:
    """Asks the other machine; again after a second while nothing reaches it."""
    network, process = endpoint.network, endpoint.process
    if not process.alive or waiter.done():
        return
    listener = network.listeners.get(endpoint.remote)
    target = listener.process if listener else None
    if network.silent(process.host, endpoint.remote[0]):
        network.scheduler.at(network.scheduler.now_ns + SECOND, _send_syn, endpoint, waiter)  # TCP asks again
        return
    way = network.way_ns(process, target) if target else network.ways.near_ns
    network.scheduler.at(network.scheduler.now_ns + way, _receive_syn, endpoint, waiter)


def _receive_syn(endpoint: Endpoint, waiter: asyncio.Future) -> None:
    """The other machine refuses, drops it where its queue is full, or makes its side of the connection."""
    network, process = endpoint.network, endpoint.process
    if not process.alive or waiter.done():
        return
    listener = network.listeners.get(endpoint.remote)
    now, way = network.scheduler.now_ns, network.ways.near_ns
    if listener is None:
        err = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
        network.scheduler.at(process.ready_ns(now + way), _fail, waiter, err, process=process)
        return
    if len(listener.queue) >= listener.backlog:
        network.scheduler.at(now + SECOND, _send_syn, endpoint, waiter)
        return
    other = Endpoint(listener.process, endpoint.remote, endpoint.local)
    other.label = f"{listener.process.name}<{endpoint.label}"
    other.peer, endpoint.peer = endpoint, other
    if network.on_connected is not None:
        network.on_connected(endpoint, other)
    listener.come(other)
    way = network.way_ns(listener.process, process)
    other._last_ns = now + way
    network.scheduler.at(process.ready_ns(now + way), _complete, waiter, process=process)


def _complete(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _fail(waiter: asyncio.Future, err: Exception) -> None:
    if not waiter.done():
        waiter.set_exception(err)
