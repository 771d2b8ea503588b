"""One scale run: real gateways in a crowd of hollow ones, all watching one emulated discovery, through the
events of a plan.

Everything is started by this process and ended by it, however the run ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from ..checkers.checker import Checker
from ..checkers.rules import Rule
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import EndpointEntry
from ..simulation import traffic
from ..simulation.plan import Plan
from ..testbed import places
from ..testbed.probe import TimeSeries
from . import day_load, day_result, day_rules, judge
from .day_gateways import DayGateways
from .day_probes import InForceProbes
from .emulators import Traffic
from .event_player import EventPlayer
from .machine import CoreTimes, core_times, raise_descriptor_limit, resident_bytes
from .members import Member, name_of
from .outcome import DayResult
from .plan import DayPlan, text
from .surroundings import DayBackends, DayDiscovery, DayProbe, DayTable, PeerRelay
from .topology import Topology
from .verdicts import ColdBudgets

READY_TIMEOUT_S: Final = 120.0  # until all gateways have the table
SETTLE_S: Final = 3.0  # from then to the begin of the day
STEP_S: Final = 0.05  # between two looks at a condition
LOOK_S: Final = 0.5  # between two looks at what is due and at processes that ended
ANSWER_TIMEOUT_S: Final = 10.0  # at the end, until all requests are answered
STALL_S: Final = 0.1  # a shorter lag of this process is not recorded as a stall
LOG_ROUNDING_S: Final = 0.001  # of the times in the gateways' logs
FORGET_S: Final = 60.0  # after its deadline a request is forgotten

Progress = Callable[[float, float, str], None]


class NotReadyError(RuntimeError):
    """The gateways did not start; one line with what their logs show."""


class Day:
    """The state of one run.

    `progress`: called with the seconds played, those of the whole day, and what goes on. `cut`: hollow
    gateways whose watches get nothing once the day has begun, a deliberate fault. `features`: paths of
    feature files that every gateway is configured with, by name."""

    def __init__(
        self,
        fleet: Topology,
        plan: DayPlan,
        folder: Path,
        result: DayResult,
        progress: Progress = lambda at_s, of_s, what: None,
        cut: frozenset[int] = frozenset(),
        features: dict[str, str] | None = None,
    ) -> None:
        """Starts nothing; `folder` takes configurations and logs."""
        self.fleet = fleet
        self.plan = plan
        self.folder = folder
        self.result = result
        self.gateways: DayGateways | None = None
        self.front: ClientLoadBalancer | None = None
        self.relay: PeerRelay | None = None
        self.spans: list[tuple[str, float, float]] = []  # events played: name, begin, end
        self.began_s = 0.0  # of the day, unix
        self._progress = progress
        self._cut = cut
        self._features = features or {}
        self._open_spans: dict[str, float] = {}  # events being played: begin
        self._stalls: list[tuple[int, int]] = []  # monotonic nanoseconds: from, to
        self._machine: list[CoreTimes] = []

    async def play(self) -> None:
        """Fills the result, also where it is stopped. NotReadyError or OSError where it can't begin."""
        self.loop = asyncio.get_running_loop()
        raise_descriptor_limit()
        with contextlib.ExitStack() as stack:
            count = -(-self.fleet.gateways // places.MAX_NUMBER)
            blocks = [stack.enter_context(places.reserve_block()) for _ in range(count)]
            try:
                await self._build(blocks)
                await self._start()
                await self._play_day()
                self.result.complete = True
            finally:
                self._judge()
                self._end_all()

    # ---- start

    async def _build(self, blocks: list[int]) -> None:
        """Starts the surroundings and configures the gateways."""
        fleet, plan = self.fleet, self.plan
        cold_window_s = traffic.settings(Plan(seed=1, gateways=1), 0)["obligations"]["fall_ns"] / 1e9
        self.cold = ColdBudgets(cold_window_s)
        self.checker = Checker(day_rules.thresholds(), lambda: (0, time.monotonic_ns()))
        self.checker.quotas = day_rules.quotas(fleet, self._features)
        self.probe = DayProbe(self.checker, TimeSeries(), time.monotonic, cold=self.cold, clock=time.time)
        self.discovery = DayDiscovery(self.loop, fleet.gateways, time.time)
        self.backends = DayBackends(self.loop, fleet, self.probe, plan.seed, time.time)
        self.relay = PeerRelay(self.loop, [Traffic() for _ in range(fleet.gateways)])
        await self.discovery.start()
        await self.backends.start()
        self.discovery.table = DayTable(fleet, self.backends.port)
        for entry in self.discovery.table.entries.values():
            self.backends.add(entry, cold=False)
        self.gateways = DayGateways(
            fleet, plan, self.folder, self._features, blocks, self.discovery, self.relay, self.checker
        )
        self.discovery.on_change_sent = self._change_sent
        self.discovery.on_watch_opened = self._watch_opened
        self._probes = InForceProbes(self.discovery)
        self._create_clients()
        self.events = EventPlayer(self.discovery, self.backends, self.gateways, plan.seed)

    def _create_clients(self) -> None:
        """Clients that send to the loaded gateways only."""
        members = self.gateways.members
        self.front = ClientLoadBalancer(
            self.loop,
            random.Random(f"front {self.plan.seed}"),
            self.probe,
            {member.name: member.listen for member in members},
            failure_detection_s=(0.3, 1.5),
        )
        self.loaded_names = [member.name for member in members if member.loaded]
        loaded = frozenset(self.loaded_names)
        self.front.weigh_gateways = lambda want, names: [float(name in loaded) for name in names]

    async def _start(self) -> None:
        """Starts every gateway and waits until each has the table."""
        gateways = self.gateways
        for process in gateways.processes:
            gateways.start(process)
        until_s = self.loop.time() + READY_TIMEOUT_S
        while not all(member.ready for member in gateways.members):
            await asyncio.sleep(STEP_S)
            gateways.read_logs()
            ready = sum(member.ready for member in gateways.members)
            self._progress(0.0, self.plan.lasts_s, f"{ready} of {len(gateways.members)} gateways ready")
            self._check_start(overdue=self.loop.time() > until_s)
        self.front.watch_gateways(self.loaded_names)
        await asyncio.sleep(SETTLE_S)

    def _check_start(self, *, overdue: bool) -> None:
        """NotReadyError where a process has ended, or is not ready although it is `overdue`."""
        processes = self.gateways.processes
        failed = next((process for process in processes if not process.alive), None)
        if failed is None and overdue:
            failed = next(p for p in processes if not all(member.ready for member in p.members))
        if failed is None:
            return
        tail = (failed.log.read_text(errors="replace").strip().splitlines() or [""])[-1]
        raise NotReadyError(f"{failed.members[0].name} ({failed.kind.value}) did not start: {tail[:200]}")

    # ---- the day

    async def _play_day(self) -> None:
        """Runs load, churn, events and samples beside each other."""
        self.began_s = time.time()
        began = self.loop.time()
        self._began_monotonic_s = time.monotonic()
        self._machine.append(core_times())
        self.discovery.cut |= self._cut
        for process in self.gateways.processes:
            process.sample(self.began_s, self._control_bytes())
        tasks = [
            self.loop.create_task(one)
            for one in (
                day_load.ask(self.front, self.fleet, self.plan),
                self.events.churn(self.plan.churn.replacements_per_s),
                self._sample(),
                self._record_stalls(),
                *(self._play_event(number) for number in range(len(self.plan.events))),
            )
        ]
        # No change is made in the last seconds, so that all are due before the end.
        quiet_s = self.plan.lasts_s - self.fleet.budgets.in_force_s - self.plan.sample_s
        try:
            while (at_s := self.loop.time() - began) < self.plan.lasts_s:
                if at_s >= quiet_s:
                    tasks[1].cancel()
                self._look()
                self._progress(at_s, self.plan.lasts_s, ", ".join(self._open_spans) or "churn")
                _raise_errors([task for task in tasks if task.done() and not task.cancelled()])
                await asyncio.sleep(LOOK_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self._finish()

    async def _play_event(self, number: int) -> None:
        event = self.plan.events[number]
        await asyncio.sleep(event.at_s)
        name = f"{number}: {text(event)}"
        began_s = self._open_spans[name] = time.time()
        try:
            await self.events.play(event)
        finally:
            del self._open_spans[name]
            self.spans.append((name, began_s, time.time()))

    async def _sample(self) -> None:
        """Each process in turn, spread over the time between two samples of one."""
        pause_s = self.plan.sample_s / len(self.gateways.processes)
        while True:
            for process in self.gateways.processes:
                process.sample(time.time(), self._control_bytes())
                process.ask_counters()
                for member in process.members:
                    if self._probes.needed(member):
                        self._probes.start(member)
                await asyncio.sleep(pause_s)

    async def _record_stalls(self) -> None:
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
        self.gateways.read_logs()
        self._machine.append(core_times())
        now = time.monotonic_ns()
        self.checker.check_due(now)
        self.probe.arrivals.clear()
        self._forget_requests(now - int(FORGET_S * 1e9))
        used = self.gateways.resident_bytes() + resident_bytes()
        self.result.measured_bytes = max(self.result.measured_bytes, used)
        self.gateways.note_unexpected_ends()

    def _forget_requests(self, before_ns: int) -> None:
        """Drops the histories of finished requests whose deadline was earlier."""
        histories = self.checker.histories.items()
        for request in [r for r, h in histories if h.due_ns < before_ns and h.state != "open"]:
            self.checker.forget_request(request)

    async def _finish(self) -> None:
        """Sends no more requests, and waits until all are answered and every gateway has shown its state."""
        until_s = self.loop.time() + ANSWER_TIMEOUT_S
        while (self.front.in_flight or self.front.retries_waiting) and self.loop.time() < until_s:
            await asyncio.sleep(STEP_S)
        if self.front.in_flight:
            self.checker.report_violation(Rule.ANSWER, f"{self.front.in_flight} requests were never answered")
        await self._wait_for_reports(time.time() - LOG_ROUNDING_S)

    async def _wait_for_reports(self, since_s: float) -> None:
        """Waits until every gateway has shown what it has in force, at `since_s` or later."""
        gateways = self.gateways
        for process in gateways.processes:
            process.ask_counters()
        gateways.faults += [
            f"{member.name} was started and does not listen"
            for member in gateways.members
            if member.incarnation is None
        ]
        until_s = self.loop.time() + ANSWER_TIMEOUT_S
        while not all(_has_reported(m, since_s) for m in gateways.members) and self.loop.time() < until_s:
            await asyncio.sleep(STEP_S)
            self._look()
            for member in gateways.members:
                if self._probes.needed(member) and not _has_reported(member, since_s):
                    self._probes.start(member)

    # ---- what the checkers learn of discovery

    def _change_sent(self, gateway: int, entry: EndpointEntry) -> None:
        if self.gateways.members[gateway].loaded:
            self.probe.gateway_notified(name_of(gateway), entry.name, entry.status, entry.since_ms)

    def _watch_opened(self, gateway: int, place: int) -> None:
        """A watch begins: the gateway has got the complete list, or what it lacked of it."""
        if self.gateways.members[gateway].loaded:
            for entry in self.discovery.table.entries.values():
                self._change_sent(gateway, entry)

    # ---- end

    def _judge(self) -> None:
        """Fills the result from what was seen until now; does nothing where the day has not begun."""
        if not self.began_s:
            return
        self.gateways.read_logs()
        now_s = time.time()
        self._machine.append(core_times())
        evidence = self._evidence(now_s)
        result = self.result
        day_result.fill(result, evidence, self.began_s)
        day_result.add_traffic(result, self.discovery.traffic, self.relay.traffic)
        result.breaches = day_result.violation_rows(self.checker.violations, self._began_monotonic_s)
        day_result.add_requests(
            result, ((outcome, count) for (_, outcome), count in self.front.outcomes.items())
        )

    def _evidence(self, now_s: float) -> judge.Evidence:
        open_spans = [(name, began_s, now_s) for name, began_s in self._open_spans.items()]
        return judge.Evidence(
            budgets=self.fleet.budgets,
            members=self.gateways.members,
            changes=self.discovery.changes,
            end_s=now_s,
            cold=self.cold,
            breaches=self.checker.violations,
            attempts=self.checker.counts.attempts,
            bound_nearest=max(self.checker.ceilings.peak_ratio, self.checker.quotas.peak_ratio),
            quota_over=day_rules.units_over_quota(self.checker.quotas),
            faults=self.gateways.all_faults(),
            spans=self.spans + open_spans,
            machine=self._machine,
            stalls=self._stalls,
        )

    def _end_all(self) -> None:
        """Ends whatever was started here, however far the run came."""
        if self.gateways is not None:
            self.gateways.kill_all()
        if self.front is not None:
            self.front.close()
        if self.relay is not None:
            self.relay.close()


def _has_reported(member: Member, since_s: float) -> bool:
    """The gateway has shown what it has in force since then; or it is down, or nothing was sent to it yet."""
    incarnation = member.incarnation
    return incarnation is None or not incarnation.seen or incarnation.seen[-1].at_s >= since_s


def _raise_errors(done: list[asyncio.Task]) -> None:
    """Raises the error of a part of the run: a run with one proves nothing."""
    for task in done:
        task.result()


def play(day: Day) -> bool:
    """Plays a day; False where SIGINT stopped it half way. All that was started has ended."""

    async def main() -> None:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, task.cancel)
        await day.play()

    try:
        asyncio.run(main())
    except asyncio.CancelledError:
        return False
    return True
