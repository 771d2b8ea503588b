"""One measured point: a process of gateways among emulators, at rest and then at work, window by window."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from itertools import cycle
from pathlib import Path
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from ..testbed import places
from . import load, mass_failure
from .configuration import PLAN, QUOTA_PER_S, GatewaySpec, configuration
from .emulators import SHARES_IN_DATAGRAM, Discovery, EndpointTable, FakeBackends, FakePeers, Traffic
from .pending_reloads import PendingReloads
from .records import Dimension, Figure, Kind, Sample
from .subjects import Subject, SubjectError
from .topology import Topology, with_sizes

READY_S: Final = 60.0
SETTLE_S: Final = 1.2  # after ready, before the window at rest
LONGEST_S: Final = 5.0  # of a window that waits for events which come seldom
EVENTS: Final = 4  # so many are waited for, if `LONGEST_S` allows
PRELOAD_PER_S: Final = 250.0  # datagrams that name all tenants before anything is measured
SPREAD: Final = 0.4  # of the time between two events, in which all hollow gateways get one
RESEND_PERIOD_S: Final = 10.0  # peers send each tenant so often: a gateway forgets one after 15 s
INTAKE_PER_S: Final = (
    48.0  # datagrams that a gateway's peers may send it: four fifths of the platform's bound
)
MESSAGES_PER_S: Final = 24.0  # messages of peers where their number is not what is varied
LEAST_SERVED: Final = 0.8  # of the requests: else their cost is that of rejections
MAX_DELAY_US: Final = 60_000_000  # of the histogram; longer delays count as this
SIGNIFICANT_DIGITS: Final = 3  # of the histogram of delays


@dataclass(frozen=True)
class Point:
    """What to measure."""

    dimension: Dimension
    size: float
    kind: Kind
    repeat: int
    program: str  # label of the tree
    order: int
    tree: Path
    fleet: Topology
    sizes: dict[Dimension, float]  # of all dimensions, the varied one among them
    features: dict[str, str] = field(default_factory=dict)
    hollow: int = 4  # gateways in the process of the hollow kind
    window_s: float = 3.0
    seed: int = 1
    mass_failure: bool = False  # also a zone lost at once, which may take minutes


@dataclass
class Window:
    """What was seen in one window."""

    seconds: float
    cpu_s: float  # of one gateway
    events: int
    traffic: Traffic  # of one gateway

    @property
    def share(self) -> float:
        """Of one core."""
        return self.cpu_s / self.seconds


Activity = Callable[[], Awaitable[tuple[Window, Figure]]]


class Measurement:
    """One point's processes and windows. SubjectError or load.UnreachableError where a gateway fails."""

    def __init__(self, point: Point, folder: Path) -> None:
        """Starts nothing; `folder` takes configurations and logs."""
        self.point, self.folder = point, folder
        self.count = 1 if point.kind is Kind.REAL else point.hollow
        self.fleet = fleet_of(point)
        self.gateways = self.fleet.gateways
        self.figures: dict[str, float] = {}
        self.seconds = 0.0
        self.delays: list[float] = []
        self.tenants = load.tenants_of_gateway(self.fleet, int(point.sizes[Dimension.TENANTS]), point.seed)
        self._place = 0

    async def run(self) -> Sample:
        """Starts all, measures, ends all."""
        self.loop = asyncio.get_running_loop()
        with places.reserve_block() as block, contextlib.ExitStack() as stack:
            await self._start(block, stack)
            await self._measure()
        p = self.point
        return Sample(
            p.dimension, p.size, p.kind, p.repeat, p.program, p.order, self.seconds, dict(self.figures)
        )

    # ---- start

    async def _start(self, block: int, stack: contextlib.ExitStack) -> None:
        self.discovery = Discovery(self.loop, self.count)
        self.backends = FakeBackends(self.loop)
        self.peers = FakePeers(self.loop, self.discovery.traffic, self.point.seed)
        stack.callback(self.peers.close)
        await self.discovery.start()
        await self.backends.start()
        self.discovery.table = EndpointTable(self.fleet, self.backends.port)
        files = [self._write(block, number) for number in range(self.count)]
        self.clients = [
            load.Clients(places.gateway_address(block, n), places.CLIENTS_PORT) for n in range(self.count)
        ]
        began_s = self.loop.time()
        self.subject = Subject(self.point.kind, files, self.point.tree, self.folder)
        stack.callback(self.subject.end)
        await self.subject.started()
        ready_s = [await self._alive(clients.ready(READY_S)) for clients in self.clients]
        if self.point.kind is Kind.REAL:
            self._set(Figure.READY_S, ready_s[0] - began_s)
        self._set(Figure.LIST_BYTES, self.discovery.traffic[0].list_bytes)

    def _write(self, block: int, number: int) -> Path:
        """The configuration of one gateway."""
        own = f"{places.gateway_address(block, number)}:{places.PEERS_PORT}"
        me = number % self.gateways
        host, port = own.rsplit(":", 1)
        self.peers.places[host, int(port)] = number
        spec = GatewaySpec(
            me,
            f"{host}:{places.CLIENTS_PORT}",
            own,
            self.discovery.address(number, 0),
            self.peers.addresses(self.gateways, me, own),
            {name: str(self.point.tree / path) for name, path in self.point.features.items()},
        )
        path = self.folder / f"g{number}.json"
        path.write_text(json.dumps(configuration(self.fleet, spec)), encoding="utf-8")
        return path

    async def _alive(self, what: Awaitable[float]) -> float:
        """Its result; SubjectError at once where the process ends meanwhile."""
        task = asyncio.ensure_future(what)
        while not task.done():
            await asyncio.wait([task], timeout=0.1)
            if not task.done() and not self.subject.program.alive:
                task.cancel()
                self.subject.check()
        return task.result()

    # ---- windows

    async def _measure(self) -> None:
        dimension = self.point.dimension
        await self._preload()
        await asyncio.sleep(SETTLE_S)
        rest = await self._window(0.0, lambda: None)
        self._set(Figure.CPU_REST_SHARE, rest.share)
        self._set(Figure.MEMORY_BYTES, self.subject.memory_bytes())
        for number, activity in enumerate(self._activities()):
            window, per_event = await activity()
            if number == 0:
                self.seconds = window.seconds
                self._main(window)
            if window.events:
                self._set(per_event, max(0.0, window.cpu_s - rest.share * window.seconds) / window.events)
        if dimension in (Dimension.BACKENDS, Dimension.TABLE_CHANGES_PER_S):
            await self._changes_in_force()
        self._delays()
        if self.point.mass_failure and dimension is Dimension.BACKENDS and self.point.kind is Kind.REAL:
            await self._mass_failure()
        await self._check()

    def _main(self, window: Window) -> None:
        """The figures of the window that has the dimension's activity."""
        self._set(Figure.CPU_SHARE, window.share)
        for figure, amount in (
            (Figure.BYTES_IN_PER_S, window.traffic.bytes_in),
            (Figure.BYTES_OUT_PER_S, window.traffic.bytes_out),
            (Figure.DATAGRAMS_IN_PER_S, window.traffic.datagrams_in),
            (Figure.DATAGRAMS_OUT_PER_S, window.traffic.datagrams_out),
        ):
            self._set(figure, amount / window.seconds)

    def _activities(self) -> list[Activity]:
        """What is done to the gateway, by what the point varies; hollow ones get no requests."""
        by_dimension: dict[Dimension, list[Activity]] = {
            Dimension.BACKENDS: [self._changes, self._requests],
            Dimension.GATEWAYS: [self._requests, self._messages],
            Dimension.TENANTS: [self._messages, self._requests],
            Dimension.REQUESTS_PER_S: [self._requests],
            Dimension.TABLE_CHANGES_PER_S: [self._changes],
            Dimension.CONFIG_CHANGES_PER_S: [self._reloads],
        }
        activities = by_dimension[self.point.dimension]
        if self.point.kind is Kind.HOLLOW:
            return [activity for activity in activities if activity != self._requests]
        return activities

    async def _window(self, per_s: float, event: Callable[[], Any]) -> Window:
        """Measures while events come at a steady rate; the window ends behind what the last one costs."""
        seconds = self.point.window_s
        if per_s:
            seconds = max(seconds, min(LONGEST_S, EVENTS / per_s))
        count = round(per_s * seconds)
        traffic, cpu_s, began_s = self.discovery.traffic[0].copy(), self.subject.cpu_s(), self.loop.time()
        for number in range(count):
            await self._until(began_s + (number + 0.5) * seconds / count)
            event()
        await self._until(began_s + seconds)
        while self.discovery.pending_sends:  # on a busy machine the last may come late
            await asyncio.sleep(0.001)
        self.subject.check()
        return Window(
            self.loop.time() - began_s,
            self.subject.cpu_s() - cpu_s,
            count,
            self.discovery.traffic[0].since(traffic),
        )

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self.loop.time()))

    # ---- activities: a window, and the figure of what one of its events costs

    async def _changes(self) -> tuple[Window, Figure]:
        """Replacements in the endpoint table, each change in a message of its own."""
        rate = self.point.sizes[Dimension.TABLE_CHANGES_PER_S]
        return await self._window(rate, self._change), Figure.CPU_PER_CHANGE_S

    def _change(self, sent: Callable[[int], None] = lambda gateway: None) -> None:
        self.discovery.change(SPREAD / self.point.sizes[Dimension.TABLE_CHANGES_PER_S], sent)

    async def _requests(self) -> tuple[Window, Figure]:
        """Requests of this gateway's tenants."""
        rate, rng = self.point.sizes[Dimension.REQUESTS_PER_S], random.Random(self.point.seed)
        weights = [tenant.weight for tenant in self.tenants]
        drawn = iter(rng.choices(self.tenants, weights, k=round(rate * LONGEST_S) + 1))
        tasks: list[asyncio.Task[None]] = []

        def ask() -> None:
            tasks.append(self.loop.create_task(self.clients[0].request(next(drawn))))

        window = await self._window(rate, ask)
        if tasks:
            await asyncio.wait(tasks)
        return window, Figure.CPU_PER_REQUEST_S

    async def _messages(self) -> tuple[Window, Figure]:
        """Messages of peers on this gateway's tenants."""
        count, rate = 1, MESSAGES_PER_S
        if self.point.dimension is Dimension.TENANTS:
            count = math.ceil(len(self.tenants) / RESEND_PERIOD_S / INTAKE_PER_S)
            rate = len(self.tenants) / count / RESEND_PERIOD_S
        messages = self._peer_messages(count, SPREAD / rate)
        return await self._window(rate, lambda: next(messages)), Figure.CPU_PER_MESSAGE_S

    async def _reloads(self) -> tuple[Window, Figure]:
        """Configurations that have discovery elsewhere, each announced by SIGHUP."""
        pending = PendingReloads(self._place)

        def arrived(gateway: int, place: int) -> None:
            delay_s = pending.watch_opened(gateway, place, self._place, self.loop.time())
            if delay_s is not None:
                self.delays.append(delay_s)

        def reload() -> None:
            self._place = 1 - self._place
            place = self._place

            def change(table: dict[str, Any]) -> None:
                number = int(table["listen"].rsplit(":", 1)[0].rsplit(".", 1)[1]) - 1
                table["discovery"] = self.discovery.address(number, place)
                pending.configured(number, place, self.loop.time())

            self.subject.reload(change)

        self.discovery.on_watch_opened = arrived
        window = await self._window(self.point.sizes[Dimension.CONFIG_CHANGES_PER_S], reload)
        until_s = self.loop.time() + load.PATIENCE_S
        while pending and self.loop.time() < until_s:
            await asyncio.sleep(0.05)
        if pending:
            raise load.UnreachableError(f"{len(pending)} gateways did not follow their configurations")
        return window, Figure.CPU_PER_CHANGE_S

    def _peer_messages(self, count: int, spread_s: float) -> Iterator[None]:
        """Endless: each step, one peer sends the next `count` tenants."""
        groups = [self.tenants[k : k + count] for k in range(0, len(self.tenants), count)]
        others = [n for n in range(self.gateways) if n >= self.count] or [self.gateways - 1]
        plan = plan_number(self.fleet)
        total = 0.0
        for group, peer in zip(cycle(groups), cycle(others), strict=False):
            total += 1.0
            self.peers.send_usages(peer, group, plan, QUOTA_PER_S, total, spread_s)
            yield

    async def _preload(self) -> None:
        """Where tenants are varied: peers name all of them, so that the gateway remembers them."""
        if self.point.dimension is not Dimension.TENANTS:
            return
        messages = self._peer_messages(SHARES_IN_DATAGRAM, 0.0)
        for _ in range(0, len(self.tenants), SHARES_IN_DATAGRAM):
            next(messages)
            await asyncio.sleep(1 / PRELOAD_PER_S)

    # ---- in force

    async def _changes_in_force(self) -> None:
        """Changes at the same rate again, and how long each takes until it is in force."""
        rate = self.point.sizes[Dimension.TABLE_CHANGES_PER_S]
        tasks: list[asyncio.Task[None]] = []

        async def behind(clients: load.Clients) -> None:
            sent_s = self.loop.time()
            self.delays.append(await clients.behind() - sent_s)

        def sent(gateway: int) -> None:
            tasks.append(self.loop.create_task(behind(self.clients[gateway])))

        await self._window(rate, lambda: self._change(sent))
        for task in tasks:
            await task

    async def _mass_failure(self) -> None:
        """A zone lost, beside requests."""
        clients, rate = self.clients[0], self.point.sizes[Dimension.REQUESTS_PER_S]
        load_clients = load.Clients(clients.host, clients.port)  # counted apart
        count = self.fleet.backends // len(self.fleet.zones)
        seconds, served = await mass_failure.play(
            self.discovery, clients, load_clients, self.tenants, count, rate
        )
        self._set(Figure.MASS_FAILURE_IN_FORCE_S, seconds)
        self._set(Figure.MASS_FAILURE_SERVED_SHARE, served)

    def _delays(self) -> None:
        if not self.delays:
            return
        histogram = HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
        for delay in self.delays:
            histogram.record_value(max(1, min(MAX_DELAY_US, int(delay * 1e6))))
        self._set(Figure.IN_FORCE_P50_S, histogram.get_value_at_percentile(50.0) / 1e6)
        self._set(Figure.IN_FORCE_P99_S, histogram.get_value_at_percentile(99.0) / 1e6)
        self._set(Figure.IN_FORCE_LAST_S, max(self.delays))

    # ---- what has to be so

    async def _check(self) -> None:
        """The gateway took every list and change, and what it was sent was understood."""
        lines = self.discovery.table.index  # the first is the whole list
        for counters in await self.subject.counters():
            if counters["messages_bad"] or counters["faults"]:
                raise SubjectError(f"{counters['messages_bad']} bad messages, {counters['faults']} faults")
            if counters["tables"] < lines:  # more where a watch was opened again
                raise SubjectError(f"{counters['tables']} of {lines} lines of the list were taken")
        outcomes = self.clients[0].outcomes
        if outcomes.get("served", 0) < LEAST_SERVED * sum(outcomes.values()):
            raise SubjectError(f"too few requests were served: {outcomes}")

    def _set(self, figure: Figure, amount: float) -> None:
        self.figures[figure.value] = amount


def plan_number(fleet: Topology) -> int:
    """The number of the tenants' plan, as datagrams name it."""
    plans = configuration(fleet, GatewaySpec(0, "", "", "", [""]))["settings"]["plans"]
    return next(number for number, plan in enumerate(plans) if plan["name"] == PLAN)


def fleet_of(point: Point) -> Topology:
    """The fleet with the sizes of a point; services in proportion to its backends."""
    fleet, backends = point.fleet, int(point.sizes[Dimension.BACKENDS])
    services = max(1, min(backends, round(fleet.services.count * backends / fleet.backends)))
    return with_sizes(
        fleet, backends=backends, services=services, gateways=int(point.sizes[Dimension.GATEWAYS])
    )


def measure(point: Point, folder: Path) -> Sample:
    """Measures one point in a folder of its own, which stays. SubjectError where anything goes wrong."""
    folder.mkdir(parents=True)
    try:
        return asyncio.run(Measurement(point, folder).run())
    except (load.UnreachableError, places.AddressError, OSError) as err:
        raise SubjectError(str(err)) from None
