"""Discovery's list of backend servers: the known one at the start, then a watch, opened again when lost."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from ..cold_start.asking import Asking
from ..decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState, WatchEndpoints
from . import http
from .config import Address, ConfigError, address
from .discovery_clock import DiscoveryClock
from .dispatcher import Dispatcher
from .host import Host
from .json_objects import JsonObjects
from .trace import Step

GONE_KEPT: Final = 1024  # names that were listed and are gone: so many may still be called by operators
MODES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
USUAL_WEIGHT: Final = 1.0  # one object for all
Entries = list[tuple[EndpointEntry, Address]]


def number(name: str) -> int:
    """A number for a backend server's name, the same at every gateway and after restarts: peers use it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class EndpointReader:
    """Discovery's JSON to the module's entries."""

    def __init__(self, zones: list[str], kinds: list[str], host: Host) -> None:
        self.zones = {z: k for k, z in enumerate(zones)}
        self.kinds = {t: k for k, t in enumerate(kinds)}
        self.now_ns = host.monotonic_ns
        self.clock = DiscoveryClock(host.monotonic_ns() - host.unix_ns())
        self.ports: dict[int, int] = {}  # one object for all that are alike

    @property
    def apart_ns(self) -> int:
        """Monotonic less discovery's time."""
        return self.clock.apart_ns

    def settle(self, table: dict[str, Any]) -> None:
        """With a whole list as its text has it, before any of it is read."""
        found = [e.get("since_ms") for e in table["endpoints"] if isinstance(e, dict)]
        self.clock.settle([since for since in found if type(since) is int], self.now_ns())

    def read(self, table: dict[str, Any]) -> tuple[int, bool, Entries]:
        self.settle(table)
        entries = [e if type(e) is tuple else self.entry(e) for e in table["endpoints"]]  # a tuple is read
        return int(table["index"]), bool(table["snapshot"]), entries

    def _kind(self, e: dict[str, Any]) -> int:
        """A type that the settings don't name has the number of its name: else all such were one."""
        known = self.kinds.get(e.get("type"))
        return number(str(e.get("type") or "")) if known is None else known

    def entry(self, e: dict[str, Any]) -> tuple[EndpointEntry, Address]:
        mode = MODES[e["status"]]
        weight = float(e.get("weight") or USUAL_WEIGHT)
        host, port = (
            ("", 0) if mode is EndpointState.REMOVED and not e.get("address") else address(e["address"])
        )
        id_ = number(str(e["name"]))
        since_ms, now = int(e.get("since_ms") or 0), self.now_ns()
        if since_ms and not self.clock.settled:  # read as its text came, before the list is whole
            self.clock.settle([since_ms], now)
        started = self.clock.started_ns(id_, since_ms, now)
        return EndpointEntry(
            id_,
            self.zones.get(e.get("zone"), len(self.zones)),
            self._kind(e),
            int(e.get("group") or 0),
            mode,
            USUAL_WEIGHT if weight == USUAL_WEIGHT else weight,
            started,
        ), (host, self.ports.setdefault(port, port))


class EndpointTable:
    """Hands every change to the pools and to the module. A lost watch leaves the last list standing."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        reader: EndpointReader,
        where: Address,
        update: Callable[[Entries, bool], None],
        first: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.dispatcher, self.reader, self.where, self.update, self.first = (
            dispatcher,
            reader,
            where,
            update,
            first,
        )
        self.rng = rng  # of this gateway alone: a fleet that draws alike calls in step
        self.told = False  # discovery has said something since the start
        self.version = 0  # of the table, as the discovery at `where` counts
        self.closed = False
        limits = dispatcher.limits
        self.listener: Any = None  # hears discovery's own words too (`net/start`)
        self.asking = Asking(
            rng,
            limits.table_again_ns,
            limits.table_again_most_ns,
            limits.table_patience_ns,
            limits.table_longest_ns,
        )
        self._looks: dict[asyncio.Task, None] = {}
        self._watch: Watch | None = None  # the last that was opened; an older one stands until it speaks
        self._old: Watch | None = None
        self._task: asyncio.Task | None = None
        self.banned: dict[int, int] = {}  # under maintenance, since: told as draining, whatever is listed
        # back from maintenance: the name, and when; started then, where discovery says earlier
        self.reborn: dict[int, tuple[str, int]] = {}
        self.endpoints: dict[
            int, tuple[EndpointEntry, Address]
        ] = {}  # discovery's own word of what it lists, by number
        self.gone: dict[int, int] = {}  # what it listed before, and when that had started: the last of these
        self._heard_ns: int | None = None  # when discovery last said anything; none: not yet
        dispatcher.carry_out[WatchEndpoints] = (
            lambda now, _: None
        )  # the watch is always open, or being opened

    def begin(self, known: dict[str, Any], hold: bool = False) -> None:
        """`hold`: somebody else opens the watch, when it is time."""
        if known.get("endpoints"):
            try:
                self._take(known, EndpointListKind.CACHED, self.where)
            except (ValueError, KeyError, TypeError, AttributeError) as err:
                raise ConfigError(f"known: {type(err).__name__} {err}") from None
            if not hold:
                self.open_soon()
        else:
            self.dispatcher.post(EndpointList(EndpointListKind.CACHED, 0, []))
            if not hold:
                self.open(None)

    def open_soon(self) -> None:
        """At a drawn moment: a list is there, and a fleet that asks in step is turned away."""
        wait = self.rng.randint(1, self.dispatcher.limits.table_first_ask_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait, self.open, None)
        self.dispatcher.wake()

    def take_told(self, version: int, entries: list[dict[str, Any]], sure: bool) -> bool:
        """A list that peers told. False where discovery's own word is there already, or it can't be read. Not
        sure: discovery is asked for the whole list all the same."""
        if self.told:
            return False
        try:
            self._take(
                {"index": version, "snapshot": True, "endpoints": entries},
                EndpointListKind.CACHED,
                self.where,
            )
        except (ValueError, KeyError, TypeError, AttributeError) as err:
            self.dispatcher.log.often("start", f"a peer's list can't be read: {type(err).__name__} {err}")
            return False
        if not sure:
            self.version = 0
        return True

    def open(self, where: Address | None) -> None:
        """None, or the address that a try again was meant for: discovery may have moved since."""
        if not self.closed and where in (None, self.where):
            self._task = self.dispatcher.loop.create_task(self._connect(self.where))

    def move(self, where: Address) -> None:
        """Discovery is found elsewhere from now on. The table stands, and the old watch is heard, until the
        new one has spoken."""
        if where != self.where:
            self.where, self.version = where, 0  # another may count in another way
            self.asking.tries = 0
            self.open(None)

    async def _connect(self, where: Address) -> None:
        try:
            async with asyncio.timeout(self.dispatcher.limits.backoff_most_ns / 1e9):
                await self.dispatcher.loop.create_connection(lambda: Watch(self, where), *where)
        except (OSError, TimeoutError) as err:
            self.lost(where, f"can't connect: {err or type(err).__name__}")

    def opened(self, watch: Watch) -> None:
        if watch.where != self.where:  # moved on while it came up
            watch.transport.abort()
            return
        self._watch, old = watch, self._watch
        if self._old is None:
            self._old = old
        elif old is not None:  # one that has not spoken yet stands for nothing
            old.transport.abort()

    def fell_silent(self, watch: Watch) -> None:
        """Another is opened beside it, and it stands until that has come up, as what discovery tells the
        moment it returns counts at once: a call has to be out then. Where discovery is one service that each
        call costs work, it is given up first."""
        if self.dispatcher.limits.table_patience_ns or watch is not self._watch or watch.where != self.where:
            watch.give_up("silent", watch.unheard_ns())
            return
        self.dispatcher.log.often("watch", "silent: another is opened beside it; the last list stands")
        self.open(None)

    def waits_on(self, watch: Watch) -> bool:
        """A call that nobody answered yet. Where discovery is one service for the whole fleet, its turn may
        still come: given up and made again, it would cost the service twice, and all that wait behind it. So
        it is looked whether the service is there at all, by a connection that asks for nothing."""
        if not self.dispatcher.limits.table_patience_ns or watch is not self._watch:
            return False
        task = self.dispatcher.loop.create_task(self._look(watch))
        self._looks[task] = None
        task.add_done_callback(lambda done: self._looks.pop(done, None))
        return True

    async def _look(self, watch: Watch) -> None:
        try:
            async with asyncio.timeout(self.dispatcher.limits.backoff_most_ns / 1e9):
                transport, _ = await self.dispatcher.loop.create_connection(asyncio.Protocol, *watch.where)
            transport.abort()
        except (OSError, TimeoutError):
            watch.give_up("silent, and it takes no connection")
            return
        if self.asking.silent(self.dispatcher.now_ns() - watch.began_ns):
            watch.wait_on()
        else:
            watch.give_up("silent for all of the patience", self.dispatcher.now_ns() - watch.began_ns)

    def lost(
        self,
        where: Address,
        why: str,
        watch: Watch | None = None,
        retry_after_ns: int = 0,
        unheard_ns: int = 0,
    ) -> None:
        """Tries again, each time later, at a moment drawn from all of the wait. Guards against gateways that
        lost their watches, or were killed, at one stroke: asked in step, discovery turns all of them away,
        and asked again by each of them once a second, it never comes to answer."""
        if watch is not None and watch is self._old:
            self._old = None
        if self.closed or where != self.where or (watch is not None and watch is not self._watch):
            return  # an old watch: another has been opened, or is being opened
        if watch is not None:  # else the one that stands is heard on, though the next did not come up
            self._watch = None
        self.dispatcher.log.often("watch", f"lost: {why}; the last list stands")
        wait = self.asking.failed(retry_after_ns, unheard_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait, self.open, where)
        self.dispatcher.wake()

    def line(self, watch: Watch, table: dict[str, Any]) -> None:
        if watch is not self._watch and watch is not self._old:
            return  # guards against an old watch that goes on after the new one has spoken
        self._take(table, EndpointListKind.FULL if table["snapshot"] else EndpointListKind.DELTA, watch.where)
        if self.listener is not None:
            self.listener.told(self.version, table["endpoints"], bool(table["snapshot"]))
        if watch is self._watch:
            self.asking.answered(watch.took_ns())
            if self._old is not None:
                old, self._old = self._old, None
                old.transport.abort()
        if not self.told:
            self.told = True
            self.first()

    def _take(self, table: dict[str, Any], kind: EndpointListKind, where: Address) -> None:
        version, _, entries = self.reader.read(table)
        if where == self.where:  # an old watch may still speak after a move, and count in another way
            self.version = version
        self.dispatcher.counters.tables += 1
        self.dispatcher.trace.note(
            self.dispatcher.now_ns(), Step.STATE, "list", (kind, version, len(entries))
        )
        entries = self._dated(kind, entries)
        self._keep(kind, entries)
        if self.banned or self.reborn:
            entries = [self._masked(e) for e in entries]
        self._dispatch(kind, version, entries)

    def read_early(self, e: dict[str, Any]) -> Any:
        """An endpoint, read as soon as its own text is: of a whole list, its objects take several times the
        memory that is kept of them, and one that says what is known takes none. What is no endpoint, or a
        wrong one, stays as it is."""
        if "endpoints" in e:
            return e
        try:
            entry = self.reader.entry(e)
        except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError):
            return e
        known = self.endpoints.get(entry[0].id)
        return known if known == entry else entry

    def _keep(self, kind: EndpointListKind, entries: Entries) -> None:
        """Remembers what is listed, and of what is gone only that it was, and not for ever."""
        if kind is not EndpointListKind.DELTA:
            told = {b.id for b, _ in entries}
            for left_out in [k for k in self.endpoints if k not in told]:
                self._forget(left_out)
        for entry in entries:
            if entry[0].mode is EndpointState.REMOVED:
                self._forget(entry[0].id)
            else:
                self.endpoints[entry[0].id] = entry

    def heard(self) -> None:
        """Discovery has said something, be it that nothing has changed."""
        self._heard_ns = self.dispatcher.now_ns()

    def _dated(self, kind: EndpointListKind, entries: Entries) -> Entries:
        """Guards a cold server against a wall clock that is ahead: one that discovery tells of anew, and that
        was not listed when it last spoke, has started since then, or not long before, whatever the clock
        says. It counts as started now."""
        if self._heard_ns is None or kind is EndpointListKind.CACHED:
            return entries
        earliest_ns = self._heard_ns - self.dispatcher.limits.start_told_ns
        return [
            self._started_now(entry)
            if entry[0].started_ns < earliest_ns and self._is_news(entry[0])
            else entry
            for entry in entries
        ]

    def _is_news(self, b: EndpointEntry) -> bool:
        """This start of it was never told before."""
        known = self.endpoints.get(b.id)
        told_ns = known[0].started_ns if known is not None else self.gone.get(b.id)
        return b.started_ns != 0 and b.started_ns != told_ns and b.mode is not EndpointState.REMOVED

    def _started_now(self, entry: tuple[EndpointEntry, Address]) -> tuple[EndpointEntry, Address]:
        b, where = entry
        clock, now = self.reader.clock, self.dispatcher.now_ns()
        self.dispatcher.log.often(
            "clock",
            f"a server told of just now had started {(now - b.started_ns) / 1e9:.0f} s ago: taken as cold",
        )
        clock.pin(b.id, clock.told_ms(b.id, b.started_ns), now)
        return replace(b, started_ns=now), where

    def _forget(self, number_: int) -> None:
        known = self.endpoints.pop(number_, None)
        started_ns = known[0].started_ns if known is not None else self.gone.get(number_, 0)
        self.gone.pop(number_, None)
        self.gone[number_] = started_ns
        if len(self.gone) > GONE_KEPT:
            del self.gone[next(iter(self.gone))]

    def __contains__(self, name: object) -> bool:
        """Whether discovery lists a name, or did not long ago."""
        number_ = number(str(name))
        return number_ in self.endpoints or number_ in self.gone

    def _dispatch(self, kind: EndpointListKind, version: int, entries: Entries) -> None:
        """To the module first: what the pools withdraw by the same change is then decided on by the new list,
        and not sent to the next server that it takes out."""
        self.dispatcher.post(EndpointList(kind, version, [b for b, _ in entries]))
        self.update(entries, kind is not EndpointListKind.DELTA)

    def _masked(self, entry: tuple[EndpointEntry, Address]) -> tuple[EndpointEntry, Address]:
        """Discovery's word as operators have changed it."""
        b, where = entry
        if b.id in self.banned and b.mode is EndpointState.READY:
            return replace(b, mode=EndpointState.DRAINING), where
        reborn = self.reborn.get(b.id)
        if reborn is not None:
            if b.started_ns < reborn[1]:
                return replace(b, started_ns=reborn[1]), where
            del self.reborn[b.id]  # discovery tells a later start: its word holds again
        return entry

    def back(self) -> dict[str, int]:
        """Those put back from maintenance that count as started then, and when."""
        return {name: at for name, at in self.reborn.values() if name in self}

    def put_back(self, back_age_ns: dict[str, int]) -> None:
        """What an older process of this gateway says of them. Guards a server that is cold against a new
        process that has only discovery's word, which may be of before it was taken out."""
        for name, age_ns in back_age_ns.items():
            self.reborn[number(name)] = name, self.dispatcher.now_ns() - age_ns

    def maintain(self, name: str, banned: bool) -> bool:
        """An operator's word on a backend server, told as a change of the list where discovery listed it;
        False where the name was never listed. Guards the rule on drains: the module and the pools hear it in
        the same turn, before any further attempt is decided on."""
        self.dispatcher.trace.note(
            self.dispatcher.now_ns(), Step.STATE, name, "maintenance" if banned else "back"
        )
        number_ = number(name)  # perhaps not listed here yet: another process of this gateway has told it
        since = self.banned.pop(number_, None)
        if banned:
            self.banned[number_] = since or self.dispatcher.now_ns()
        entry = self.endpoints.get(number_)
        if not banned and since is not None and (entry is None or entry[0].started_ns < since):
            # Guards against pushing over what comes back: it was restarted while out, whether or not
            # discovery told it, and is cold. Started at the call back as the module counts, it is ramped up.
            self.reborn[number_] = name, self.dispatcher.now_ns()
        if entry is not None:
            self._dispatch(EndpointListKind.DELTA, self.version, [self._masked(entry)])
        return name in self


class Watch(asyncio.BufferedProtocol):
    """One open watch."""

    __slots__ = (
        "table",
        "where",
        "transport",
        "began_ns",
        "_buffer",
        "_lines",
        "_objects",
        "_why",
        "_deadline",
        "_heard_ns",
        "_spoke",
        "_retry_ns",
        "_first_ns",
        "_given_up_after_ns",
    )

    def __init__(self, table: EndpointTable, where: Address) -> None:
        self.table, self.where = table, where
        self.transport: asyncio.Transport | None = None
        self._buffer = memoryview(bytearray(table.dispatcher.limits.read_bytes))
        self._lines = http.LineReader(table.dispatcher.limits)
        each = table.read_early if table.listener is None else None  # who listens hears discovery's own words
        self._objects = JsonObjects(table.dispatcher.limits.table_bytes, each)
        self._why = "it ended"
        self._heard_ns = self.began_ns = self.table.dispatcher.now_ns()
        self._deadline = None
        self._spoke = False
        self._first_ns = self._retry_ns = self._given_up_after_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.table.dispatcher.counters.watches += 1
        self.table.opened(self)
        host = f"{self.where[0]}:{self.where[1]}"
        # What was missed since: every line costs discovery work, for each gateway of the fleet. Where that is
        # too old to be told as changes, the whole list comes.
        self.transport.write(http.get(host, f"/v1/endpoints?stream=1&index={self.table.version}"))
        self._await(None)

    def _await(self, _: object) -> None:
        """Guards against a watch that fell silent: what discovery has to tell counts as told after 6 s, so
        that drains would be missed. It is opened anew, in time for another try."""
        limits, now = self.table.dispatcher.limits, self.table.dispatcher.now_ns()
        silence = limits.table_silence_ns if self._spoke else limits.table_answer_ns
        if now - self._heard_ns >= silence:
            if self._spoke or not self.table.waits_on(self):
                self.table.fell_silent(self)
            return
        self._deadline = self.table.dispatcher.deadlines.add(self._heard_ns + silence, self._await)
        self.table.dispatcher.wake()

    def wait_on(self) -> None:
        """The service is there: its answer may still come. It is looked again after as long."""
        if not self._spoke and not self.transport.is_closing():
            self._heard_ns = self.table.dispatcher.now_ns()
            self._await(None)

    def unheard_ns(self) -> int:
        """How long it has said nothing."""
        return self.table.dispatcher.now_ns() - self._heard_ns

    def give_up(self, why: str, unheard_ns: int = 0) -> None:
        """Unless it has spoken meanwhile, and is heard as ever."""
        if why == "silent" or not self._spoke:
            self._why, self._given_up_after_ns = why, unheard_ns
            self.transport.abort()

    def took_ns(self) -> int:
        """From the call to the first of its answer."""
        return self._first_ns - self.began_ns

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, size: int) -> None:
        self._heard_ns = self.table.dispatcher.now_ns()
        if self._spoke and self.table.listener is not None:
            self.table.listener.alive()
        if not self._spoke:
            self._spoke, self._first_ns = True, self._heard_ns
            self.table.dispatcher.deadlines.drop(self._deadline)
            self._await(None)
        self._read(self._lines.feed, bytes(self._buffer[:size]))
        self.table.heard()

    def _read(self, lines: Callable[..., list[bytes]], *data: bytes) -> None:
        try:
            for line in lines(*data):
                if self._lines.status != 200:
                    raise http.HttpError(f"status {self._lines.status}")
                for table in self._objects.feed(line):
                    self.table.line(self, table)
            if self._lines.done:
                if self._lines.status != 200:  # turned away, with or without a word on when to come again
                    self._why = f"status {self._lines.status}"
                    self._retry_ns = self._lines.retry_after_s * 1_000_000_000
                self.transport.close()
        except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError) as err:
            self._why = f"{type(err).__name__}: {err}"
            self.transport.abort()

    def eof_received(self) -> None:
        self._read(self._lines.end)  # an answer without a length ends so; a reset is no end

    def connection_lost(self, err: Exception | None) -> None:
        self.table.dispatcher.deadlines.drop(self._deadline)
        self.table.lost(self.where, self._why, self, self._retry_ns, self._given_up_after_ns)
