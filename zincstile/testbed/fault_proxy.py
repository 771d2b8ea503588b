"""Relays connections from gateways to emulated services, with the faults of a plan on each path.

An emulator gets a `FaultProxy` in place of its event loop. Its listening socket tells gateways apart by the
address that they connected to. Between each connection and the emulator's protocol is a
`ProxiedConnection` with a queue for each direction: data keeps its order, waits while the path is cut, and
is delayed where the path has a delay.

While a path is cut, open connections are silent and keep the written data, as TCP does until it
retransmits; new ones are never established (`places.BlackHole`). `reset` breaks open connections, and new
ones as soon as they are established.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from ..virtual.network_faults import NetworkFaults, NetworkPath
from . import places

BACKLOG: Final = 1024  # connections that may wait to be accepted

TIMER_SLACK_S: Final = 1e-4  # a timer may fire this much early


class Direction:
    """One direction of one connection, with the data that waits in it."""

    __slots__ = ("loop", "links", "pair", "_waiting", "_timer", "_last_due_s")

    def __init__(self, loop: asyncio.AbstractEventLoop, links: NetworkFaults, pair: NetworkPath) -> None:
        """`pair`: the path as the names of its source and its destination."""
        self.loop = loop
        self.links = links
        self.pair = pair
        self._waiting: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last_due_s = 0.0

    def push(self, then: Callable[..., None], *args: Any) -> None:
        """Calls then(*args) after everything pushed before it, and after the delay of the path."""
        path = self.links.fault_on(*self.pair)
        if not self._waiting and not path.cut and not path.delay_s:
            then(*args)
            return
        self._last_due_s = max(self._last_due_s, self.loop.time() + path.delay_s)
        self._waiting.append((self._last_due_s, then, args))
        self.pass_due()

    def pass_due(self) -> None:
        """Makes the calls that are due by now, unless the path is cut."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting and not self.links.fault_on(*self.pair).cut:
            due_s, then, args = self._waiting[0]
            if due_s > self.loop.time() + TIMER_SLACK_S:
                self._timer = self.loop.call_at(due_s, self.pass_due)
                return
            self._waiting.popleft()
            then(*args)


class ProxiedConnection(asyncio.Protocol):
    """One connection: the system's transport on one side, an emulator's protocol on the other."""

    def __init__(self, proxy: FaultProxy, inner: asyncio.Protocol) -> None:
        """`inner`: the emulator's protocol for this connection."""
        self.proxy = proxy
        self.inner = inner
        self.transport: asyncio.Transport | None = None
        self.gateway = "?"
        self.announced = False  # the inner protocol has been notified of the connection
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the inner protocol of the connection, unless the path resets it."""
        self.transport = transport  # type: ignore[assignment]
        address = transport.get_extra_info("sockname")[0]
        if not self.proxy.is_known_by(address):
            transport.abort()  # type: ignore[attr-defined]
            return
        self.gateway = self.proxy.gateway_at(address)
        proxy, place = self.proxy, self.proxy.place
        self.inwards = Direction(proxy.loop, proxy.links, (self.gateway, place))
        self.outwards = Direction(proxy.loop, proxy.links, (place, self.gateway))
        proxy.connections[self] = None
        if proxy.links.fault_on(*self.inwards.pair).reset:
            self.abort()
            return
        self.announced = True
        self.inner.connection_made(self)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Passes data of a gateway to the inner protocol, subject to the faults of the path."""
        if self.announced:
            self.inwards.push(self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if not self.closing:
            self.inner.data_received(data)

    def eof_received(self) -> None:
        """Leaves closing to `connection_lost`."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the inner protocol, after the data received before."""
        if self.announced:
            self.inwards.push(self._deliver_loss, exc)
        else:
            self.proxy.connections.pop(self, None)

    def _deliver_loss(self, exc: Exception | None) -> None:
        self.closing = True
        self.proxy.connections.pop(self, None)
        self.inner.connection_lost(exc)

    def changed(self) -> None:
        """Applies a change of the faults on the paths of this connection."""
        if self.proxy.links.fault_on(*self.inwards.pair).reset:
            self.abort()
        self.inwards.pass_due()
        self.outwards.pass_due()

    # ---- the transport, as the emulator's protocol sees it

    def write(self, data: bytes) -> None:
        """Sends data of the inner protocol to the gateway, subject to the faults of the path."""
        if not self.closing:
            self.outwards.push(self.transport.write, data)

    def close(self) -> None:
        """Closes the connection after the written data has been sent."""
        self.closing = True
        self.outwards.push(self.transport.close)

    def abort(self) -> None:
        """Resets the connection at once, whatever the state of the path."""
        self.closing = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:  # SO_LINGER of 0: close with RST
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.transport.abort()

    def is_closing(self) -> bool:
        """As asyncio transports say it."""
        return self.closing or self.transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """As asyncio transports say it."""
        return self.transport.get_extra_info(name, default)


class FaultProxy:
    """The event loop that one emulator gets: its server is behind the proxy, all else is the real loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: NetworkFaults,
        place: str,
        kind: int,
        number: int,
        gateways: list[str],
    ) -> None:
        """`place`: the emulator's name; `kind`, `number`: of its addresses (`places`); `gateways`: names."""
        self.loop = loop
        self.links = links
        self.place = place
        self.kind = kind
        self.number = number
        self.gateways = gateways
        self.connections: dict[ProxiedConnection, None] = {}
        self.port = 0
        self.keeps_port = False  # after a close, listens on the same port again, not on a new one
        self.make_connection: Callable[[FaultProxy, asyncio.Protocol], ProxiedConnection] = ProxiedConnection
        self.probe: Any = None  # notified by connections that are observed
        self._black_holes: dict[str, places.BlackHole] = {}
        self._server: asyncio.AbstractServer | None = None
        links.on_change.append(self._on_change)

    def __getattr__(self, name: str) -> Any:
        """Returns the member of the real loop."""
        return getattr(self.loop, name)

    def is_known_by(self, address: str) -> bool:
        """Returns whether the address is of this kind. It is not when a gateway of another run connects to a
        service that used this port before."""
        return places.parse_address(address)[0] == self.kind

    def gateway_at(self, address: str) -> str:
        """Returns the name of the gateway that uses this address for this service; "?" if none does."""
        kind, gateway_number, number = places.parse_address(address)
        fits = kind == self.kind and number == self.number and 0 <= gateway_number < len(self.gateways)
        return self.gateways[gateway_number] if fits else "?"

    def address(self, gateway_number: int) -> str:
        """Returns the address and port that this gateway uses for this service."""
        return f"{places.address_for_gateway(self.kind, gateway_number, self.number)}:{self.port}"

    async def create_server(
        self, factory: Callable[[], asyncio.Protocol], host: str = "", port: int = 0
    ) -> asyncio.AbstractServer:
        """As the loop's method, but listens on all addresses of this service."""
        sock = places.loopback_socket(socket.SOCK_STREAM, True, self.port if self.keeps_port else 0)
        self.port = sock.getsockname()[1]
        self._server = await self.loop.create_server(
            lambda: self.make_connection(self, factory()), sock=sock, backlog=BACKLOG
        )
        return self._server

    @property
    def listens(self) -> bool:
        """Whether a server accepts connections."""
        return self._server is not None and self._server.is_serving()

    def _on_change(self, pairs: list[NetworkPath]) -> None:
        """Applies a change of the faults on these paths."""
        affected = {a if b == self.place else b for a, b in pairs if self.place in (a, b)}
        for name in affected:
            self._update_black_hole(name)
        if affected:
            for connection in [c for c in self.connections if c.gateway in affected]:
                connection.changed()

    def _update_black_hole(self, gateway: str) -> None:
        """Blocks new connections of this gateway while the path there or back is cut."""
        if gateway not in self.gateways or not self.port:
            return
        cut = self.links.fault_on(gateway, self.place).cut or self.links.fault_on(self.place, gateway).cut
        if cut and gateway not in self._black_holes:
            host = places.address_for_gateway(self.kind, self.gateways.index(gateway), self.number)
            self._black_holes[gateway] = places.BlackHole(host, self.port)
        elif not cut and gateway in self._black_holes:
            self._black_holes.pop(gateway).close()

    def break_all(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.break_all()
        for hole in self._black_holes.values():
            hole.close()
        self._black_holes.clear()
        if self._on_change in self.links.on_change:
            self.links.on_change.remove(self._on_change)
