"""Addresses of 127.0.0.0/8 that identify both ends, so that one socket serves every pair.

Each gateway has its own address for each peer, backend or service: the second byte is the kind, the third
the gateway that uses the address, the last the number of the peer, backend or service. Sockets
listen on all addresses of the loopback interface, and on no other interface (SO_BINDTODEVICE).
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

GATEWAY, PEER, BACKEND, DISCOVERY, QUOTA_SERVICE = 100, 101, 102, 103, 104
MAX_NUMBER = 250  # gateways or backends: their number has to fit into one byte
ALL_GATEWAYS = 252  # in place of a gateway number: an address that all gateways share
CLIENTS_PORT, PEERS_PORT, CONTROL_PORT, LOCK_PORT = 6379, 7946, 7070, 40999
MAX_RUNS = 200  # runs at the same time on one machine
LOOPBACK_INTERFACE = b"lo\0"


class AddressError(OSError):
    """No block of addresses is free, or the system does not allow the sockets needed."""


def gateway_address(block: int, number: int) -> str:
    """Returns the address at which a gateway listens."""
    return f"127.{GATEWAY}.{block}.{number + 1}"


def address_for_gateway(kind: int, gateway_number: int, number: int = 0) -> str:
    """Returns the address that this gateway uses for a peer, a backend or a service."""
    return f"127.{kind}.{gateway_number + 1}.{number + 1}"


def parse_address(address: str) -> tuple[int, int, int]:
    """Returns kind, gateway number and number from an address of `address_for_gateway`."""
    _, kind, gateway_number, number = (int(x) for x in address.split("."))
    return kind, gateway_number - 1, number - 1


@contextlib.contextmanager
def reserve_block() -> Iterator[int]:
    """Reserves a block of gateway addresses on this machine. Raises AddressError if none is free."""
    for number in range(1, MAX_RUNS + 1):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as lock:
            try:
                lock.bind((f"127.{GATEWAY}.{number}.254", LOCK_PORT))
            except OSError:
                continue
            yield number
            return
    raise AddressError(f"{MAX_RUNS} runs already use the loopback addresses of this machine")


def loopback_socket(kind: int, reuse: bool = False, port: int = 0) -> socket.socket:
    """Returns a socket bound to all addresses of the loopback interface and reachable through it alone.
    `port`: 0 for a free port, or a port used before."""
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
        raise AddressError(f"cannot open a socket on the loopback interface: {err.strerror}") from None
    return sock


class BlackHole:
    """An address whose connections are never established: a listener with a full queue, which drops SYNs. It
    takes precedence over the listener on all addresses, as its address is more specific."""

    def __init__(self, host: str, port: int) -> None:
        """Listens at the address and fills the queue, until `close`."""
        self._socks = [socket.socket(socket.AF_INET, socket.SOCK_STREAM)]
        listener = self._socks[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, port))
        listener.listen(0)
        for _ in range(3):  # one fills the queue, the others wait for room
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, port))
            self._socks.append(filler)

    def close(self) -> None:
        """Lets connections be established again."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()
