"""Discovery as an agent on each gateway's machine: snapshots of the endpoint list, and watches of changes.

One `EndpointList` holds the backends. Each gateway has a `DiscoveryAgent`, which answers at once from its own
copy of the list. The copy may be delayed, and the agent sends nothing while it is silent.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

from . import codec
from .observer import Observer

HEARTBEAT_S: Final = 2.0  # interval of empty lines while nothing changes (PROTOCOL)
NOTHING_SENT: Final = -1  # index of a connection on which no list was sent yet
CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class EndpointEntry:
    """One entry of the endpoint list; the field names are those of the wire format."""

    name: str
    address: str
    zone: str = "a"
    type: str = "m"
    group: int = 0
    status: str = "Ready"
    weight: float = 1.0
    since_ms: int = 0


class EndpointList:
    """The current endpoint list and its changes, each with an increasing index."""

    def __init__(self, observer: Observer) -> None:
        """Creates an empty list with index 1."""
        self.observer = observer
        self.entries: dict[str, EndpointEntry] = {}
        self.index = 1
        self.changes: list[tuple[int, EndpointEntry]] = []
        self.agents: list[DiscoveryAgent] = []

    def put(self, entry: EndpointEntry) -> None:
        """Adds or replaces an entry; status `Gone` removes it. Passes the change to all agents."""
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
    """The agent on one gateway's machine, with its copy of the list.

    `delay_s` delays changes; `on_request` is called with the connection of each complete request;
    `transform_entry` returns an entry as this gateway sees it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, endpoints: EndpointList, gateway: str, observer: Observer
    ) -> None:
        """Copies the current list and subscribes to its changes."""
        self.loop = loop
        self.gateway = gateway
        self.observer = observer
        self.delay_s = 0.0
        self.on_request: Callable[[DiscoveryConnection], object] = (
            lambda connection: connection.send_updates()
        )
        self.transform_entry: Callable[[EndpointEntry], EndpointEntry] = lambda entry: entry
        self.silent = False
        self.index = endpoints.index
        self.entries = dict(endpoints.entries)
        self.changes: list[tuple[int, EndpointEntry]] = []
        self.connections: dict[DiscoveryConnection, None] = {}
        self.servers: list[asyncio.AbstractServer] = []
        self._latest_due_s = 0.0  # when the last received change is applied
        self._connections_made = 0
        endpoints.agents.append(self)

    async def start(self, host: str, port: int = 0) -> int:
        """Starts listening at one more address and returns the port."""
        self.servers.append(await self.loop.create_server(lambda: DiscoveryConnection(self), host, port))
        return self.servers[-1].sockets[0].getsockname()[1]

    def retire_oldest_address(self, after_s: float) -> None:
        """Stops listening at the oldest address, and closes the connections open now after `after_s`."""
        server = self.servers.pop(0)
        server.close()
        open_connections = [c for c in self.connections if c.number <= self._connections_made]
        self.loop.call_later(after_s, _close, open_connections)

    def snapshot(self) -> dict[str, Any]:
        """Returns the agent's copy of the list in the wire format, which a gateway's `known` list has too."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [asdict(self.transform_entry(e)) for e in self.entries.values()],
        }

    def receive(self, index: int, entry: EndpointEntry) -> None:
        """Applies a change after `delay_s`, but never before an older change."""
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
            if connection.served:  # else its request is not handled yet
                connection.send_updates()

    def silence(self) -> None:
        """Stops sending; connections stay open."""
        self.silent = True

    def resume(self) -> None:
        """Resumes sending, starting with all missed changes."""
        self.silent = False
        for connection in list(self.connections):
            if not connection.queued:
                connection.send_updates()

    def stall_connections(self) -> None:
        """Sends nothing more on the open connections but keeps them open, like a path that drops packets."""
        for connection in list(self.connections):
            connection.stalled = True

    def next_connection_number(self) -> int:
        """Returns a number that no other connection has, starting at 1."""
        self._connections_made += 1
        return self._connections_made


def _close(connections: list[DiscoveryConnection]) -> None:
    for connection in connections:
        if connection.transport is not None:
            connection.transport.close()


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a gateway, for single requests of the list or for a watch."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        """Creates the protocol of a connection to `agent`."""
        self.agent = agent
        self.number = agent.next_connection_number()
        self.transport: asyncio.Transport | None = None
        self.watching = False
        self.index = NOTHING_SENT  # of the last list or change sent on this connection
        self.stalled = False  # nothing more is sent on this connection
        self.served = False  # its request was handled
        self.queued = False  # its request waits in a service's queue
        self._requested_index: str | None = None  # None: no open request
        self._buffer = b""
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the agent."""
        self.transport = transport  # type: ignore[assignment]
        self.agent.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters from the agent."""
        self.agent.connections.pop(self, None)
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Passes a complete request to the agent; answers 404 to an invalid one."""
        self._buffer += data
        head, end, remainder = self._buffer.partition(b"\r\n\r\n")
        if not end:
            return
        self._buffer = remainder
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
            raise codec.ProtocolError(f"unknown request: {method} {path}")
        self.watching = query.get("stream") == "1"
        self._requested_index = query.get("index", "0")
        int(self._requested_index)

    def cost(self) -> float:
        """Returns the cost of the open request relative to a snapshot.

        Changes cost in proportion to their share of the list.
        """
        agent = self.agent
        if not self.watching or not self._can_send_changes():
            return 1.0
        changes = sum(index > int(self._requested_index or 0) for index, _ in agent.changes)
        return min(1.0, (1 + changes) / max(1, len(agent.entries)))

    def _can_send_changes(self) -> bool:
        """Returns whether the agent has all changes since the requested index."""
        agent, since = self.agent, int(self._requested_index or 0)
        return 0 < since <= agent.index and since >= (agent.changes[0][0] - 1 if agent.changes else 0)

    # ---- sending; each method returns the size of the body

    def send_truncated_snapshot(self) -> int:
        """Sends half of a snapshot and nothing more on this connection."""
        body = self._make_snapshot()
        self.stalled = True
        self.transport.write(CHUNKED_HEAD + b"%x\r\n%b" % (len(body) + 1, body[: len(body) // 2]))
        return len(body) // 2

    def send_stale_snapshot(self) -> int:
        """Sends the current list with the previous index; later changes follow as usual."""
        agent = self.agent
        body = json.dumps(agent.snapshot() | {"index": max(1, agent.index - 1)}).encode()
        self.index = agent.index
        self.served = True
        self.transport.write(CHUNKED_HEAD)
        self._write_chunk(body)
        self._restart_heartbeat()
        return len(body)

    def send_updates(self) -> int:
        """Sends what the agent has and has not sent on this connection; nothing while it is silent."""
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
        """Answers a single request, which is not a watch."""
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
        """Sends the latest entry of each backend that changed since the last index sent."""
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
        for name in sorted(removed):  # a backend missing from a snapshot is gone
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
