"""The state of one run, and helpers that all of its parts share.

Time limits of rules are extended by `SLACK_NS` or `NEAR_SLACK_NS`, since one machine runs all processes;
bounds and counts are exact.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from ..checkers.checker import Checker
from ..checkers.rules import Rule
from ..emulators.backend import Rack
from ..emulators.client_requests import PlannedRequest
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import EndpointList
from ..emulators.quota_service import QuotaService
from ..simulation import traffic
from ..simulation.plan import SHIM_KINDS, Plan
from ..virtual.network_faults import NetworkFaults, PathFault
from .datagrams import Datagrams
from .fault_proxy import FaultProxy
from .members import Backend, Node
from .probe import Probe, TimeSeries

MS: Final = 1_000_000  # nanoseconds
SLACK_NS: Final = 1500 * MS  # added to limits of a second or more, as one machine runs all processes
NEAR_SLACK_NS: Final = 400 * MS  # added to limits of a fraction of a second
POLL_S: Final = 0.02  # between two checks of a condition
RACKS: Final = 3  # in which the backends are placed


class Testbed:
    """The state of one run with real processes. `features`: files by name, for every gateway."""

    # Set when the run begins:
    loop: asyncio.AbstractEventLoop
    block: int  # of loopback addresses, reserved for this run
    datagrams: Datagrams
    load_balancer: ClientLoadBalancer
    lasted_s: float

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        name: str = "",
        features: dict[str, str] | None = None,
        stated: dict[str, tuple[float, float, float]] | None = None,
        initial_ratio: dict[str, float] | None = None,
    ) -> None:
        """Prepares a run whose processes keep their files in `folder`.

        `stated`: rate, burst and bound of each plan's quota, in place of the default. `initial_ratio`: the
        part of each plan's burst that a gateway starts with.
        """
        self.plan = plan
        self.folder = folder
        self.name = name or f"seed {plan.seed}"
        self.features = features or {}
        self.rng = random.Random(f"field {plan.seed}")
        self.links = NetworkFaults(random.Random(f"links {plan.seed}"))
        self.base = PathFault(loss_ratio=plan.udp_loss, duplicate_ratio=plan.udp_twice)
        figures = traffic.rule_limits()
        figures = replace(
            figures,
            answer_grace_ns=figures.answer_grace_ns + SLACK_NS,
            drain_grace_ns=figures.drain_grace_ns + SLACK_NS,
            disconnect_grace_ns=figures.disconnect_grace_ns + NEAR_SLACK_NS,
            deadline_slack_ns=figures.deadline_slack_ns + NEAR_SLACK_NS,
            max_notification_ns=figures.max_notification_ns + SLACK_NS,
            cold_slack_ns=2 * figures.cold_slack_ns,
        )
        self.stated = stated or traffic.quotas()
        self.initial_ratio = initial_ratio
        self.checker = Checker(figures, lambda: (0, time.monotonic_ns()))
        self.series = TimeSeries()
        self.began_s = time.monotonic()
        self.probe = Probe(self.checker, self.series, lambda: self.began_s)
        self.endpoint_list = EndpointList(self.probe)
        self.racks = [Rack(traffic.DEDUPLICATION_WINDOW_MS / 1000) for _ in range(RACKS)]
        self.backends: dict[str, Backend] = {}
        self.backend_names: list[str] = []
        self.nodes: list[Node] = []
        self.customer_weights: dict[tuple[int, str], float] = {}
        self.weight_rng = random.Random(f"weights {plan.seed}")
        self.preferred_gateways: list[dict[str, None]] = []
        self.quota_services: dict[int, tuple[QuotaService, FaultProxy]] = {}
        self.events: list[tuple[float, str]] = []
        self.names = [f"g{k}" for k in range(plan.gateways)]
        self.backends_made = 0
        self._tasks: dict[asyncio.Task, None] = {}
        self._active_faults: dict[Any, Any] = {}  # by key: the function that removes it
        kinds = {f.kind for f in plan.faults}
        upgraded = [n for f in plan.faults if f.kind == "upgrade" for n in f.targets]
        # The platform holds the listening sockets of these gateways.
        self.upgraded_gateways = {n % plan.gateways for n in upgraded}
        self.has_admin_endpoint = bool(kinds & {"upgrade", "maintenance"})  # gateways have a control endpoint
        self.uses_shim = bool(kinds & {*SHIM_KINDS, "skew"})  # their processes run under the shim
        self.first_start_s = 0.0
        self.ending = False  # every process has been asked to end

    def report_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Reports an error of the testbed itself as a violation, as it makes the run invalid."""
        err = context.get("exception")
        self.checker.report_violation(
            Rule.PROGRESS, f"the testbed: {type(err).__name__}: {err} ({context.get('message')})"
        )

    async def wait_for(self, condition: Callable[[], Any], seconds: float) -> bool:
        """Returns True once the condition holds, False if it does not within this time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(POLL_S)
        return True

    def spawn(self, coro: Coroutine) -> None:
        """Runs a coroutine in the background; it is cancelled at the end of the run."""
        task = self.loop.create_task(coro)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def cancel_tasks(self) -> None:
        """Cancels all running coroutines of `spawn`."""
        for task in list(self._tasks):
            task.cancel()

    def set_network_fault(self, key: Any, pairs: Any, fault: PathFault, on: bool) -> None:
        """Removes the active fault under this key, and injects the new one if `on`."""
        if key in self._active_faults:
            self._active_faults.pop(key)()
        if on:
            self._active_faults[key] = self.links.inject(pairs, fault)

    def after(self, ms: float, then: Callable[..., Any], *args: object) -> None:
        """Calls `then` that many milliseconds from now."""
        self.loop.call_later(ms / 1000, then, *args)

    def note(self, what: str, where: str) -> None:
        """Does nothing: the steps of real processes are not recorded."""

    def weigh_gateways(self, want: PlannedRequest, names: list[str]) -> list[float]:
        """Returns the weights with which a client chooses among these gateways for this request."""
        return traffic.gateway_weights(self, want, names)  # type: ignore[arg-type]
