"""Loopback ports for programs that are told their address before they listen on it."""

from __future__ import annotations

import socket

_reserving_sockets: list[socket.socket] = []  # they reserve their ports until this process ends


def reserve_port(address: str) -> int:
    """Returns a TCP port of this address that the system gives to nobody else.

    A bound socket that does not listen keeps the port from being chosen for other sockets, be it by a bind to
    port 0 or by a connect. A program that sets SO_REUSEADDR, as the gateway does, can still listen on it.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, 0))
    _reserving_sockets.append(sock)
    return sock.getsockname()[1]
