"""Discovery, as an agent on each gateway's machine: the whole list, and watches that tell changes.

One `Roster` knows the boxes; each gateway has an `Agent`, which answers at once with what it has been sent,
stays silent while discovery is down, and may be late.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from . import wire
from .witness import Witness

BEAT_S = 2.0  # an empty line, while nothing changes


@dataclass(slots=True)
class Entry:
    """One line of the list, in discovery's words."""

    name: str
    address: str
    zone: str = "a"
    type: str = "m"
    group: int = 0
    status: str = "Ready"
    weight: float = 1.0
    since_ms: int = 0


class Roster:
    """The list as it is, and every change of it under a number that grows."""

    def __init__(self, witness: Witness) -> None:
        self.witness = witness
        self.entries: dict[str, Entry] = {}
        self.index = 1
        self.changes: list[tuple[int, Entry]] = []
        self.agents: list[Agent] = []

    def put(self, entry: Entry) -> None:
        """A box is new, or something of it has changed; `Gone` takes it off the list."""
        self.index += 1
        if entry.status == "Gone":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.changes.append((self.index, entry))
        self.witness.changed(entry.name, entry.status, entry.since_ms)
        for agent in self.agents:
            agent.hear(self.index, entry)


class Agent:
    """What one gateway's machine has been sent. `late_s` holds back changes, `silent` stops its mouth."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, roster: Roster, gateway: str, witness: Witness
    ) -> None:
        self.loop, self.roster, self.gateway, self.witness = loop, roster, gateway, witness
        self.late_s = 0.0
        self.asked: Callable[[Line], None] = lambda line: line.tell() and None  # a call is whole
        self.seen: Callable[[Entry], Entry] = lambda entry: entry  # as this gateway finds it
        self.silent = False
        self.index = roster.index
        self.entries = dict(roster.entries)
        self.changes: list[tuple[int, Entry]] = []
        self.lines: dict[Line, None] = {}
        self.servers: list[asyncio.AbstractServer] = []
        self._due_s = 0.0
        self._numbers = 0
        roster.agents.append(self)

    async def start(self, host: str, port: int = 0) -> int:
        """Listens there too; the port that it got."""
        self.servers.append(await self.loop.create_server(lambda: Line(self), host, port))
        return self.servers[-1].sockets[0].getsockname()[1]

    def retire(self, after_s: float) -> None:
        """The oldest address accepts no new connection, and closes the open ones after so long."""
        server = self.servers.pop(0)
        server.close()
        self.loop.call_later(after_s, _close, [x for x in self.lines if x.number <= self._numbers])

    def whole(self) -> dict[str, Any]:
        """The list as this machine has it, in discovery's form; a gateway's `known` is the same."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [asdict(self.seen(e)) for e in self.entries.values()],
        }

    def hear(self, index: int, entry: Entry) -> None:
        """A change comes, as late as things are, and never before an older one."""
        self._due_s = max(self._due_s, self.loop.time() + self.late_s)
        if self.late_s <= 0 and self._due_s <= self.loop.time():
            self._take(index, entry)
        else:
            self.loop.call_at(self._due_s, self._take, index, entry)

    def _take(self, index: int, entry: Entry) -> None:
        self.index = index
        if entry.status == "Gone":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.changes.append((index, entry))
        for line in list(self.lines):
            if line.taken:  # else its call still waits for its turn
                line.tell()

    def hush(self, silent: bool) -> None:
        self.silent = silent
        if not silent:
            for line in list(self.lines):
                if not line.queued:
                    line.tell()

    def forget_watches(self) -> None:
        """What is open stays open and is told nothing any more, as by a path that forgot it."""
        for line in list(self.lines):
            line.forgotten = True

    def number(self) -> int:
        self._numbers += 1
        return self._numbers


def _close(lines: list[Line]) -> None:
    for line in lines:
        if line.transport is not None:
            line.transport.close()


class Line(asyncio.Protocol):
    """One connection: a question for the list, or a watch."""

    def __init__(self, agent: Agent) -> None:
        self.agent, self.number = agent, agent.number()
        self.transport: asyncio.Transport | None = None
        self.watching = False
        self.index = -1  # the last that was told here
        self.forgotten = False
        self.taken = False  # its call has had its turn
        self.queued = False  # it waits for it in a service's line
        self._asked: str | None = None
        self._head = b""
        self._beat: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.agent.lines[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.lines.pop(self, None)
        if self._beat is not None:
            self._beat.cancel()

    def data_received(self, data: bytes) -> None:
        self._head += data
        head, end, rest = self._head.partition(b"\r\n\r\n")
        if not end:
            return
        self._head = rest
        try:
            method, path, query = wire.request_line(head)
            if method != "GET" or path != "/v1/endpoints":
                raise wire.ForeignError(f"no such call: {method} {path}")
            self.watching = query.get("stream") == "1"
            self._asked = query.get("index", "0")
            int(self._asked)
        except ValueError as err:
            self.agent.witness.foreign("discovery", self.agent.gateway, str(err))
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            self.transport.close()
            return
        self.taken = False
        self.agent.asked(self)

    def cost(self) -> float:
        """Of the call that is open, as part of a whole list's: changes cost what they are of it."""
        agent = self.agent
        if not self.watching or not self._knows():
            return 1.0
        news = sum(index > int(self._asked or 0) for index, _ in agent.changes)
        return min(1.0, (1 + news) / max(1, len(agent.entries)))

    def _knows(self) -> bool:
        """What it asked for can be told as changes."""
        agent, since = self.agent, int(self._asked or 0)
        return 0 < since <= agent.index and since >= (agent.changes[0][0] - 1 if agent.changes else 0)

    def half(self) -> int:
        """Half of a list, and then nothing."""
        body = self._list()
        self.forgotten = True
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b"
            % (len(body) + 1, body[: len(body) // 2])
        )
        return len(body) // 2

    def older(self) -> int:
        """The list as it was one version before, told late, and the changes only with the next one."""
        agent = self.agent
        body = json.dumps(agent.whole() | {"index": max(1, agent.index - 1)}).encode()
        self.index, self.taken = agent.index, True
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._chunk(body)
        self._again()
        return len(body)

    def tell(self) -> int:
        """All that the agent has and this line has not been told; nothing while it is silent. The bytes."""
        agent = self.agent
        if agent.silent or self.forgotten or self._asked is None or self.transport.is_closing():
            return 0
        self.taken = True
        if not self.watching:
            body = self._list()
            self._asked = None
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return len(body)
        if self.index < 0:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if not self._knows():
                body = self._list()
                self._chunk(body)
                self._again()
                return len(body)
            self.index = int(self._asked)
        news = [e for index, e in agent.changes if index > self.index]
        if news:
            self.index = agent.index
            latest = {e.name: e for e in news}
            body = json.dumps(
                {
                    "index": agent.index,
                    "snapshot": False,
                    "endpoints": [asdict(agent.seen(e)) for e in latest.values()],
                }
            ).encode()
            self._chunk(body)
            for e in latest.values():
                agent.witness.told(agent.gateway, e.name, e.status, e.since_ms)
        self._again()
        return len(body) if news else 0

    def _list(self) -> bytes:
        agent = self.agent
        self.index = agent.index
        for e in agent.entries.values():
            agent.witness.told(agent.gateway, e.name, e.status, e.since_ms)
        seen = {e.name for _, e in agent.changes} - agent.entries.keys()
        for name in sorted(seen):  # what a whole list leaves out is gone
            agent.witness.told(agent.gateway, name, "Gone", 0)
        return json.dumps(agent.whole()).encode()

    def _chunk(self, line: bytes) -> None:
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def _again(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        self._beat = self.agent.loop.call_later(BEAT_S, self._rest)

    def _rest(self) -> None:
        if not self.agent.silent and not self.forgotten and not self.transport.is_closing():
            self._chunk(b"")
        self._again()
