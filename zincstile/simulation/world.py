"""One world: gateways, stand-ins and faults on one virtual network, run step by step under the checkers.

The gateways are the program's own: `net.gateway.Gateway` with its decision module, started as `python -m
zincstile` starts it, each in a process with a machine of its own. `Run.play` ends at the first broken
rule, or when all is answered and nothing may be left over.
"""

from __future__ import annotations

import gc
import random
import signal
from dataclasses import dataclass, field, replace
from typing import Any

from ..checkers.checker import Checker
from ..checkers.history import Violation
from ..checkers.quotas import Quotas
from ..checkers.rules import RULE_NAMES, Rule
from ..cold_start.settings import ColdStartSettings
from ..emulators import codec
from ..emulators.backend import BackendEmulator, BackendModel, Rack
from ..emulators.client_connection import ClientConnection
from ..emulators.client_requests import PlannedRequest, Request
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import DiscoveryAgent, EndpointEntry, EndpointList
from ..emulators.list_service import ListService, ListServiceBehaviour
from ..emulators.misbehaving_client import MisbehavingClient
from ..emulators.quota_service import QuotaService
from ..leases.settings import LeaseSettings
from ..net import config
from ..net.gateway import Gateway
from ..quota_service.settings import QuotaServiceSettings
from ..subsetting.settings import SubsetSettings
from ..virtual.clock import MS_NS, SECOND_NS, Scheduler, StuckError
from ..virtual.host import VirtualHost
from ..virtual.network import Network, NetworkSettings
from ..virtual.network_faults import NetworkFaults
from ..virtual.process import Process
from ..virtual.tcp import TcpTransport
from ..zone_failover.settings import ZoneFailoverSettings
from . import faults, shared, traffic
from .plan import Plan

START_NS = 1000 * SECOND_NS  # of virtual time
UNIX_NS = 1_800_000_000 * SECOND_NS - START_NS  # Unix time less virtual time
LEAD_NS = 700 * MS_NS  # from the start until the first request
RACKS = 3
# After the last request or fault, how long it goes on at least and at most, until all is answered and given
# back; and how often that is looked at.
CALM_NS = 1000 * MS_NS
MOST_CALM_NS = 6500 * MS_NS
LOOK_NS = 250 * MS_NS
LATE_NS = 400 * MS_NS  # from a decision until its attempt has reached a box, at most
BEAT_NS = 600 * MS_NS  # the module looks after itself at least so often: timers that make timers
FACTOR = 1.3  # cores' speed differs by so much at most


@dataclass(slots=True)
class Result:
    """What came of one run."""

    seed: int
    steps: int
    seconds: float  # of virtual time
    requests: int
    attempts: int
    faults: int
    digest: str
    breach: Violation | None
    tally: dict[str, int] = field(default_factory=dict)
    nearest: dict[str, float] = field(default_factory=dict)  # to the rules that have a measure: 1 is at it

    def line(self) -> str:
        """The last line that the command prints."""
        if self.breach is not None:
            return f"seed {self.seed} {self.breach.line()}"
        return f"seed {self.seed} ok steps={self.steps} requests={self.requests} digest={self.digest}"


@dataclass(slots=True)
class Seat:
    """A gateway's place in the tier: its machine stays while processes come and go."""

    number: int
    name: str
    host: str
    agent: DiscoveryAgent
    discovery: tuple[str, int]
    skew_ns: int = 0
    starts: int = 0
    process: Process | None = None
    gateway: Gateway | None = None
    machine: VirtualHost | None = None
    moves: int = 0
    counter: int = 0
    stopping: bool = False


@dataclass(slots=True)
class Place:
    """A guide box's process, and its line in the list."""

    entry: EndpointEntry
    process: Process
    box: BackendEmulator
    host: str
    port: int
    zone: int
    model: BackendModel


class Run:
    """A world from its plan."""

    def __init__(self, plan: Plan, keep_trace: bool = False, rules: tuple[str, ...] = RULE_NAMES) -> None:
        self.plan = plan
        self.scheduler = Scheduler(START_NS)
        self.rng = random.Random(f"world {plan.seed}")  # of faults and stand-ins, in the order of events
        ways = NetworkSettings(
            window_bytes=plan.window_bytes,
            max_read_bytes=plan.read_bytes,
            split_ratio=plan.split,
            datagram_loss_ratio=plan.udp_loss,
            datagram_duplicate_ratio=plan.udp_twice,
        )
        self.network = Network(self.scheduler, random.Random(f"network {plan.seed}"), ways)
        self.network.on_connected = self._connected
        self.links = NetworkFaults(random.Random(f"links {plan.seed}"))
        self.network.faults = self.links
        if keep_trace:
            self.network.trace = []
        self.quota_service = (
            QuotaServiceSettings(clock_skew_ns=1, max_overshoot_ratio=0.08) if plan.keeper else None
        )
        self.lease_settings = LeaseSettings() if plan.share else None
        self.start = ColdStartSettings(peers=True) if plan.start else None
        self.place_settings = ZoneFailoverSettings() if plan.place else None
        self.subset = SubsetSettings(min_endpoints=2, min_gateways=2) if plan.subset else None
        self.manners = ListServiceBehaviour(plan.lists_per_s or 1e6)
        quotas = None
        if self.quota_service:
            quotas = Quotas(traffic.stated_bounds(plan, self.quota_service), LATE_NS)
        if self.lease_settings:
            stated, opening = shared.stated(plan, self.lease_settings)
            quotas = Quotas(stated, 0, opening, START_NS)
        self.checker = Checker(
            traffic.figures(), lambda: (self.scheduler.steps, self.scheduler.now_ns), rules, quotas
        )
        self.roster = EndpointList(self.checker)
        self.racks = [Rack(traffic.KEYED_MS / 1000) for _ in range(RACKS)]
        self.places: dict[str, Place] = {}  # by the box's name
        self.boxes: list[str] = []  # names, in the plan's order; a deploy puts the new one in its place
        self.hosts: dict[str, str] = {}
        self.seats: list[Seat] = []
        self.logs: list[str] = []
        self.counters: dict[int, tuple[Process, QuotaService]] = {}
        self.began_ns = START_NS + LEAD_NS
        self.service: ListService | None = None
        self.drawn_to: list[dict[str, None]] = []
        self._boxes = 0

    # ---- building

    def _build(self) -> None:
        plan = self.plan
        for k in range(plan.boxes):
            place = self.box(k % len(traffic.ZONES), cold=False)
            self.boxes.append(place.entry.name)
            self.roster.put(place.entry)
        self.service = service = ListService(Process(self.network, "lists", "10.3.0.1", 0).loop, self.manners)
        for k in range(plan.gateways):
            host = f"10.0.0.{k + 1}"
            process = Process(self.network, f"agent{k}", host, k % len(traffic.ZONES))
            agent = DiscoveryAgent(process.loop, self.roster, f"g{k}", self.checker)
            if plan.asked:
                agent.on_request = service.receive_call
            self.do(process, agent.start(host, 8500))
            self.seats.append(Seat(k, f"g{k}", host, agent, (host, 8500)))
        if plan.keeper:
            for number in range(2):  # the second is there for a split
                self.start_counter(number)
        for seat in self.seats:
            self.start_gateway(seat)
        self.clients = Process(self.network, "clients", "10.9.0.1", 0)
        self.front = ClientLoadBalancer(
            self.clients.loop,
            random.Random(f"front {plan.seed}"),
            self.checker,
            {s.name: (s.host, 6379) for s in self.seats},
            failure_detection_s=(0.3, 1.5),
        )
        self.front.was_read = _was_read
        weights = random.Random(f"weights {plan.seed}")
        self.shares: dict[tuple[int, str], float] = {}
        self.weights = weights
        self.front.weigh_gateways = self._weigh
        self.clients.loop.call_soon(self.front.watch_gateways)
        start = self.began_ns / 1e9
        wants = traffic.wants(plan, start)
        if plan.crossing and wants:
            self.network.on_end = Crossings(plan, self.clients, self.front, wants).ended
        for want in wants:
            self.clients.loop.call_at(want.at_s, self.front.send, want)
        for fault in plan.faults:
            at = self.began_ns + fault.at_ms * MS_NS
            self.scheduler.call_at(at, faults.begin, self, fault)

    def do(self, process: Process, coro: Any) -> None:
        """Runs a coroutine of a stand-in in its process."""
        process.loop.create_task(coro)

    def box(self, zone: int, cold: bool, cell: int | None = None, at: Place | None = None) -> Place:
        """A new guide box, listening at once. Who stands at an address stands in its rack."""
        self._boxes += 1
        number, name = self._boxes, f"s-{self._boxes:02x}"
        host, port = (at.host, at.port) if at else (f"10.1.{number // 200}.{number % 200 + 1}", 6379)
        rng = random.Random(f"box {self.plan.seed} {number}")
        cell = number % RACKS if cell is None else cell
        model = BackendModel(
            cores=1 + (number % 3 == 0),
            speed=rng.uniform(1 / FACTOR, FACTOR),
            queue_capacity=rng.randint(8, 24),
            work_ns={n: ms * MS_NS for n, ms in traffic.WORK_MS.items()},
            cold_share=0.25,
            warm_up_s=traffic.WARM_MS / 1000,
            drops_on_disconnect=self.plan.drops_left,
        )
        return self.place(name, host, port, zone, cell, model, cold)

    def place(
        self, name: str, host: str, port: int, zone: int, cell: int, model: BackendModel, cold: bool
    ) -> Place:
        process = Process(self.network, name, host, zone)
        box = BackendEmulator(
            process.loop,
            name,
            model,
            self.racks[cell],
            random.Random(f"{name} {self.plan.seed} " f"{self.scheduler.now_ns}"),
            self.checker,
            cold=cold,
        )
        box.identify_gateway = _other
        self.do(process, box.start(host, port))
        since = (self.scheduler.now_ns + UNIX_NS) // MS_NS if cold else 0
        entry = EndpointEntry(name, f"{host}:{port}", traffic.ZONES[zone], "std", cell, "Ready", 1.0, since)
        self.checker.add_backend(name, zone, cell)
        self.checker.cold.backend_started(name, since, box.capacity, lambda: box.warmth() >= 1)
        self.places[name] = Place(entry, process, box, host, port, zone, model)
        return self.places[name]

    def _weigh(self, want: PlannedRequest, names: list[str]) -> list[float]:
        return traffic.weigh(self, want, names)

    def start_counter(self, number: int) -> None:
        """A count keeper that knows nothing yet."""
        process = Process(self.network, f"counter{number}", f"10.2.0.{number + 1}", 0)
        counter = QuotaService(process.loop)
        counter.open = True
        self.do(process, counter.start(process.host, 6400))
        self.counters[number] = process, counter

    # ---- gateways

    def config(self, seat: Seat) -> config.Config:
        """What the gateway reads of its file, with the features' settings put in as their files would be."""
        found = config.read(self.table(seat), {})
        found.leases, found.start, found.place = self.lease_settings, self.start, self.place_settings
        found.subset = self.subset
        if self.quota_service is not None:
            found.quota_service = self.quota_service
            found.quota_service_address = (f"10.2.0.{seat.counter + 1}", 6400)
        return found

    def table(self, seat: Seat) -> dict[str, Any]:
        """The gateway's configuration file, as it stands now."""
        seed = random.Random(f"{seat.name} {self.plan.seed} {seat.starts}").getrandbits(64)
        return traffic.configuration(
            self.plan,
            seat.number,
            f"{seat.host}:6379",
            "{}:{}".format(*seat.discovery),
            [f"{s.host}:7946" for s in self.seats],
            seed,
            seat.agent.snapshot() if self.plan.known else {},
        )

    def start_gateway(self, seat: Seat) -> None:
        """As the platform does: from nothing but its configuration and the last list."""
        seat.starts += 1
        seat.stopping = False
        process = Process(
            self.network,
            seat.name,
            seat.host,
            seat.number % len(traffic.ZONES),
            max_descriptors=self.plan.sockets,
            quantum_ns=self.plan.quantum_us * 1000,
        )
        machine = VirtualHost(process, lambda: self.config(seat), UNIX_NS + seat.skew_ns)
        machine.log = lambda line: self._log(seat, line)
        self.checker.gateway_started(seat.name)
        self.network.record("start", seat.name)
        gateway = Gateway(self.config(seat), process.loop, machine)
        gateway.dispatcher.guard.observer = lambda which, text: self.checker.report_invariant(
            seat.name, f"{which.value} {text}"
        )
        seat.process, seat.gateway, seat.machine = process, gateway, machine
        process.loop.create_task(gateway.lifecycle.run()).add_done_callback(
            lambda task: self._ended(seat, process)
        )

    def _log(self, seat: Seat, line: str) -> None:
        self.logs.append(line)
        if " fault " in line:
            self.checker.report_fault(seat.name, line.split(" fault ", 1)[1].strip())

    def _ended(self, seat: Seat, process: Process) -> None:
        """Its own end after SIGTERM: what it took and did not answer is lost, so it is not taken for dead."""
        if process.alive:
            self.checker.record_event(f"{seat.name} ended by itself")
            self.network.record("ended", seat.name)
            self._check_process(seat)
            process.kill()

    # ---- what faults do (`stage.Stage`)

    def note(self, what: str, where: str) -> None:
        self.network.record(what, where)

    def after(self, ms: float, then: Any, *args: object) -> None:
        self.scheduler.call_at(self.scheduler.now_ns + int(ms * MS_NS), then, *args)

    def running(self, seat: Seat) -> bool:
        return seat.process.alive

    def pause(self, seat: Seat, ms: float) -> None:
        seat.process.pause(int(ms * MS_NS))
        self.checker.gateway_paused(seat.name, int(ms * MS_NS))

    def reload(self, seat: Seat) -> None:
        seat.process.signal(signal.SIGHUP)

    def move_discovery(self, seat: Seat) -> None:
        seat.discovery = seat.host, 8500 + seat.moves
        seat.agent.loop.create_task(seat.agent.start(*seat.discovery))

    def rude(self, seat: Seat, client: MisbehavingClient) -> None:
        self.do(self.clients, _connect_rude(self.clients.loop, seat.host, client))

    def upgrade(self, seat: Seat) -> None:
        """Not played here (`plan.REAL_ONLY`)."""

    def box_runs(self, place: Place) -> bool:
        return place.process.alive

    def kill_box(self, place: Place) -> None:
        place.process.kill()

    def box_again(self, old: Place) -> Place:
        zone, cell = self.checker.locations[old.entry.name]
        return self.place(
            old.entry.name, old.host, old.port, zone, cell, replace(old.model, hangs=False), True
        )

    def accept_box(self, place: Place) -> None:
        if place.process.alive and (place.host, place.port) not in self.network.listeners:
            self.do(place.process, place.box.start(place.host, place.port))

    def reset_box(self, place: Place) -> None:
        for endpoint in list(place.process.connections):
            endpoint.break_path()

    def hush_box(self, place: Place, silent: bool) -> None:
        (self.network.isolate if silent else self.network.reconnect)(place.host)

    def lag_box(self, place: Place, ms: float) -> None:
        self.network.extra_delay_ns.pop(place.host, None)
        if ms:
            self.network.extra_delay_ns[place.host] = int(ms * MS_NS)

    def part(self, seat: Seat, place: Place, apart: bool) -> None:
        (self.network.disconnect if apart else self.network.reconnect)(seat.host, place.host)

    def counter(self, number: int) -> QuotaService:
        return self.counters[number][1]

    def kill_counter(self, number: int) -> None:
        self.counters[number][0].kill()

    def hush_counter(self, silent: bool) -> None:
        (self.network.isolate if silent else self.network.reconnect)("10.2.0.1")

    # ---- gateways' ends

    def kill(self, seat: Seat) -> None:
        if seat.process.alive:
            self._check_process(seat)
            self.checker.gateway_ended(seat.name)
            seat.process.kill()

    def terminate(self, seat: Seat) -> None:
        if seat.process.alive and not seat.stopping:
            seat.stopping = True
            self.checker.record_event(f"{seat.name} gets SIGTERM")
            seat.process.signal(signal.SIGTERM)

    def _check_process(self, seat: Seat) -> None:
        self.checker.check_descriptors(seat.name, seat.process.peak_descriptors, self.plan.sockets)
        for fault in seat.process.loop.unhandled_errors:
            self.checker.report_fault(seat.name, fault)

    # ---- what crosses the network

    def _connected(self, opener: TcpTransport, taker: TcpTransport) -> None:
        gateway, box = opener.process.name, taker.process.name
        if gateway[0] == "g" and box in self.places:
            opener.on_sent = Tap(self.checker, gateway, box, self.scheduler).feed

    # ---- the run

    def play(self) -> Result:
        self._build()
        plan = self.plan
        last = max([plan.last_ms, *(f.at_ms + f.for_ms for f in plan.faults)])
        end = self.began_ns + last * MS_NS
        enabled = gc.isenabled()
        gc.disable()  # what a run drops goes at once or with the run; the collector's times are not its own
        try:
            until, broken = end + CALM_NS, self.scheduler.run(end + CALM_NS, self.checker.check_due)
            while not broken and until < end + MOST_CALM_NS and not self._calm():
                until += LOOK_NS
                broken = self.scheduler.run(until, self.checker.check_due)
            if not broken:
                self._finish()
        except StuckError as err:
            self.checker.report_violation(Rule.PROGRESS, str(err))
        finally:
            if enabled:
                gc.enable()
        breach = self.checker.violations[0] if self.checker.violations else None
        counts, tally = self.checker.counts, {}
        for (_, kind), n in self.front.outcomes.items():
            tally[kind] = tally.get(kind, 0) + n
        return Result(
            plan.seed,
            self.scheduler.steps,
            (self.scheduler.now_ns - START_NS) / 1e9,
            counts.requests,
            counts.attempts,
            len(plan.faults),
            self.network.digest(),
            breach,
            tally,
            {
                "cold": round(self.checker.cold.peak_ratio, 4),
                "ceiling": round(self.checker.ceilings.peak_ratio, 4),
                "quota": round(self.checker.quotas.peak_ratio, 4) if self.checker.quotas else 0.0,
            },
        )

    def _calm(self) -> bool:
        """Nothing is asked, answered, or on its way to an end any more."""
        if (
            self.front.in_flight
            or self.front.retries_waiting
            or any(s.stopping and s.process.alive for s in self.seats)
        ):
            return False
        return not any(
            s.process.alive
            and (
                s.gateway.dispatcher.sessions
                or s.gateway.attempts.in_flight
                or s.gateway.dispatcher.policy.parts.attempts.in_flight
            )
            for s in self.seats
        )

    def _finish(self) -> None:
        """All has long been answered: nothing may be left."""
        for seat in self.seats:
            self._check_process(seat)
            if not seat.process.alive:
                continue
            gateway = seat.gateway
            if seat.stopping:
                continue
            module, pool, tasks = gateway.dispatcher.policy.parts, gateway.pool, seat.process.loop.tasks
            self.checker.check_leftovers(
                seat.name,
                {
                    "sessions": len(gateway.dispatcher.sessions),
                    "attempts": len(gateway.attempts.in_flight),
                    "open ids": len(gateway.listener.open_requests),
                    "requests in the module": len(module.requests.pending),
                    "attempts in the module": len(module.attempts.in_flight),
                    "asks": len(module.relayed.waiting),
                    "held tries": len(module.admission.quotas.waiting),
                    "queued attempts": sum(len(backend.queued) for backend in pool.backends.values()),
                    "clients lost": len(gateway.listener.clients)
                    - sum(c.transport in seat.process.connections for c in gateway.listener.clients),
                    "connections lost": len(pool.connections)
                    - sum(c.transport in seat.process.connections for c in pool.connections),
                    "connections that nobody knows": sum(
                        e.remote[1] == 6379 and e not in {c.transport for c in pool.connections}
                        for e in seat.process.connections
                        if e.local[1] != 6379
                    ),
                    "tasks": max(0, len(tasks) - 1 - (gateway.watcher.current is None)),
                    "beats missed": int(self.scheduler.now_ns - module.gossip.ticked_ns > BEAT_NS),
                    "deadlines": max(0, len(gateway.dispatcher.deadlines) - 40),
                },
            )


async def _connect_rude(loop: Any, host: str, client: MisbehavingClient) -> None:
    try:
        await loop.create_connection(lambda: client, host, 6379)
    except OSError:
        return  # that gateway is down


def _was_read(transport: Any, request: Request) -> bool:
    """The gateway had read the request before it ended the connection."""
    return transport.peer is None or transport.peer.had_read_before_end(request.end)


def _other(transport: Any) -> str:
    """Whose connection this is, on the virtual network."""
    return transport.peer.process.name


class Crossings:
    """Clients that ask in the very moment in which a gateway ends the connection that they ask on."""

    def __init__(
        self, plan: Plan, clients: Process, front: ClientLoadBalancer, wants: list[PlannedRequest]
    ) -> None:
        self._share, self._clients, self._front = plan.crossing, clients, front
        self._wants = [replace(want, retries=0, disconnect_after_s=0.0) for want in wants]
        self._rng = random.Random(f"crossings {plan.seed}")

    def ended(self, endpoint: TcpTransport) -> None:
        peer = endpoint.peer
        client = peer.protocol if peer is not None and peer.process is self._clients else None
        if isinstance(client, ClientConnection) and self._rng.random() < self._share:
            self._clients.loop.call_soon(self._front.send_on, client, self._rng.choice(self._wants))


class Tap:
    """Reads what a gateway sends a guide box, as it leaves the gateway."""

    __slots__ = ("checker", "gateway", "box", "scheduler", "_commands", "_first_ns", "_try")

    def __init__(self, checker: Checker, gateway: str, box: str, scheduler: Scheduler) -> None:
        self.checker, self.gateway, self.box, self.scheduler = checker, gateway, box, scheduler
        self._commands = codec.CommandParser()
        self._first_ns = 0
        self._try = None

    def feed(self, data: bytes) -> None:
        """Whole commands come one by one, as a connection carries one attempt at a time."""
        if self._commands.idle:
            self._first_ns = self.scheduler.now_ns
        try:
            whole = self._commands.feed(data)
        except codec.ProtocolError as err:
            self.checker.protocol_violated(self.box, self.gateway, str(err))
            return
        words = whole[0] if whole else self._commands.arguments
        if self._try is None and len(words) > 2:
            self._try = self.checker.attempt_started(self.gateway, self.box, words[2], self._first_ns)
        if whole:
            if self._try is not None:
                self.checker.attempt_complete(words[2], self._try, codec.forwarded_timeout_ms(words))
            self._try = None
