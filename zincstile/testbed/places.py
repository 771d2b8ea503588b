"""Addresses of 127.0.0.0/8 that name who speaks to whom, so that one socket serves every pair.

A gateway knows its peer, a guide box or a service by an address of its own for it: the second byte says
what kind of thing it is, the third which gateway sees it, the last which one of them it is. Sockets
listen on all addresses of the loopback interface, and on no other interface (SO_BINDTODEVICE).
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

GATEWAY, PEER, BACKEND, DISCOVERY, QUOTA_SERVICE = 100, 101, 102, 103, 104
MAX_NUMBER = 250  # gateways, boxes: what a byte holds
ALL_GATEWAYS = 252  # in a gateway's place: the address of a box that is the same for all
CLIENTS_PORT, PEERS_PORT, CONTROL_PORT, LOCK_PORT = 6379, 7946, 7070, 40999
MAX_RUNS = 200  # runs beside each other on one machine
LOOPBACK_INTERFACE = b"lo\0"


class AddressError(OSError):
    """No block of addresses is free, or the system refuses what this needs."""


def gateway_address(block: int, number: int) -> str:
    """Where a gateway listens."""
    return f"127.{GATEWAY}.{block}.{number + 1}"


def address_for_gateway(kind: int, gateway_number: int, number: int = 0) -> str:
    """The address by which a gateway knows a peer, a box or a service."""
    return f"127.{kind}.{gateway_number + 1}.{number + 1}"


def parse_address(address: str) -> tuple[int, int, int]:
    """Of such an address: the kind, the gateway that knows it, and which one it is."""
    _, kind, gateway_number, number = (int(x) for x in address.split("."))
    return kind, gateway_number - 1, number - 1


@contextlib.contextmanager
def reserve_block() -> Iterator[int]:
    """A block of gateways' addresses that no other run on this machine uses meanwhile. AddressError."""
    for number in range(1, MAX_RUNS + 1):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as lock:
            try:
                lock.bind((f"127.{GATEWAY}.{number}.254", LOCK_PORT))
            except OSError:
                continue
            yield number
            return
    raise AddressError(f"{MAX_RUNS} runs use this machine's loopback addresses already")


def loopback_socket(kind: int, reuse: bool = False, port: int = 0) -> socket.socket:
    """A socket that the loopback interface alone reaches, bound to all of its addresses; at a free port, or
    at one again that it had before."""
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_INTERFACE)
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("0.0.0.0", port))
    except OSError as err:
        sock.close()
        raise AddressError(f"no socket on the loopback interface alone: {err.strerror}") from None
    return sock


class BlackHole:
    """An address whose connections never come up: a listener with a full queue, which hears no SYN. It goes
    before the listener on all addresses, as the more exact one."""

    def __init__(self, host: str, port: int) -> None:
        """Listens there and fills the queue; `close` ends it."""
        self._socks = [socket.socket(socket.AF_INET, socket.SOCK_STREAM)]
        listener = self._socks[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, port))
        listener.listen(0)
        for _ in range(3):  # one is taken, the rest wait: the queue is full
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, port))
            self._socks.append(filler)

    def close(self) -> None:
        """Connections come up again."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()
