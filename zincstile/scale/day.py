"""One scale run: real gateways in a crowd of hollow ones, all watching one emulated discovery, through the
moments of a plan.

Everything is started by this process and ended by it, however the run ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import resource
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Final

from ..checkers.checker import Checker
from ..checkers.quotas import Quotas
from ..checkers.rules import Rule
from ..emulators.clients import ClientLoadBalancer
from ..net import features as feature_files
from ..simulation import shared, traffic
from ..simulation.plan import Fault, Plan
from ..testbed import places
from ..testbed.probe import TimeSeries
from ..testbed.result import BreachRow
from ..testbed.testbed import SLACK_NS
from . import day_load, estimate, judge, load
from .configuration import GatewaySpec
from .crowd import GatewayProcess, place_of, write_configuration
from .emulators import Traffic
from .members import Member, name_of
from .moments import Happenings
from .outcome import DayResult
from .plan import DayPlan, text
from .records import Kind
from .surroundings import DayBackends, DayDiscovery, DayEars, DayTable, PeerRelay
from .topology import Topology
from .verdicts import ColdBudgets, Life, Seen

READY_S: Final = 120.0  # until all gateways have the table
SETTLE_S: Final = 3.0  # then, before the day begins
STEP_S: Final = 0.05  # between two looks at a condition
LOOK_S: Final = 0.5  # between two looks at what is due and at processes that ended
ANSWERED_S: Final = 10.0  # at the end, until all requests are answered
GONE_S: Final = 12.0  # a process that was told to end may take so long
STALL_S: Final = 0.1  # by which this process may be late without being told
BREACHES: Final = 5  # whose histories are kept
LOG_ROUNDING_S: Final = 0.001  # of the times in the gateways' logs
FORGET_S: Final = 60.0  # after its deadline a request is forgotten

Progress = Callable[[float, float, str], None]


class NotReadyError(RuntimeError):
    """The gateways did not start; one line with what their logs say."""


class Day:
    """The state of one run. `cut`: hollow gateways whose watches are told nothing once the day has begun, a
    deliberate fault. `features`: files that every gateway is told of, by name."""

    def __init__(
        self,
        fleet: Topology,
        plan: DayPlan,
        folder: Path,
        result: DayResult,
        told: Progress = lambda at_s, of_s, what: None,
        cut: frozenset[int] = frozenset(),
        features: dict[str, str] | None = None,
    ) -> None:
        self.fleet, self.plan, self.folder, self.result = fleet, plan, folder, result
        self._progress, self._cut, self._features = told, cut, features or {}
        self.members: list[Member] = []
        self.processes: list[GatewayProcess] = []
        self.faults: list[str] = []
        self.spans: list[tuple[str, float, float]] = []
        self.began_s = 0.0  # of the day, unix
        self._moments_open: dict[str, float] = {}
        self._stalls: list[tuple[int, int]] = []  # monotonic nanoseconds: from, to
        self._probes: dict[int, asyncio.Task] = {}  # by gateway
        self._machine: list[tuple[float, float, float]] = []  # when; seconds of all cores: busy, in all

    async def play(self) -> None:
        """Fills the result, also where it is stopped. NotReadyError or OSError where it can't begin."""
        self.loop = asyncio.get_running_loop()
        _raise_descriptor_limit()
        with contextlib.ExitStack() as stack:
            count = -(-self.fleet.gateways // places.MOST)
            self.blocks = [stack.enter_context(places.block()) for _ in range(count)]
            try:
                await self._build()
                await self._start()
                await self._play_day()
                self.result.complete = True
            finally:
                self._judge()
                self._end_all()

    # ---- start

    async def _build(self) -> None:
        fleet, plan = self.fleet, self.plan
        cold_window_s = traffic.settings(Plan(seed=1, gateways=1), 0)["obligations"]["fall_ns"] / 1e9
        self.cold = ColdBudgets(cold_window_s)
        self.checker = Checker(_figures(), lambda: (0, time.monotonic_ns()))
        self.checker.quotas = _quotas(fleet, self._features)
        ears = DayEars(self.checker, TimeSeries(), time.monotonic, cold=self.cold, clock=time.time)
        self.discovery = DayDiscovery(self.loop, fleet.gateways, time.time)
        self.backends = DayBackends(self.loop, fleet, ears, plan.seed, time.time)
        self.relay = PeerRelay(self.loop, [Traffic() for _ in range(fleet.gateways)])
        self.ears = ears
        await self.discovery.start()
        await self.backends.start()
        self.discovery.table = DayTable(fleet, self.backends.port)
        for entry in self.discovery.table.entries.values():
            self.backends.add(entry, cold=False)
        self.discovery.written = self._written
        self.discovery.asked = self._asked
        self._make_gateways()
        addresses = {m.name: m.listen for m in self.members}
        self.front = ClientLoadBalancer(
            self.loop, random.Random(f"front {plan.seed}"), ears, addresses, failure_detection_s=(0.3, 1.5)
        )
        self.loaded_names = [m.name for m in self.members if m.loaded]
        loaded = frozenset(self.loaded_names)
        self.front.weigh_gateways = lambda want, names: [float(name in loaded) for name in names]
        self.happenings = Happenings(
            self.discovery, self.backends, self.processes, self._stop, self._begin, plan.seed
        )

    def _make_gateways(self) -> None:
        """Every gateway's configuration, and which process it belongs to."""
        real = self.plan.real.loaded + self.plan.real.unloaded
        hollow: dict[str, list[Member]] = {zone: [] for zone in self.fleet.zones}
        for number in range(self.fleet.gateways):
            host = place_of(self.blocks, number)
            self.relay.add(host, places.PEERS_PORT)
        for number in range(self.fleet.gateways):
            member = self._member(number, Kind.REAL if number < real else Kind.HOLLOW)
            self.members.append(member)
            if member.kind is Kind.REAL:
                self._add_process(Kind.REAL, [member])
            else:
                hollow[member.zone].append(member)
        size = estimate.hollow_of_process(self.fleet)
        for members in hollow.values():
            for first in range(0, len(members), size):
                self._add_process(Kind.HOLLOW, members[first : first + size])

    def _add_process(self, kind: Kind, members: list[Member]) -> None:
        folder = self.folder / f"{kind.value}-{members[0].number}"
        self.processes.append(GatewayProcess(kind, members, folder))

    def _member(self, number: int, kind: Kind) -> Member:
        zone = self.fleet.zones[number % len(self.fleet.zones)]
        host = place_of(self.blocks, number)
        own = f"{host}:{places.PEERS_PORT}"
        spec = GatewaySpec(
            number,
            f"{host}:{places.CLIENTS_PORT}",
            own,
            self.discovery.address(number, 0),
            self.relay.addresses(self.fleet.gateways, number, own),
            self._features,
        )
        settings = traffic.settings(Plan(seed=1, gateways=self.fleet.gateways), number)
        settings |= {"zones": self.fleet.zones, "zone": number % len(self.fleet.zones)}
        path = self.folder / f"g{number}.json"
        write_configuration(self.fleet, spec, settings, path)
        loaded = kind is Kind.REAL and number < self.plan.real.loaded
        return Member(number, kind, zone, (host, places.CLIENTS_PORT), path, loaded)

    async def _start(self) -> None:
        """Until every gateway has the table."""
        for process in self.processes:
            self._begin(process)
        until_s = self.loop.time() + READY_S
        while not all(member.ready for member in self.members):
            await asyncio.sleep(STEP_S)
            self._read_logs()
            ready = sum(member.ready for member in self.members)
            self._progress(0.0, self.plan.lasts_s, f"{ready} of {len(self.members)} gateways ready")
            ended = next((p for p in self.processes if not p.alive), None)
            if ended is not None or self.loop.time() > until_s:
                one = ended or next(p for p in self.processes if not all(m.ready for m in p.members))
                tail = (one.log.read_text(errors="replace").strip().splitlines() or [""])[-1]
                raise NotReadyError(f"{one.members[0].name} ({one.kind.value}) did not start: {tail[:200]}")
        self.front.watch_gateways(self.loaded_names)
        await asyncio.sleep(SETTLE_S)

    # ---- the day

    async def _play_day(self) -> None:
        """Load, churn and moments beside each other, and the samples."""
        self.began_s, began = time.time(), self.loop.time()
        self._began_monotonic_s = time.monotonic()
        self._machine.append(_machine_seconds())
        self.discovery.cut |= self._cut
        for process in self.processes:
            process.sample(self.began_s, self._control_bytes())
        tasks = [
            self.loop.create_task(one)
            for one in (
                day_load.ask(self.front, self.fleet, self.plan),
                self.happenings.churn(self.plan.churn.replacements_per_s),
                self._sample(),
                self._watch_itself(),
                *(self._moment(number) for number in range(len(self.plan.moments))),
            )
        ]
        # No change is made in the last seconds, so that all are due before the end.
        quiet_s = self.plan.lasts_s - self.fleet.budgets.in_force_s - self.plan.sample_s
        try:
            while (at_s := self.loop.time() - began) < self.plan.lasts_s:
                if at_s >= quiet_s:
                    tasks[1].cancel()
                self._look()
                self._progress(at_s, self.plan.lasts_s, ", ".join(self._moments_open) or "churn")
                _raise_of([task for task in tasks if task.done() and not task.cancelled()])
                await asyncio.sleep(LOOK_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self._finish()

    async def _moment(self, number: int) -> None:
        moment = self.plan.moments[number]
        await asyncio.sleep(moment.at_s)
        name = f"{number}: {text(moment)}"
        began_s = self._moments_open[name] = time.time()
        try:
            await self.happenings.play(moment)
        finally:
            del self._moments_open[name]
            self.spans.append((name, began_s, time.time()))

    async def _sample(self) -> None:
        """Each process in turn, spread over the time between two samples of one."""
        pause_s = self.plan.sample_s / len(self.processes)
        while True:
            for process in self.processes:
                process.sample(time.time(), self._control_bytes())
                process.ask_counters()
                for member in process.members:
                    if self.discovery.asks[member.number] > 1:
                        self._probe(member)
                await asyncio.sleep(pause_s)

    def _probe(self, member: Member) -> None:
        """Asks a gateway by PINGs what it acts by, where its count of lines can't tell: once the second one
        is answered, it acted by all that was passed on to it before the first."""
        index, life = self.discovery.passed_on(member.number), member.life
        if index is None or life is None or member.number in self._probes:
            return
        task = self.loop.create_task(self._behind(member, life, index))
        self._probes[member.number] = task
        task.add_done_callback(lambda _: self._probes.pop(member.number))

    async def _behind(self, member: Member, life: Life, index: int) -> None:
        clients = load.Clients(*member.listen)
        with contextlib.suppress(load.UnreachableError):
            await clients.behind()
            life.seen.append(Seen(time.time(), index))
        clients.close()

    async def _watch_itself(self) -> None:
        """Notes when this process stood still: what clients and backends saw then was late by its fault."""
        while True:
            due_s = self.loop.time() + STEP_S
            await asyncio.sleep(STEP_S)
            lag_s = self.loop.time() - due_s
            self.result.driver_lag_s = max(self.result.driver_lag_s, round(lag_s, 3))
            if lag_s > STALL_S:
                now = time.monotonic_ns()
                self._stalls.append((now - int(lag_s * 1e9), now))

    def _control_bytes(self) -> list[int]:
        return [
            watched.bytes_in + watched.bytes_out + relayed.bytes_in + relayed.bytes_out
            for watched, relayed in zip(self.discovery.traffic, self.relay.traffic, strict=True)
        ]

    def _look(self) -> None:
        """Reads the logs, and looks at what is due and who ended."""
        self._read_logs()
        self._machine.append(_machine_seconds())
        now = time.monotonic_ns()
        self.checker.check_due(now)
        self.ears.came.clear()
        checker = self.checker
        old = now - int(FORGET_S * 1e9)
        for request in [r for r, c in checker.histories.items() if c.due_ns < old and c.state != "open"]:
            checker.forget_request(request)
        held = sum(p.program.memory_kb() for p in self.processes if p.alive) * 1024 + _own_bytes()
        self.result.measured_bytes = max(self.result.measured_bytes, held)
        for process in self.processes:
            if not process.alive and not process.program.asked_to_end:
                process.program.asked_to_end = True
                code = process.program.process.returncode
                self.faults.append(f"{process.members[0].name}: the process ended by itself, exit {code}")
                self._gone(process)

    def _read_logs(self) -> None:
        for process in self.processes:
            process.read(self.discovery.told, self.discovery.asks)

    async def _finish(self) -> None:
        """No more is asked: all that was is answered, and every gateway says once more what it acts by."""
        until_s = self.loop.time() + ANSWERED_S
        while (self.front.in_flight or self.front.retries_waiting) and self.loop.time() < until_s:
            await asyncio.sleep(STEP_S)
        if self.front.in_flight:
            self.checker.report_violation(Rule.ANSWER, f"{self.front.in_flight} requests were never answered")
        asked_s = time.time() - LOG_ROUNDING_S
        for process in self.processes:
            process.ask_counters()
        self.faults += [f"{m.name} was started and does not listen" for m in self.members if m.life is None]
        until_s = self.loop.time() + ANSWERED_S
        while not all(_said(member, asked_s) for member in self.members) and self.loop.time() < until_s:
            await asyncio.sleep(STEP_S)
            self._look()
            for member in self.members:
                if self.discovery.asks[member.number] > 1 and not _said(member, asked_s):
                    self._probe(member)

    # ---- processes

    def _begin(self, process: GatewayProcess) -> None:
        for member in process.members:
            if member.loaded:
                self.checker.gateway_started(member.name)
        process.start()

    async def _stop(self, process: GatewayProcess, at_once: bool) -> None:
        """Ends a process and waits until it has ended."""
        if at_once:
            for member in process.members:
                if member.loaded:
                    self.checker.gateway_ended(member.name)
            process.program.asked_to_end = True
            process.program.signal(signal.SIGKILL)
        else:
            process.program.terminate()
        await self._until_ended(process)
        self._gone(process)

    async def _until_ended(self, process: GatewayProcess) -> None:
        until_s = self.loop.time() + GONE_S
        while process.alive:
            await asyncio.sleep(STEP_S)
            if self.loop.time() > until_s:
                self.faults.append(f"{process.members[0].name} did not end within {GONE_S:g} s")
                process.program.kill()
        code = process.program.process.returncode
        if code and code != -signal.SIGKILL:
            self.faults.append(f"{process.members[0].name}: exit {code} after SIGTERM")

    def _gone(self, process: GatewayProcess) -> None:
        process.ended(time.time(), self.discovery.told, self.discovery.asks)
        for member in process.members:
            self.discovery.restarted(member.number)

    # ---- what the checkers hear of discovery

    def _written(self, gateway: int, entry) -> None:
        if self.members[gateway].loaded:
            self.ears.gateway_notified(name_of(gateway), entry.name, entry.status, entry.since_ms)

    def _asked(self, gateway: int, place: int) -> None:
        """A watch begins: the gateway has been told the whole list, or what it lacked of it."""
        if self.members and self.members[gateway].loaded:
            for entry in self.discovery.table.entries.values():
                self._written(gateway, entry)

    # ---- end

    def _judge(self) -> None:
        """From what was seen until now."""
        result = self.result
        if not self.began_s:
            return
        self._read_logs()
        now_s = time.time()
        result.seconds = round(now_s - self.began_s, 1)
        self._machine.append(_machine_seconds())
        result.machine_share = judge.machine_share(self._machine, self.began_s, now_s)
        open_spans = [(name, began_s, now_s) for name, began_s in self._moments_open.items()]
        changes = self.discovery.changes
        evidence = judge.Evidence(
            budgets=self.fleet.budgets,
            members=self.members,
            changes=changes,
            end_s=now_s,
            cold=self.cold,
            breaches=self.checker.violations,
            attempts=self.checker.counts.attempts,
            bound_nearest=max(self.checker.ceilings.peak_ratio, self.checker.quotas.peak_ratio),
            quota_over=_quota_over(self.checker.quotas),
            faults=self.faults + [fault for p in self.processes for fault in p.faults],
            spans=self.spans + open_spans,
            machine=self._machine,
            stalls=self._stalls,
        )
        seen = judge.gateways(evidence)
        result.verdicts = judge.verdicts(evidence, seen)
        result.delays = judge.delay_rows(evidence)
        result.gateways = [one.row() for one in seen]
        for row, watched, relayed in zip(
            result.gateways, self.discovery.traffic, self.relay.traffic, strict=True
        ):
            row.watch_bytes = watched.bytes_in + watched.bytes_out
            row.peer_bytes = relayed.bytes_in + relayed.bytes_out
            row.datagrams = relayed.datagrams_in + relayed.datagrams_out
        result.changes = len(changes)
        result.attempts, result.cold_calls = evidence.attempts, self.cold.calls
        result.breaches = [
            BreachRow(b.rule, round(b.at_ns / 1e9 - self._began_monotonic_s, 3), b.request, b.text, b.history)
            for b in self.checker.violations[:BREACHES]
        ]
        for (_, kind), count in self.front.outcomes.items():
            result.requests[kind] = result.requests.get(kind, 0) + count

    def _end_all(self) -> None:
        """Whatever came: nothing that was started here is left."""
        for process in self.processes:
            if process.program is not None:
                process.program.kill()
        if hasattr(self, "front"):
            self.front.close()
        if hasattr(self, "relay"):
            self.relay.close()


def _said(member: Member, since_s: float) -> bool:
    """It has told what it acts by since then; or it is down, or has been told nothing yet."""
    life = member.life
    return life is None or not life.seen or life.seen[-1].at_s >= since_s


def _raise_of(done: list[asyncio.Task]) -> None:
    """The error of a part of the run: one that has it proves nothing."""
    for task in done:
        task.result()


def _quotas(fleet: Topology, features: dict[str, str]) -> Quotas:
    """Every customer's store; with the bound that gateways state for the widest set, if they share state."""
    if "shared" not in features:
        return Quotas(traffic.quotas())
    widest = Plan(seed=1, gateways=fleet.tenant_sets()[0], faults=[Fault(kind="roll", at_ms=0)])
    stated, opening = shared.stated(widest, feature_files.leases(features["shared"])[0])
    return Quotas(stated, 0, opening, time.monotonic_ns())


def _quota_over(quotas: Quotas) -> dict[str, float]:
    found = quotas.by_plan()
    return {plan: round(worst, 2) for plan, (worst, bound, _, _) in found.items() if bound == math.inf}


def _figures():
    """The rules' figures, with the slack of a machine that runs everything at once."""
    figures = traffic.figures()
    return replace(
        figures,
        answer_grace_ns=figures.answer_grace_ns + SLACK_NS,
        drain_grace_ns=figures.drain_grace_ns + SLACK_NS,
        max_notification_ns=figures.max_notification_ns + SLACK_NS,
        cold_slack_ns=2 * figures.cold_slack_ns,
    )


def _raise_descriptor_limit() -> None:
    """As far as the system lets this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _own_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _machine_seconds() -> tuple[float, float, float]:
    """When, and seconds of all cores since the machine's start: busy, and in all."""
    words = [int(word) for word in Path("/proc/stat").read_text().splitlines()[0].split()[1:9]]
    return time.time(), sum(words) - words[3] - words[4], sum(words)


def play(day: Day) -> bool:
    """Plays it; False where SIGINT stopped it half way. All that was started has ended."""

    async def main() -> None:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, task.cancel)
        await day.play()

    try:
        asyncio.run(main())
    except asyncio.CancelledError:
        return False
    return True
