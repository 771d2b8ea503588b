"""The state of one run that all parts of it share, and the small tools that they share with it.

Times that a rule allows are wider here by `SLACK_NS`, since this machine runs everything at once; bounds and
counts are exact.
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
SLACK_NS: Final = 1500 * MS  # of what has to be done in time, on a machine that does all at once
NEAR_SLACK_NS: Final = 400 * MS  # of what is a fraction of a second by itself
POLL_S: Final = 0.02  # between two checks of a condition
RACKS: Final = 3  # that the backends stand in


class Testbed:
    """The state of one run, with real processes. `features`: files in every gateway's settings, by name."""

    # Made when the run begins:
    loop: asyncio.AbstractEventLoop
    block: int  # of loopback addresses, this run's own
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
        """Prepare a run whose processes keep their files in `folder`.

        `stated`: rate, burst and bound of each plan's quota, in place of the usual ones. `initial_ratio`: the
        part of each plan's burst that a gateway begins with.
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
        self._active_faults: dict[Any, Any] = {}  # by key: what removes it
        kinds = {f.kind for f in plan.faults}
        upgraded = [n for f in plan.faults if f.kind == "upgrade" for n in f.targets]
        self.upgraded_gateways = {
            n % plan.gateways for n in upgraded
        }  # the platform holds their listening sockets
        self.has_admin_endpoint = bool(kinds & {"upgrade", "maintenance"})  # gateways have a control endpoint
        self.uses_shim = bool(kinds & {*SHIM_KINDS, "skew"})  # their processes run under the shim
        self.first_start_s = 0.0
        self.ending = False  # every process has been asked to end

    def report_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """An error of the testbed itself: a run that has one proves nothing."""
        err = context.get("exception")
        self.checker.report_violation(
            Rule.PROGRESS, f"the field: {type(err).__name__}: {err} ({context.get('message')})"
        )

    async def wait_for(self, condition: Callable[[], Any], seconds: float) -> bool:
        """True once the condition holds, False where it does not within the time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(POLL_S)
        return True

    def spawn(self, coro: Coroutine) -> None:
        """Runs a coroutine beside everything else; what is left of it at the end of the run is cancelled."""
        task = self.loop.create_task(coro)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def cancel_tasks(self) -> None:
        """Cancels every coroutine of `spawn` that has not ended."""
        for task in list(self._tasks):
            task.cancel()

    def set_network_fault(self, key: Any, pairs: Any, fault: PathFault, on: bool) -> None:
        """Injects a fault on paths under this key, or removes the one that is there."""
        if key in self._active_faults:
            self._active_faults.pop(key)()
        if on:
            self._active_faults[key] = self.links.inject(pairs, fault)

    def after(self, ms: float, then: Callable[..., Any], *args: object) -> None:
        """Calls `then` that many milliseconds from now."""
        self.loop.call_later(ms / 1000, then, *args)

    def note(self, what: str, where: str) -> None:
        """Nothing is recorded step by step: real processes have no steps that are ours."""

    def weigh_gateways(self, want: PlannedRequest, names: list[str]) -> list[float]:
        """How likely a client asks each of these gateways for this request."""
        return traffic.gateway_weights(self, want, names)  # type: ignore[arg-type]
