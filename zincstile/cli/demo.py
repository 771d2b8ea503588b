"""`demo`: the real program three times over, and the stand-ins, on loopback ports that the system chose."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from ..checkers.checker import Checker
from ..emulators.backend import BackendEmulator, BackendModel, Rack
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import DiscoveryAgent, EndpointEntry, EndpointList
from ..simulation import traffic
from ..simulation.plan import Plan

HOST = "127.0.0.1"
GATEWAYS, BOXES, RACKS = 3, 10, 3
READY_S, END_S = 15.0, 6.0  # how long the gateways may take to start, and what is open to end


class Arrivals:
    """The checker's ears on real sockets: an attempt is seen when it arrives, not when it leaves a
    gateway."""

    def __init__(self, checker: Checker) -> None:
        """`checker`: which sees everything else as it is."""
        self.checker = checker

    def __getattr__(self, name: str) -> Any:
        """All else is the checker's."""
        return getattr(self.checker, name)

    def attempt_received(self, box: str, request: bytes, key: bytes, gateway: str, work_ns: int) -> None:
        """An attempt has come to a backend: it counts as sent and as read whole at that moment."""
        one = self.checker.attempt_started(gateway, box, request, time.monotonic_ns())
        if one is not None:
            self.checker.attempt_completed(request, one)
        self.checker.attempt_received(box, request, key, gateway, work_ns)


@click.command("demo")
@click.option(
    "--seconds", type=click.IntRange(1, 60), default=4, show_default=True, help="Length of the load."
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
def command(seconds: int, seed: int) -> int:
    """Starts three gateways and all they speak with, plays a short calm load, and checks the rules.

    Exit 0 only where every rule held."""
    plan = Plan(seed=seed, gateways=GATEWAYS, boxes=BOXES, requests=45 * seconds, last_ms=1000 * seconds)
    with tempfile.TemporaryDirectory(prefix="zincstile-demo-") as folder:
        return asyncio.run(Demo(plan, Path(folder)).play())


def free_ports(count: int, kind: int) -> list[int]:
    """Ports that the system gave and that are free again."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]


class Demo:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """`folder`: where the configurations of the gateways are written."""
        self.plan, self.folder = plan, folder
        self.checker = Checker(traffic.rule_limits(), lambda: (0, time.monotonic_ns()))
        self.witness = Arrivals(self.checker)
        self.programs: list[subprocess.Popen] = []
        self.console = Console()

    async def play(self) -> int:
        """Starts everything, plays the load and prints the table; returns the exit code."""
        try:
            front = await self._start()
            if front is None:
                return 1
            await self._load(front)
            return self._tell(front)
        finally:
            self._stop()

    async def _start(self) -> ClientLoadBalancer | None:
        loop, plan, rng = asyncio.get_running_loop(), self.plan, random.Random(self.plan.seed)
        roster = EndpointList(self.witness)
        racks = [Rack(traffic.DEDUPLICATION_WINDOW_MS / 1000) for _ in range(RACKS)]
        work = {n: ms * 1_000_000 for n, ms in traffic.WORK_MS.items()}
        for k in range(plan.boxes):
            name = f"s-{k:02x}"
            model = BackendModel(cores=2, speed=rng.uniform(0.8, 1.3), work_ns=work)
            box = BackendEmulator(
                loop, name, model, racks[k % RACKS], random.Random(k), self.witness, cold=False
            )
            port = await box.start(HOST)
            zone = traffic.ZONES[k % len(traffic.ZONES)]
            self.checker.add_backend(name, k % len(traffic.ZONES), k % RACKS)
            roster.put(EndpointEntry(name, f"{HOST}:{port}", zone, "std", k % RACKS))
        listens = free_ports(plan.gateways, socket.SOCK_STREAM)
        peers = [f"{HOST}:{p}" for p in free_ports(plan.gateways, socket.SOCK_DGRAM)]
        for k, port in enumerate(listens):
            agent = DiscoveryAgent(loop, roster, f"g{k}", self.witness)
            discovery = await agent.start(HOST)
            self._gateway(
                traffic.configuration(
                    plan,
                    k,
                    f"{HOST}:{port}",
                    f"{HOST}:{discovery}",
                    peers,
                    rng.getrandbits(64),
                    agent.snapshot(),
                )
            )
        front = ClientLoadBalancer(
            loop, rng, self.witness, {f"g{k}": (HOST, p) for k, p in enumerate(listens)}
        )
        front.watch_gateways()
        until = time.monotonic() + READY_S
        while not all(front.healthy.values()):
            if time.monotonic() > until or any(p.poll() is not None for p in self.programs):
                down = [n for n, up in front.healthy.items() if not up]
                print(f"zincstile: demo: not ready: {', '.join(down)}; their logs say:", file=sys.stderr)
                for path in sorted(self.folder.glob("*.log")):
                    sys.stderr.write(path.read_text()[-2000:])
                return None
            await asyncio.sleep(0.05)
        return front

    def _gateway(self, table: dict) -> None:
        """The program as the platform starts it, without words."""
        path = self.folder / f"{table['name']}.json"
        path.write_text(json.dumps(table), encoding="utf-8")
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env["PYTHONPATH"] = str(Path(__file__).resolve().parents[2])
        with open(path.with_suffix(".log"), "w", encoding="utf-8") as log:
            self.programs.append(
                subprocess.Popen(
                    [sys.executable, "-m", "zincstile"],
                    stderr=log,
                    cwd=self.folder,
                    env=env | {"RELAY_CONFIG": str(path)},
                )
            )

    async def _load(self, front: ClientLoadBalancer) -> None:
        loop = asyncio.get_running_loop()
        wants = traffic.planned_requests(
            self.plan, loop.time() + 0.5
        )  # the first beats of the gateways pass by then
        for want in wants:
            loop.call_at(want.at_s, front.send, want)
        last = wants[-1].at_s + END_S
        while loop.time() < last and (
            loop.time() < wants[-1].at_s or front.in_flight or front.retries_waiting
        ):
            await asyncio.sleep(0.05)
            self.checker.check_due(time.monotonic_ns())

    def _tell(self, front: ClientLoadBalancer) -> int:
        kinds = ("served", "denied", "failed", "unreached")
        table = Table(title=f"{front.requests_sent} tries by {GATEWAYS} gateways to {BOXES} guide boxes")
        for name in ("plan", *kinds):
            table.add_column(name, justify="left" if name == "plan" else "right")
        for plan in traffic.PLANS:
            table.add_row(plan, *(str(front.outcomes.get((plan, kind), 0)) for kind in kinds))
        self.console.print(table)
        waits = sorted(front.latencies_s)
        if waits:
            half, most = (1000 * waits[int(len(waits) * share)] for share in (0.5, 0.99))
            self.console.print(
                f"half of the served had their answer within {half:.0f} ms, 99 in 100 within "
                f"{most:.0f} ms"
            )
        for breach in self.checker.violations:
            self.console.print(f"rule {breach.rule} broken: {breach.text}")
            for line in breach.history:
                self.console.print(f"  {line}")
        if front.in_flight:
            self.console.print(f"{front.in_flight} requests were never answered")
        ok = not self.checker.violations and not front.in_flight and bool(waits)
        self.console.print("every rule held" if ok else "not every rule held")
        return 0 if ok else 1

    def _stop(self) -> None:
        for program in self.programs:
            if program.poll() is None:
                program.send_signal(signal.SIGTERM)
        for program in self.programs:
            try:
                program.wait(10)
            except subprocess.TimeoutExpired:
                program.kill()
                program.wait()
