"""What the decision module remembers: plain records, nothing decided."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from . import state_transfer
from .messages import (
    Action,
    CancelAttempt,
    CustomerUsage,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Request,
    SetTimer,
    StateInherited,
    StreamStarted,
)
from .settings import CustomerPlan, DeduplicationScope, RequestClass

LEVEL = 8  # place of the level in figures(); the times per unit follow it
SLOWNESS_EPSILON: Final = 0.001  # so near to 1 a slowness is 1: a hundredth of the chance in a choice
NO_DOUBT: Final[Mapping[int, float]] = MappingProxyType({})  # shared by all servers that have none


def scatter(number: int) -> int:
    """Spreads ids over 32 bits, the same at every gateway."""
    return number * 2654435761 % 2**32


@dataclass(slots=True)
class Attempt:
    server: Server
    sent_ns: int
    due_ns: float  # what the fleet takes for the like
    units: float
    bound_ns: float  # latency from which it shows pressure
    cls: int
    plan: int
    connection: int  # rested and kept, new, or heard of lately
    late: bool = False


@dataclass(slots=True, eq=False)
class Server:
    """What is known of one backend. `Memory.touch` comes before any change of its doubt or slowness."""

    info: EndpointEntry
    slowness: float = 1.0  # latency over what the fleet takes for the like
    doubt: dict[int, float] = field(default_factory=lambda: NO_DOUBT)  # by class, or class and plan
    out: int = 0  # attempts that are out at it
    heard_ns: int = -(10**18)  # its last answer, or when a new connection to it was asked for
    members: list[Server] | None = field(default=None, repr=False)  # warm or cold ones, while it is ready
    position: int = 0  # its index there
    namesake: Server | None = field(default=None, repr=False)  # whose place among the named it took

    def within(self, group: DeduplicationScope) -> int:
        """Alike for those backends that drop each other's repeats."""
        return {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: self.info.zone,
            DeduplicationScope.CELL: self.info.cell,
        }[group]

    @property
    def name(self) -> int:
        """The hash of the id that peers use."""
        return scatter(self.info.id) >> 16

    def join(self, members: list[Server]) -> None:
        """Goes to the end of a list, out of the one that it is in."""
        self.leave()
        self.members, self.position = members, len(members)
        members.append(self)

    def leave(self) -> None:
        """The last of its list takes its place there, so that none has to be looked for or moved up."""
        if self.members is not None:
            last = self.members.pop()
            if last is not self:
                self.members[self.position], last.position = last, self.position
            self.members = None


class ReadyServers(Sequence):
    """The ready servers, warm and cold, without a list of their own."""

    def __init__(self, warm: list[Server], cold: list[Server]) -> None:
        self._warm, self._cold = warm, cold

    def __len__(self) -> int:
        return len(self._warm) + len(self._cold)

    def __iter__(self) -> Iterator[Server]:
        yield from self._warm
        yield from self._cold

    def __getitem__(self, at: Any) -> Any:
        return (self._warm + self._cold)[at]


@dataclass(slots=True)
class Leaf:
    """A group of requests: its arrivals, what it earned, its rate of admission."""

    prior: float
    arrived: float = 0.0
    arrivals: float = 0.0
    sent: float = 0.0
    earned: float = 0.0
    rate: float = 1.0

    def age(self, span: float, keep: float, keep_earned: float) -> None:
        self.arrivals = self.arrivals * keep + self.arrived / span * (1 - keep)
        self.arrived, self.sent, self.earned = 0.0, self.sent * keep_earned, self.earned * keep_earned


@dataclass(slots=True)
class Word:
    """What a peer told of a customer last, and the last grant to it."""

    start: int
    total: float
    open: int
    told_ns: int
    mark: int = -1
    granted: float = 0.0
    granted_ns: int = -(10**18)


@dataclass(slots=True)
class Customer:
    key: int
    plan: int
    level: float
    filled_ns: int
    ceiling: float = 0.0
    used_ns: int = 0
    spread: int = 1
    known: bool = False  # its set of gateways is known
    wide: bool = False  # told to a relay, not to all of its gateways
    told: list[int] = field(default_factory=list)  # the peers, or the relay of a wide set
    word_ns: int = -(10**18)  # a relay's last word of it
    word: float = 0.0  # the level that it told
    mark: int = 0  # of the ask that it answered
    mine: float = 0.0  # recent own units, fading
    theirs: float = 0.0  # recent units of the peers, fading
    untold: float = 0.0
    total: float = 0.0  # own units since the start, as told to the peers
    open: int = 0
    peers: dict[int, Word] = field(default_factory=dict)

    def merge(
        self, peer: int, start: int, s: CustomerUsage, now: int, turn: int, flight_ns: int
    ) -> float | None:
        """Units the peer sent since its last word by running totals modulo turn; None without such a word.

        What was granted counts as told. A repeated ask takes its grant back first; a total from before a
        grant, on its way at the same time, brings nothing back.
        """
        base = self.peers.get(peer)
        if base is None or base.start != start:
            self.peers[peer] = Word(start, s.total, s.open, now)
            return None
        repeated = base.granted if s.want > 0 and s.mark == base.mark else 0.0
        gone = (s.total - base.total + repeated + turn / 2) % turn - turn / 2
        if gone < 0 and now - base.granted_ns < flight_ns and (s.want > 0 or s.mark != base.mark):
            gone = 0.0
        base.total, base.open, base.told_ns = (base.total - repeated + gone) % turn, s.open, now
        if repeated:
            base.granted = 0.0
        return gone - repeated

    def fill(self, now: int, rate: float, most: float, memory_s: float) -> None:
        span, self.filled_ns = max(0, now - self.filled_ns) / 1e9, now
        self.level, keep = min(most, self.level + rate * span), math.exp(-span / memory_s)
        self.mine, self.theirs = self.mine * keep, self.theirs * keep

    def fill_ceiling(self, now: int, rate: float, most: float) -> None:
        self.ceiling = min(most, self.ceiling + rate * (now - self.used_ns) / 1e9)
        self.used_ns = now

    def spend(self, units: float, turn: int) -> None:
        self.level, self.untold = self.level - units, self.untold + units
        self.mine, self.total = self.mine + max(0.0, units), (self.total + units) % turn

    def take(self, units: float, least: float) -> None:
        """A peer's units leave the store, which goes no lower than least by it."""
        self.theirs += max(0.0, units)
        self.level = max(self.level - units, min(self.level, least))

    def grant(self, peer: int, s: CustomerUsage, now: int, turn: int) -> None:
        """Counts what the peer will send as told already."""
        word = self.peers[peer]
        word.total, word.open = (word.total + s.want) % turn, word.open + 1
        word.mark, word.granted, word.granted_ns = s.mark, s.want, now
        self.level -= s.want

    def open_at_peers(self, since: int) -> int:
        return sum(p.open for p in self.peers.values() if p.told_ns >= since)


@dataclass(slots=True)
class Live:
    """A request that still owes its final answer."""

    ask: Request
    spec: RequestClass
    plan: CustomerPlan
    came_ns: int
    until_ns: int  # when it can earn nothing any more
    customer: Customer
    draw: float = 0.0  # against its group's rate: made once, so that nobody is asked in vain
    leaf: Leaf | None = None  # none while a relay is asked
    inside: bool = False
    asked: int = -1  # the relay
    asks: int = 0
    tried: list[Server] = field(default_factory=list)
    out: int = 0
    ran: Server | None = None  # backend of the first attempt that may have run
    ran_ns: int = 0
    stream: bool = False
    due_ns: float = 1.0  # what the fleet took for the like at its last attempt


class Memory:
    """All that one gateway remembers, and how it is kept."""

    def __init__(self) -> None:
        self.acts: list[Action] = []
        self.start_ns = self.tick_ns = self.flush_ns = self.cut_ns = self.beat_ns = 0
        self.spent_ns, self.begun = 0, False  # when ceilings were last spent, at most; a request has come
        self.servers: dict[int, Server] = {}
        self.warm: list[Server] = []  # of the ready ones
        self.cold: list[Server] = []  # and those that were not warm when this was last looked at
        self.ready = ReadyServers(self.warm, self.cold)
        self.touched: dict[int, Server] = {}  # those that have a doubt or a slowness other than 1, by id
        self.sort_due = False  # the list has changed since warm and cold ones were told apart
        self.parts: list[float] = []  # of all sends that are due to each of these, summed up
        self.spare = 1.0  # so many times its part each may get at most
        self.seen_rate = 0.0  # units a second that a warm one was seen to work for this gateway, at most
        self.named: dict[int, Server] = {}  # by the hash that peers use
        self.handlers: dict[type, Callable[[int, Any], None] | None] = {}  # found once for each kind of event
        self.evidence: dict[int, tuple[int, float, dict[int, float]]] = {}  # inherited, by server: its start
        self.live: dict[int, Live] = {}
        self.guards: list[tuple[int, int]] = []  # heap of deadlines and requests, the ended ones too
        self.guard_ns = math.inf  # when the next of them is looked at
        self.asked: dict[int, Live] = {}  # by the mark of the ask
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.customers: dict[int, Customer] = {}
        self.dirty: dict[int, Customer] = {}  # to be told with the next message
        self.heard: dict[int, tuple[int, int]] = {}  # peer: its start, when last heard
        self.near: dict[int, bool] = {}  # peers told directly
        self.silent: dict[int, int] = {}  # relay: when it last left asks unanswered
        self.flushing = False
        # figures, of the fleet where peers are asked: lateness of answers, their number, the same of attempts
        # that stay silent, units out and done
        self.late = self.answers = self.silence = self.silences = self.out = self.done_rate = 0.0
        self.brim, self.rose = float("inf"), True  # level at which pressure last began; since its last cut
        self.broken = [0.0, 0.0, 0.0]  # how bad attempts went by their connection: kept, opened, busy
        self.strain = self.done_units = self.level = 0.0
        self.stale = 0.0  # part of the attempts whose kept connection ended beneath them
        self.unit_ns: list[float] = []
        self.usual: list[float] = []  # group: the doubt that a part of the fleet does not exceed
        self.mean_units, self.met, self.good, self.doers = 1.0, 0, 1.0, 1.0
        self.tree: list[list[list[Leaf]]] = []
        self.leaves: list[Leaf] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Hands the event to the method that is named for its kind; unknown kinds are ignored. Changes of
        the list cost one sort, before whatever comes after them."""
        self.acts = []
        kind = type(event)
        if self.sort_due and kind is not EndpointList:
            self.sort_if_due(now)
        if kind not in self.handlers:
            name = "on" + "".join("_" + c.lower() if c.isupper() else c for c in kind.__name__)
            self.handlers[kind] = getattr(self, name, None)
        handler = self.handlers[kind]
        if handler:
            handler(now, event)
        return self.acts

    def customer(self, key: int, plan: int, burst: float, now: int) -> Customer:
        if key not in self.customers:
            self.customers[key] = Customer(key, plan, burst, now)
        return self.customers[key]

    def plant(self, priors: list[list[list[float]]]) -> None:
        self.tree = [[[Leaf(x) for x in row] for row in side] for side in priors]
        self.leaves = [leaf for side in self.tree for row in side for leaf in row]

    def follow_list(self, now: int, event: EndpointList) -> None:
        """Applies a list or a change of it. The work grows with what is told, not with what is known."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            told = {b.id for b in event.entries}
            for left_out in [s for key, s in self.servers.items() if key not in told]:
                self._remove(left_out)
            self.sort_due = True
        for b in event.entries:
            known = self.servers.get(b.id)
            if known is not None and b.started_ns == known.info.started_ns:
                known.info = b
                continue
            if known is not None:  # a new process, no evidence yet
                self._remove(known)
            self._add(Server(b))
        for b in event.entries:  # the last word on each holds
            s = self.servers.get(b.id)
            if s is not None:
                self._place(s)
                self.sort_due = True

    def _add(self, s: Server) -> None:
        """With the evidence that an older process of this gateway left, if it is of the same start."""
        self.servers[s.info.id] = s
        started_ns, slowness, doubt = self.evidence.pop(s.info.id, (-1, 1.0, {}))
        if (
            started_ns >= 0
            and bool(started_ns) == bool(s.info.started_ns)
            and abs(started_ns - s.info.started_ns) < state_transfer.SAME_START_S * 1e9
        ):
            self.touch(s)
            s.slowness = slowness
            s.doubt.update(doubt)

    def sort_if_due(self, now: int) -> None:
        """Nothing is decided on a list that has changed since warm and cold ones were told apart."""
        if self.sort_due:
            self.sort_due = False
            self._sort(now)

    def _sort(self, now: int) -> None:
        """Tells warm and cold ones apart; what follows from it belongs to the decisions."""
        raise NotImplementedError

    def promote(self, warmth: list[float]) -> None:
        """Cold servers that have warmed up go to the warm ones; `warmth` keeps that of the rest, in order."""
        for k in range(len(warmth) - 1, -1, -1):
            if warmth[k] >= 1:
                self.cold[k].join(self.warm)
                warmth[k] = warmth[-1]
                warmth.pop()

    def _place(self, s: Server) -> None:
        """Among the ready ones or not, by its mode. One with a known start is cold until the next sort."""
        if s.info.mode is EndpointState.REMOVED:
            self._remove(s)
        elif s.info.mode is not EndpointState.READY:
            self._retire(s)
        elif s.members is None:
            s.join(self.cold if s.info.started_ns else self.warm)
            s.namesake = self.named.get(s.name)
            self.named[s.name] = s

    def _remove(self, s: Server) -> None:
        self._retire(s)
        del self.servers[s.info.id]
        self.touched.pop(s.info.id, None)

    def _retire(self, s: Server) -> None:
        """It is ready no more."""
        if s.members is None:
            return
        s.leave()
        holder, name = self.named[s.name], s.name
        if holder is s and s.namesake is None:
            del self.named[name]
        elif holder is s:
            self.named[name] = s.namesake
        else:
            while holder.namesake is not s:
                holder = holder.namesake
            holder.namesake = s.namesake
        s.namesake = None

    def touch(self, s: Server) -> Server:
        """Before its doubt or slowness is changed: only those touched are walked at a tick. Nothing is noted
        of a server that is not listed any more."""
        if s.doubt is NO_DOUBT:
            s.doubt = {}
            if self.servers.get(s.info.id) is s:
                self.touched[s.info.id] = s
        return s

    def drop_faded(self, s: Server) -> None:
        """A touched server that is as any other again is touched no more."""
        if not s.doubt and abs(s.slowness - 1) < SLOWNESS_EPSILON:
            s.slowness, s.doubt = 1.0, NO_DOUBT
            self.touched.pop(s.info.id, None)

    def observe(self, s: Server, group: int, bad: float, weight: float) -> None:
        """A sample of how bad attempts at a server go, of a class or of a class and plan."""
        if bad or group in s.doubt:
            doubt = self.touch(s).doubt
            doubt[group] = doubt.get(group, 0.0) * (1 - weight) + weight * bad

    def on_state_inherited(self, now: int, event: StateInherited) -> None:
        state_transfer.take(self, now, event.table)

    def word(self, c: Customer, peer: int, start: int, total: float, open_: int, told_ns: int) -> Word:
        c.peers[peer] = word = Word(start, total, open_, told_ns)
        return word

    def launch(self, live: Live, attempt: Attempt) -> None:
        key = (live.ask.id, len(live.tried))
        self.attempts[key] = attempt
        attempt.server.out += 1
        live.tried.append(attempt.server)
        live.out += 1
        live.customer.open += 1

    def settle(self, request: int, number: int) -> Attempt | None:
        attempt = self.attempts.pop((request, number), None)
        if attempt:
            attempt.server.out -= 1
        live = self.live.get(request)
        if attempt and live:
            live.out -= 1
            live.customer.open -= 1
        return attempt

    @property
    def samples(self) -> float:
        return self.answers + self.silences

    def figures(self) -> list[float]:
        """What an ask and its answer tell of the fleet; the groups' arrivals only where the budget binds."""
        level = 0.0 if self.level == float("inf") else self.level
        arrivals = [x.arrivals for x in self.leaves] if any(x.rate < 1 for x in self.leaves) else []
        return [
            self.late,
            self.answers,
            self.silence,
            self.silences,
            self.out,
            self.done_rate,
            *self.broken[:2],
            level,
            *(u / 1e9 for u in self.unit_ns),
            *arrivals,
        ]

    def sight(self) -> dict[str, float]:
        """What the module believes at present, for the log: units that it aims at for each good server (-1:
        no bound yet), units out, good servers, servers with a doubt of a half or more, customers."""
        doubted = sum(
            s.members is not None and any(bad >= 0.5 for bad in s.doubt.values())
            for s in self.touched.values()
        )
        level = -1.0 if self.level == math.inf else round(self.level, 3)
        return {
            "level": level,
            "out": round(sum(a.units for a in self.attempts.values()), 2),
            "good": round(self.good, 2),
            "ready": len(self.ready),
            "doubted": doubted,
            "strain": round(self.strain, 3),
            "customers": len(self.customers),
            "attempts": len(self.attempts),
        }

    def take_figures(self, figures: list[float]) -> None:
        """In the order of figures(); a level of nought is none."""
        self.late, self.answers, self.silence, self.silences, self.out, self.done_rate = figures[:6]
        self.broken[:2], self.level = figures[6:LEVEL], figures[LEVEL] or self.level
        after = LEVEL + 1 + len(self.unit_ns)
        self.unit_ns = [max(1.0, x * 1e9) for x in figures[LEVEL + 1 : after]]
        for leaf, arrivals in zip(self.leaves, figures[after:], strict=False):
            leaf.arrivals = arrivals

    def forget(self, keys: list[int]) -> None:
        for key in keys:
            del self.customers[key]

    def timer(self, at: int, token: int) -> None:
        self.acts.append(SetTimer(at, token))

    def guard(self, at: int, request: int, token: int) -> None:
        """Guards against a timer for each request: most end long before their deadline, so that one timer for
        the first deadline that may still matter does for all."""
        heapq.heappush(self.guards, (at, request))
        if at < self.guard_ns:
            self.guard_ns = at
            self.timer(at, token)

    def overdue(self, now: int, token: int) -> list[Live]:
        """The requests whose deadline has come; asks for the next timer where the last one is spent."""
        due = []
        while self.guards and (self.guards[0][0] <= now or self.guards[0][1] not in self.live):
            live = self.live.get(heapq.heappop(self.guards)[1])
            if live and not live.stream:
                due.append(live)
        if self.guard_ns <= now:
            self.guard_ns = math.inf
            if self.guards:
                self.guard_ns = self.guards[0][0]
                self.timer(self.guards[0][0], token)
        return due

    def close(self, live: Live, cancel: bool) -> None:
        """The request is over; cancel: so are the attempts that are still out."""
        del self.live[live.ask.id]
        live.customer.open -= live.out
        for number in range(len(live.tried)):
            if cancel and (live.ask.id, number) in self.attempts:
                self.acts.append(CancelAttempt(live.ask.id, number))

    def on_stream_started(self, _: int, event: StreamStarted) -> None:
        if event.request in self.live:
            self.live[event.request].stream = True

    def age(self, span: float, keep: float, keep_earned: float, keep_late: float) -> None:
        self.late, self.answers = self.late * keep_late, self.answers * keep_late
        self.silence, self.silences = self.silence * keep_late, self.silences * keep_late
        for leaf in self.leaves:
            leaf.age(span, keep, keep_earned)
        self.done_rate, self.done_units = self.done_rate * keep + self.done_units / span * (1 - keep), 0.0
        # Those that drain, and what waited at any that went, are done with up to the longest time later: what
        # they do is no work of those that are left.
        self.doers = max(self.good, self.doers * math.exp(-span * 1e9 / self.set.longest_ns))
