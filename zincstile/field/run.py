"""One run of a plan with real processes, by the faults that virtual time plays too.

Everything is waited for by its condition and not by a time that a busy machine may miss: that all
gateways answer PING, that nothing is asked any more, that processes have ended. Times that a rule
allows are wider here by `SLACK_NS`, since this machine runs everything at once; bounds and counts are
exact.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import signal
import socket
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..links import Links, Trouble, between
from ..rules.quotas import Quotas
from ..rules.referee import Referee
from ..standin.clients import Front, Rude, Want
from ..standin.counter import Counter
from ..standin.discovery import Agent, Entry, Roster
from ..standin.guidebox import GuideBox, Model, Rack
from ..worlds import faults, traffic
from ..worlds.plan import Plan
from . import places
from .datagrams import Datagrams
from .gate import Gate, Ground
from .programs import Program, told
from .result import BreachRow, FieldResult, GatewayRow, PlanRow, latencies
from .sight import Ears, Series, Tap

MS, SECOND = 1_000_000, 1_000_000_000
SLACK_NS = 1500 * MS  # of what has to be done in time, on a machine that does all at once
READY_S, SETTLE_S, END_S = 60.0, 0.8, 20.0  # until all are ready; beats pass first; until all is answered
GONE_S = 12.0  # a process that was told to end may take so long
LOOK_S, SAMPLE_S = 0.02, 0.5
RACKS = 3
FACTOR = 1.3  # cores' speed differs by so much at most


class NotReadyError(RuntimeError):
    """The gateways did not start; the text has what their logs say."""


@dataclass(slots=True, eq=False)
class Seat:
    """A gateway's place, and its processes."""

    number: int
    name: str
    agent: Agent
    ground: Ground
    listen: str
    folder: Path
    discovery: str = ""
    skew_ns: int = 0
    starts: int = 0
    moves: int = 0
    counter: int = 0
    stopping: bool = False
    program: Program | None = None
    older: Program | None = None  # serves beside the newer one
    socket: socket.socket | None = None
    counters: dict[str, float] = field(default_factory=dict)  # of the processes that are no more
    latest: dict[str, float] = field(default_factory=dict)  # of the one that runs
    believes: dict[str, float] = field(default_factory=dict)
    memory_kb: int = 0
    ready_s: float = 0.0

    @property
    def zone(self) -> int:
        return self.number % len(traffic.ZONES)


@dataclass(slots=True, eq=False)
class Place:
    """A guide box."""

    entry: Entry
    box: GuideBox
    ground: Ground
    zone: int
    model: Model
    number: int
    alive: bool = True


class _BoxGate(Gate):
    """A connection to a guide box: what comes is also read by a tap."""

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.tap = Tap(self.ground.ears, self.gateway, self.ground.place)

    def data_received(self, data: bytes) -> None:
        self.tap.feed(data)
        super().data_received(data)


class Run:
    """`stage.Stage` with real processes. `features`: files that every gateway is told of, by name."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        name: str = "",
        features: dict[str, str] | None = None,
        stated: dict[str, tuple[float, float, float]] | None = None,
        opening: dict[str, float] | None = None,
    ) -> None:
        self.plan, self.folder, self.name = plan, folder, name or f"seed {plan.seed}"
        self.features = features or {}
        self.rng = random.Random(f"field {plan.seed}")
        self.links = Links(random.Random(f"links {plan.seed}"))
        self.base = Trouble(loss=plan.udp_loss, twice=plan.udp_twice)
        figures = traffic.figures()
        figures = replace(
            figures,
            answer_grace_ns=figures.answer_grace_ns + SLACK_NS,
            drain_ns=figures.drain_ns + SLACK_NS,
            told_at_most_ns=figures.told_at_most_ns + SLACK_NS,
            cold_slack_ns=2 * figures.cold_slack_ns,
        )
        self.stated, self.opening = stated or traffic.quotas(), opening
        self.referee = Referee(figures, lambda: (0, time.monotonic_ns()))
        self.series = Series()
        self.began_s = time.monotonic()
        self.ears = Ears(self.referee, self.series, lambda: self.began_s)
        self.roster = Roster(self.ears)
        self.racks = [Rack(traffic.KEYED_MS / 1000) for _ in range(RACKS)]
        self.places: dict[str, Place] = {}
        self.boxes: list[str] = []
        self.seats: list[Seat] = []
        self.shares: dict[tuple[int, str], float] = {}
        self.weights = random.Random(f"weights {plan.seed}")
        self.drawn_to: list[dict[str, None]] = []
        self.counters: dict[int, tuple[Counter, Ground]] = {}
        self.events: list[tuple[float, str]] = []
        self.names = [f"g{k}" for k in range(plan.gateways)]
        self._boxes = 0
        self._tasks: dict[asyncio.Task, None] = {}
        self._laid: dict[Any, Any] = {}  # what takes away the troubles that faults laid
        self._upgrades = any(f.kind == "upgrade" for f in plan.faults)
        self._first_s = 0.0

    # ---- the whole

    async def play(self) -> FieldResult:
        """NotReadyError where the gateways don't start; OSError where the machine gives no sockets."""
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self._caught)
        with places.block() as self.block:
            try:
                await self._build()
                await self._ready()
                await self._load()
                await self._finish()
            finally:
                self._end()
        return self._result()

    def _caught(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A fault of the field itself: a run that has one proves nothing."""
        err = context.get("exception")
        self.referee.breach("progress", f"the field: {type(err).__name__}: {err} ({context.get('message')})")

    async def _build(self, start: bool = True) -> None:
        plan = self.plan
        self.datagrams = Datagrams(self.loop, self.links, self.block, self.names)
        if self.base.loss or self.base.twice:
            self.links.lay(between(self.names, self.names), self.base)
        for k in range(plan.boxes):
            place = self.box(k % len(traffic.ZONES), cold=False)
            await self._until(lambda place=place: place.ground.port, READY_S)
            self.boxes.append(place.entry.name)
            self.roster.put(place.entry)
        for number in range(2 if plan.keeper else 0):
            self.start_counter(number)
        for k, name in enumerate(self.names):
            ground = Ground(self.loop, self.links, "discovery", places.DISCOVERY, 0, self.names)
            agent = Agent(ground, self.roster, name, self.ears)  # type: ignore[arg-type]
            agent.seen = lambda entry, k=k: self._as_seen(entry, k)
            await agent.start("")
            folder = self.folder / name
            (folder / "tmp").mkdir(parents=True, exist_ok=True)
            seat = Seat(
                k,
                name,
                agent,
                ground,
                f"{places.gateway(self.block, k)}:{places.CLIENTS_PORT}",
                folder,
                ground.address(k),
            )
            if self._upgrades:
                seat.socket = self._listening(seat)
            self.seats.append(seat)
        self.front = Front(
            self.loop,
            random.Random(f"front {plan.seed}"),
            self.ears,
            {s.name: (places.gateway(self.block, s.number), places.CLIENTS_PORT) for s in self.seats},
            dead_s=(0.3, 1.5),
        )
        self.front.weigh = self._weigh
        await self._until(lambda: all(c.port for _, c in self.counters.values()), READY_S)
        self._first_s = time.monotonic()
        self.referee.quotas = Quotas(self.stated, 0, self.opening, time.monotonic_ns())
        for seat in self.seats if start else ():
            self.start_gateway(seat)

    def _listening(self, seat: Seat) -> socket.socket:
        """The clients' socket, held here for all versions of a gateway."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((places.gateway(self.block, seat.number), places.CLIENTS_PORT))
        sock.listen(1024)
        return sock

    async def _until(self, condition: Any, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(LOOK_S)
        return True

    async def _ready(self) -> None:
        self.front.watch()
        await self._until(
            lambda: all(self.front.up.values()) or not all(s.program.alive for s in self.seats), READY_S
        )
        down = [n for n, up in self.front.up.items() if not up]
        if down:
            tail = [f"{n}: {(self.folder / n / 'log').read_text()[-400:].strip()}" for n in down[:3]]
            raise NotReadyError(
                f"{len(down)} of {len(self.names)} gateways did not start; " + " | ".join(tail)
            )
        for seat in self.seats:
            seat.ready_s = self.front.ready_s[seat.name] - self._first_s
        await asyncio.sleep(SETTLE_S)  # the first beats pass

    async def _load(self) -> None:
        plan = self.plan
        self.began_s = start = self.loop.time() + 0.1
        wants = traffic.wants(plan, start)
        for want in wants:
            self.loop.call_at(want.at_s, self.front.want, want)
        for fault in plan.faults:
            self.loop.call_at(start + fault.at_ms / 1000, self._fault, fault)
        last = max([plan.last_ms, *(f.at_ms + f.for_ms for f in plan.faults)]) / 1000
        sampled = 0.0
        until = start + last + END_S
        while self.loop.time() < until:
            await asyncio.sleep(LOOK_S)
            now = self.loop.time()
            self.referee.watch(time.monotonic_ns())
            self._look()
            if now - sampled > SAMPLE_S:
                sampled = now
                self._sample()
            if (
                now > start + last + 0.2
                and not self.front.open
                and not self.front.coming
                and all(s.older is None for s in self.seats)
            ):
                break
        self.lasted_s = self.loop.time() - start

    def _fault(self, fault: Any) -> None:
        text = f"{fault.kind} {' '.join(map(str, fault.who))}".strip()
        self.events.append((round(self.loop.time() - self.began_s, 3), f"{text} for {fault.for_ms} ms"))
        faults.begin(self, fault)  # type: ignore[arg-type]

    def _look(self) -> None:
        """Processes that ended without having been told to."""
        for seat in self.seats:
            program = seat.program
            if program is not None and not program.alive and not program.asked_to_end:
                program.asked_to_end = True
                code = program.process.returncode
                self.referee.fault(seat.name, f"the process ended by itself, exit {code}")
                self.referee.ended(seat.name)

    def _sample(self) -> None:
        for seat in self.seats:
            self._read_log(seat)
            if seat.program is not None and seat.program.up and seat.program.alive:
                seat.program.signal(signal.SIGUSR1)
                seat.memory_kb = max(seat.memory_kb, seat.program.memory_kb())

    def _read_log(self, seat: Seat) -> None:
        for program in (seat.older, seat.program):
            for line in program.news() if program is not None else ():
                program.up = program.up or " start listening on " in line
                if " fault " in line:
                    self.referee.fault(seat.name, line.split(" fault ", 1)[1])
                found = told(line, "counters")
                if found is not None and program is seat.program:
                    seat.latest = found
                    self._figures(seat, found)
                believed = told(line, "state")
                if believed is not None and program is seat.program:
                    seat.believes = believed
                    self._figures(seat, believed)

    def _figures(self, seat: Seat, found: dict[str, float]) -> None:
        key = int(self.loop.time() - self.began_s), seat.name
        self.series.figures.setdefault(key, {}).update(found)

    async def _finish(self) -> None:
        """All is answered: every process is told to end, and has to, with nothing left open."""
        left = self.front.open
        for seat in self.seats:
            if seat.program is not None:
                seat.program.signal(signal.SIGCONT)
                seat.program.terminate()
        await self._until(lambda: not any(s.program and s.program.alive for s in self.seats), GONE_S)
        for seat in self.seats:
            self._read_log(seat)
            program = seat.program
            if program is None:
                continue
            if program.alive:
                self.referee.breach("resources", f"{seat.name} did not end within {GONE_S:g} s of SIGTERM")
            elif program.process.returncode and not self._was_killed(program):
                self.referee.fault(seat.name, f"exit {program.process.returncode}")
            if seat.latest.get("faults"):
                self.referee.fault(seat.name, f"{seat.latest['faults']:g} faults counted")
        if left:
            self.referee.breach("answer", f"{left} requests were never answered")

    def _was_killed(self, program: Program) -> bool:
        return program.process.returncode == -signal.SIGKILL

    def _end(self) -> None:
        """Whatever came: nothing that was started here is left."""
        for seat in self.seats:
            for program in (seat.older, seat.program):
                if program is not None:
                    program.kill()
            for server in seat.agent.servers:
                server.close()
            seat.ground.close()
            if seat.socket is not None:
                seat.socket.close()
        for place in self.places.values():
            place.ground.close()
        for _, ground in self.counters.values():
            ground.close()
        if hasattr(self, "datagrams"):
            self.datagrams.close()
        if hasattr(self, "front"):
            for clients in self.front.lines.values():
                for client in list(clients):
                    client.transport.abort()
            for task in list(self.front._tasks):
                task.cancel()
        for task in list(self._tasks):
            task.cancel()

    def _do(self, coro: Any) -> None:
        task = self.loop.create_task(coro)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    # ---- guide boxes and their list

    def _as_seen(self, entry: Entry, gateway: int) -> Entry:
        """With the address by which that gateway finds it, on its clock."""
        place = self.places.get(entry.name)
        seer = places.ALL if self.plan.one_address else gateway
        return entry if place is None else replace(entry, address=place.ground.address(seer))

    def box(self, zone: int, cold: bool, cell: int | None = None, at: Place | None = None) -> Place:
        self._boxes += 1
        number, name = self._boxes, f"s-{self._boxes:02x}"
        rng = random.Random(f"box {self.plan.seed} {number}")
        cell = number % RACKS if cell is None else cell
        model = Model(
            cores=1 + (number % 3 == 0),
            speed=rng.uniform(1 / FACTOR, FACTOR),
            places=rng.randint(8, 24),
            work_ns={n: ms * MS for n, ms in traffic.WORK_MS.items()},
            cold_share=0.25,
            warm_s=traffic.WARM_MS / 1000,
            drops_left=self.plan.drops_left,
        )
        return self._place(name, zone, cell, model, cold, at)

    def _place(self, name: str, zone: int, cell: int, model: Model, cold: bool, at: Place | None) -> Place:
        number = at.number if at else (self._boxes - 1) % places.MOST
        ground = Ground(self.loop, self.links, name, places.BOX, number, self.names)
        ground.gate, ground.ears, ground.stays = _BoxGate, self.ears, True
        if at is not None:
            ground.port = at.ground.port
        rng = random.Random(f"{name} {self.plan.seed} {self._boxes}")
        box = GuideBox(ground, name, model, self.racks[cell], rng, self.ears, cold)  # type: ignore[arg-type]
        box.gateway_of = lambda gate: gate.gateway  # type: ignore[attr-defined]
        self._do(box.start(""))
        since = int(time.time() * 1000) if cold else 0
        entry = Entry(name, "", traffic.ZONES[zone], "std", cell, "Ready", 1.0, since)
        self.referee.boxes[name] = zone, cell
        self.referee.cold.began(name, since, box.capacity, lambda: box.warmth() >= 1)
        self.places[name] = Place(entry, box, ground, zone, model, number)
        return self.places[name]

    def box_again(self, old: Place) -> Place:
        zone, cell = self.referee.boxes[old.entry.name]
        return self._place(old.entry.name, zone, cell, replace(old.model, hangs=False), True, old)

    def box_runs(self, place: Place) -> bool:
        return place.alive

    def kill_box(self, place: Place) -> None:
        place.alive = False
        place.ground.close()

    def accept_box(self, place: Place) -> None:
        if place.alive and not place.ground.listens:
            self._do(place.box.start(""))

    def reset_box(self, place: Place) -> None:
        place.ground.break_all()

    def hush_box(self, place: Place, silent: bool) -> None:
        self._troubled(("hush", place), between(self.names, [place.entry.name]), Trouble(cut=True), silent)

    def lag_box(self, place: Place, ms: float) -> None:
        self._troubled(
            ("lag", place), between(self.names, [place.entry.name]), Trouble(delay_s=ms / 1000), ms > 0
        )

    def part(self, seat: Seat, place: Place, apart: bool) -> None:
        self._troubled((seat, place), between([seat.name], [place.entry.name]), Trouble(cut=True), apart)

    def _troubled(self, key: Any, pairs: Any, trouble: Trouble, on: bool) -> None:
        """Laid on, or taken away again."""
        if key in self._laid:
            self._laid.pop(key)()
        if on:
            self._laid[key] = self.links.lay(pairs, trouble)

    # ---- gateways

    def _file(self, seat: Seat) -> Path:
        """A gateway's configuration file, as it stands now."""
        plan, number = self.plan, seat.number
        seed = random.Random(f"{seat.name} {plan.seed} {seat.starts}").getrandbits(64)
        table = traffic.configuration(
            plan, number, seat.listen, seat.discovery, self.datagrams.peers(number), seed, self._known(seat)
        )
        if self.features:
            table["features"] = self.features
        if self.counters:
            table["counter"] = self.counters[seat.counter][1].address(number)
        if self._upgrades:
            table["control"] = f"{places.gateway(self.block, number)}:{places.CONTROL_PORT + seat.starts}"
        path = seat.folder / "config.json"
        path.write_text(json.dumps(table), encoding="utf-8")
        return path

    def _known(self, seat: Seat) -> dict[str, Any]:
        """The list that a gateway starts with."""
        return seat.agent.whole() if self.plan.known else {}

    def start_gateway(self, seat: Seat) -> None:
        """As the platform does: from nothing but its file and the last list."""
        self._fold(seat)
        seat.starts += 1
        seat.stopping = False
        self.referee.started(seat.name)
        seat.program = self._program(seat)

    def _program(self, seat: Seat) -> Program:
        env = {"RELAY_CONFIG": str(self._file(seat)), "TMPDIR": str(seat.folder / "tmp")}
        words = ["-m", "zincstile"]
        if seat.skew_ns:
            words = ["-m", "zincstile.field.skewed", str(seat.skew_ns / MS)]
        if seat.socket is not None:
            env["RELAY_SOCKET_FD"] = str(seat.socket.fileno())
        return Program(
            words,
            env,
            seat.folder / "log",
            self.folder,
            seat.socket.fileno() if seat.socket is not None else None,
        )

    def _fold(self, seat: Seat) -> None:
        """What the process that ends has counted is kept."""
        if seat.program is not None:
            self._read_log(seat)
            for name, n in seat.latest.items():
                seat.counters[name] = seat.counters.get(name, 0) + n
            seat.latest = {}

    def running(self, seat: Seat) -> bool:
        return seat.program is not None and seat.program.alive

    def kill(self, seat: Seat) -> None:
        if self.running(seat):
            self.referee.ended(seat.name)
            seat.program.kill()

    def terminate(self, seat: Seat) -> None:
        if self.running(seat) and not seat.stopping:
            seat.stopping = True
            self.referee.event(f"{seat.name} gets SIGTERM")
            seat.program.terminate()

    def pause(self, seat: Seat, ms: float) -> None:
        self.referee.paused(seat.name, int(ms * MS))
        seat.program.signal(signal.SIGSTOP)
        self.after(ms, seat.program.signal, signal.SIGCONT)

    def reload(self, seat: Seat) -> None:
        self._file(seat)
        seat.program.signal(signal.SIGHUP)

    def move_discovery(self, seat: Seat) -> None:
        self._do(self._move(seat))

    async def _move(self, seat: Seat) -> None:
        await seat.agent.start("")
        seat.discovery = seat.ground.address(seat.number)

    def upgrade(self, seat: Seat) -> None:
        if self.running(seat) and seat.older is None and not seat.stopping:
            self._do(self._upgrade(seat))

    async def _upgrade(self, seat: Seat) -> None:
        """The next version starts beside this one; once it is ready, this one gets SIGTERM."""
        seat.starts += 1
        seat.older, seat.program = seat.program, self._program(seat)
        newer, older = seat.program, seat.older
        text = b" ready with "
        await self._until(lambda: newer.log.read_bytes().count(text) >= seat.starts or not newer.alive, 10.0)
        older.terminate()
        await self._until(lambda: not older.alive, GONE_S)
        older.kill()
        self._read_log(seat)
        seat.older = None

    def rude(self, seat: Seat, client: Rude) -> None:
        self._do(self._rude(seat, client))

    async def _rude(self, seat: Seat, client: Rude) -> None:
        host, port = seat.listen.split(":")
        with contextlib.suppress(OSError):
            await self.loop.create_connection(lambda: client, host, int(port))

    # ---- the count keeper

    def counter(self, number: int) -> Counter:
        return self.counters[number][0]

    def start_counter(self, number: int) -> None:
        """One that knows nothing yet, at the address of the one before it."""
        ground = Ground(self.loop, self.links, "keeper", places.KEEPER, number, self.names)
        ground.stays = True
        if number in self.counters:
            ground.port = self.counters[number][1].port
        counter = Counter(ground)  # type: ignore[arg-type]
        counter.open = True
        self.counters[number] = counter, ground
        self._do(counter.start(""))

    def kill_counter(self, number: int) -> None:
        self.counters[number][1].close()

    def hush_counter(self, silent: bool) -> None:
        self._troubled("keeper", between(self.names, ["keeper"]), Trouble(cut=True), silent)

    # ---- the rest of a stage

    def note(self, what: str, where: str) -> None:
        """Nothing is recorded step by step: real processes have no steps that are ours."""

    def after(self, ms: float, then: Any, *args: object) -> None:
        self.loop.call_later(ms / 1000, then, *args)

    def _weigh(self, want: Want, names: list[str]) -> list[float]:
        return traffic.weigh(self, want, names)  # type: ignore[arg-type]

    # ---- what came of it

    def _result(self) -> FieldResult:
        referee, quotas = self.referee, self.referee.quotas
        rows = []
        for seat in self.seats:
            counters = {
                k: seat.counters.get(k, 0) + seat.latest.get(k, 0) for k in {*seat.counters, *seat.latest}
            }
            rows.append(
                GatewayRow(
                    seat.name,
                    traffic.ZONES[seat.zone],
                    seat.starts,
                    self.datagrams.sent[seat.number],
                    self.datagrams.bytes[seat.number],
                    counters,
                    seat.memory_kb,
                )
            )
        tally: dict[str, int] = {}
        for (_, kind), n in self.front.tally.items():
            tally[kind] = tally.get(kind, 0) + n
        plans = [
            PlanRow(
                plan,
                round(worst, 3),
                0.0 if bound == math.inf else round(bound, 3),
                round(sent, 2),
                round(best, 2),
            )
            for plan, (worst, bound, sent, best) in sorted(quotas.by_plan().items())
        ]
        breaches = [
            BreachRow(b.rule, round(b.at_ns / 1e9 - self.began_s, 3), b.request, b.text, b.history)
            for b in referee.breaches
        ]
        return FieldResult(
            self.name,
            self.plan.seed,
            self.plan.gateways,
            self.plan.boxes,
            [f"{f.kind} at {f.at_ms} for {f.for_ms}" for f in self.plan.faults],
            round(self.lasted_s, 2),
            not breaches,
            referee.counts["asked"],
            referee.counts["attempts"],
            tally,
            plans,
            {
                "cold": round(referee.cold.nearest, 4),
                "ceiling": round(referee.ceilings.nearest, 4),
                "quota": round(quotas.nearest, 4),
            },
            rows,
            breaches,
            latencies(self.front.waits_s),
            dict(self.links.counts),
            self.series.rows(self.names),
            self.events,
            {s.name: round(s.ready_s, 3) for s in self.seats},
        )


def play(plan: Plan, folder: Path, **told_besides: Any) -> FieldResult:
    """One run, from its start to its end."""
    if sys.platform != "linux":
        raise places.PlaceError("field runs need Linux's loopback interface")
    return asyncio.run(Run(plan, folder, **told_besides).play())
