"""Discovery as an agent on each gateway's machine: snapshots of the endpoint list, and watches of changes.

One `EndpointList` knows the backends; each gateway has a `DiscoveryAgent`, which answers at once with what it
has received, sends nothing while discovery is silent, and may be late.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

from . import codec
from .observer import Observer

HEARTBEAT_S: Final = 2.0  # an empty line after so long without a change (PROTOCOL)
NOTHING_SENT: Final = -1  # index of a connection that was sent no list yet
CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class EndpointEntry:
    """One line of the endpoint list; the fields have the names that they have on the wire."""

    name: str
    address: str
    zone: str = "a"
    type: str = "m"
    group: int = 0
    status: str = "Ready"
    weight: float = 1.0
    since_ms: int = 0


class EndpointList:
    """The list as it is, and each change of it under an index that grows."""

    def __init__(self, observer: Observer) -> None:
        """Begin with an empty list, under index 1."""
        self.observer = observer
        self.entries: dict[str, EndpointEntry] = {}
        self.index = 1
        self.changes: list[tuple[int, EndpointEntry]] = []
        self.agents: list[DiscoveryAgent] = []

    def put(self, entry: EndpointEntry) -> None:
        """Add or replace an entry; status `Gone` takes the backend off the list."""
        self.index += 1
        _apply(self.entries, entry)
        self.changes.append((self.index, entry))
        self.observer.endpoint_changed(entry.name, entry.status, entry.since_ms)
        for agent in self.agents:
            agent.receive(self.index, entry)


def _apply(entries: dict[str, EndpointEntry], entry: EndpointEntry) -> None:
    if entry.status == "Gone":
        entries.pop(entry.name, None)
    else:
        entries[entry.name] = entry


class DiscoveryAgent:
    """What one gateway's machine has received of the list.

    `delay_s` holds changes back; `on_request` is called with the connection once a request on it is complete;
    `transform_entry` gives an entry as this gateway sees it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, endpoints: EndpointList, gateway: str, observer: Observer
    ) -> None:
        """Receive the list as it is, and its changes from now on."""
        self.loop = loop
        self.gateway = gateway
        self.observer = observer
        self.delay_s = 0.0
        self.on_request: Callable[[DiscoveryConnection], object] = lambda connection: connection.send_news()
        self.transform_entry: Callable[[EndpointEntry], EndpointEntry] = lambda entry: entry
        self.silent = False
        self.index = endpoints.index
        self.entries = dict(endpoints.entries)
        self.changes: list[tuple[int, EndpointEntry]] = []
        self.connections: dict[DiscoveryConnection, None] = {}
        self.servers: list[asyncio.AbstractServer] = []
        self._latest_due_s = 0.0  # when the change that was received last is applied
        self._connections_made = 0
        endpoints.agents.append(self)

    async def start(self, host: str, port: int = 0) -> int:
        """Listen there, besides where it listens already; the port that it got."""
        self.servers.append(await self.loop.create_server(lambda: DiscoveryConnection(self), host, port))
        return self.servers[-1].sockets[0].getsockname()[1]

    def retire_oldest_address(self, after_s: float) -> None:
        """Take no new connection at the oldest address, and close the open ones after so many seconds."""
        server = self.servers.pop(0)
        server.close()
        open_now = [c for c in self.connections if c.number <= self._connections_made]
        self.loop.call_later(after_s, _close, open_now)

    def snapshot(self) -> dict[str, Any]:
        """The list as this machine has it, in discovery's form; a gateway's `known` is the same."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [asdict(self.transform_entry(e)) for e in self.entries.values()],
        }

    def receive(self, index: int, entry: EndpointEntry) -> None:
        """Receive a change, after `delay_s` and never before an older one."""
        self._latest_due_s = max(self._latest_due_s, self.loop.time() + self.delay_s)
        if self.delay_s <= 0 and self._latest_due_s <= self.loop.time():
            self._apply_change(index, entry)
        else:
            self.loop.call_at(self._latest_due_s, self._apply_change, index, entry)

    def _apply_change(self, index: int, entry: EndpointEntry) -> None:
        self.index = index
        _apply(self.entries, entry)
        self.changes.append((index, entry))
        for connection in list(self.connections):
            if connection.served:  # else its request still waits for its turn
                connection.send_news()

    def silence(self) -> None:
        """Send nothing any more, while connections stay open."""
        self.silent = True

    def resume(self) -> None:
        """Send everything that was missed, and go on."""
        self.silent = False
        for connection in list(self.connections):
            if not connection.queued:
                connection.send_news()

    def stall_connections(self) -> None:
        """Keep what is open open and send nothing more on it, as a path does that forgot it."""
        for connection in list(self.connections):
            connection.stalled = True

    def next_connection_number(self) -> int:
        """A number that no connection has had, from 1 on."""
        self._connections_made += 1
        return self._connections_made


def _close(connections: list[DiscoveryConnection]) -> None:
    for connection in connections:
        if connection.transport is not None:
            connection.transport.close()


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a gateway: a request for the list, or a watch."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        """Make the protocol of a connection on which nothing was asked yet."""
        self.agent = agent
        self.number = agent.next_connection_number()
        self.transport: asyncio.Transport | None = None
        self.watching = False
        self.index = NOTHING_SENT  # of the list that was sent here last
        self.stalled = False  # nothing more is sent here
        self.served = False  # its request has had its turn
        self.queued = False  # its request waits in a service's queue
        self._requested_index: str | None = None  # None: no request is open
        self._buffer = b""
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the agent."""
        self.transport = transport  # type: ignore[assignment]
        self.agent.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the agent."""
        self.agent.connections.pop(self, None)
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Hand a complete request to the agent; answer 404 to what is none."""
        self._buffer += data
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            return
        self._buffer = rest
        try:
            self._parse(head)
        except ValueError as err:
            self.agent.observer.protocol_violated("discovery", self.agent.gateway, str(err))
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            self.transport.close()
            return
        self.served = False
        self.agent.on_request(self)

    def _parse(self, head: bytes) -> None:
        method, path, query = codec.parse_request_head(head)
        if method != "GET" or path != "/v1/endpoints":
            raise codec.ProtocolError(f"no such call: {method} {path}")
        self.watching = query.get("stream") == "1"
        self._requested_index = query.get("index", "0")
        int(self._requested_index)

    def cost(self) -> float:
        """Cost of the open request as a part of a snapshot's: changes cost their part of the list."""
        agent = self.agent
        if not self.watching or not self._can_send_changes():
            return 1.0
        changes = sum(index > int(self._requested_index or 0) for index, _ in agent.changes)
        return min(1.0, (1 + changes) / max(1, len(agent.entries)))

    def _can_send_changes(self) -> bool:
        """Whether the agent still has all changes since the index that was asked for."""
        agent, since = self.agent, int(self._requested_index or 0)
        return 0 < since <= agent.index and since >= (agent.changes[0][0] - 1 if agent.changes else 0)

    # ---- what is sent; each method returns the bytes of the body

    def send_half(self) -> int:
        """Send half of a snapshot, and nothing after it."""
        body = self._make_snapshot()
        self.stalled = True
        self.transport.write(CHUNKED_HEAD + b"%x\r\n%b" % (len(body) + 1, body[: len(body) // 2]))
        return len(body) // 2

    def send_stale(self) -> int:
        """Send the list under the index before, and the changes only with the next one."""
        agent = self.agent
        body = json.dumps(agent.snapshot() | {"index": max(1, agent.index - 1)}).encode()
        self.index = agent.index
        self.served = True
        self.transport.write(CHUNKED_HEAD)
        self._write_chunk(body)
        self._restart_heartbeat()
        return len(body)

    def send_news(self) -> int:
        """Send all that the agent has and this connection was not sent; nothing while the agent is silent."""
        if self.agent.silent or self.stalled or self._requested_index is None or self.transport.is_closing():
            return 0
        self.served = True
        if not self.watching:
            return self._send_response()
        if self.index == NOTHING_SENT:
            self.transport.write(CHUNKED_HEAD)
            if not self._can_send_changes():
                return self._send_snapshot()
            self.index = int(self._requested_index)
        size = self._send_changes()
        self._restart_heartbeat()
        return size

    def _send_response(self) -> int:
        """Answer a request that is no watch."""
        body = self._make_snapshot()
        self._requested_index = None
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return len(body)

    def _send_snapshot(self) -> int:
        body = self._make_snapshot()
        self._write_chunk(body)
        self._restart_heartbeat()
        return len(body)

    def _send_changes(self) -> int:
        """Send the latest entry of each backend that changed since what was sent last."""
        agent = self.agent
        changed = [entry for index, entry in agent.changes if index > self.index]
        if not changed:
            return 0
        self.index = agent.index
        latest = {entry.name: entry for entry in changed}
        body = json.dumps(
            {
                "index": agent.index,
                "snapshot": False,
                "endpoints": [asdict(agent.transform_entry(entry)) for entry in latest.values()],
            }
        ).encode()
        self._write_chunk(body)
        self._report(latest)
        return len(body)

    def _make_snapshot(self) -> bytes:
        agent = self.agent
        self.index = agent.index
        self._report(agent.entries)
        removed = {entry.name for _, entry in agent.changes} - agent.entries.keys()
        for name in sorted(removed):  # what a snapshot leaves out is gone
            agent.observer.gateway_notified(agent.gateway, name, "Gone", 0)
        return json.dumps(agent.snapshot()).encode()

    def _report(self, entries: dict[str, EndpointEntry]) -> None:
        agent = self.agent
        for entry in entries.values():
            agent.observer.gateway_notified(agent.gateway, entry.name, entry.status, entry.since_ms)

    def _write_chunk(self, line: bytes) -> None:
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def _restart_heartbeat(self) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self._heartbeat_timer = self.agent.loop.call_later(HEARTBEAT_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        if not self.agent.silent and not self.stalled and not self.transport.is_closing():
            self._write_chunk(b"")
        self._restart_heartbeat()
