"""`demo`: three real gateway processes with emulated services, on free loopback ports."""

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
GATEWAYS, BACKENDS, RACKS = 3, 10, 3
# timeouts for the start of the gateways, and for requests in flight after the last one is sent
READY_TIMEOUT_S, DRAIN_TIMEOUT_S = 15.0, 6.0


class ArrivalObserver:
    """Notifies the checker of events on real sockets, where an attempt is visible only when it arrives at
    a backend, not when a gateway sends it."""

    def __init__(self, checker: Checker) -> None:
        """`checker`: gets every other notification unchanged."""
        self.checker = checker

    def __getattr__(self, name: str) -> Any:
        """Delegates everything else to the checker."""
        return getattr(self.checker, name)

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """Reports an attempt that arrived at a backend as started and completely sent at this moment."""
        attempt = self.checker.attempt_started(gateway, backend, request_id, time.monotonic_ns())
        if attempt is not None:
            self.checker.attempt_completed(request_id, attempt)
        self.checker.attempt_received(backend, request_id, key, gateway, work_ns)


@click.command("demo")
@click.option(
    "--seconds", type=click.IntRange(1, 60), default=4, show_default=True, help="Duration of the load."
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
def command(seconds: int, seed: int) -> int:
    """Starts three gateways with emulated services, plays a short load without faults, and checks the rules.

    Exit code 0 only if every rule held."""
    plan = Plan(seed=seed, gateways=GATEWAYS, boxes=BACKENDS, requests=45 * seconds, last_ms=1000 * seconds)
    with tempfile.TemporaryDirectory(prefix="zincstile-demo-") as folder:
        return asyncio.run(Demo(plan, Path(folder)).play())


def free_ports(count: int, kind: int) -> list[int]:
    """Free ports, chosen by binding sockets to port 0 and closing them."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]


class Demo:
    """One run of the demo."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """`folder`: for the configurations and logs of the gateways."""
        self.plan, self.folder = plan, folder
        self.checker = Checker(traffic.rule_limits(), lambda: (0, time.monotonic_ns()))
        self.observer = ArrivalObserver(self.checker)
        self.processes: list[subprocess.Popen] = []
        self.console = Console()

    async def play(self) -> int:
        """Starts all processes, plays the load and prints the table; returns the exit code."""
        try:
            load_balancer = await self._start()
            if load_balancer is None:
                return 1
            await self._play_load(load_balancer)
            return self._report(load_balancer)
        finally:
            self._stop()

    async def _start(self) -> ClientLoadBalancer | None:
        loop, plan, rng = asyncio.get_running_loop(), self.plan, random.Random(self.plan.seed)
        endpoint_list = EndpointList(self.observer)
        racks = [Rack(traffic.DEDUPLICATION_WINDOW_MS / 1000) for _ in range(RACKS)]
        work = {n: ms * 1_000_000 for n, ms in traffic.WORK_MS.items()}
        for k in range(plan.boxes):
            name = f"s-{k:02x}"
            model = BackendModel(cores=2, speed=rng.uniform(0.8, 1.3), work_ns=work)
            backend = BackendEmulator(
                loop, name, model, racks[k % RACKS], random.Random(k), self.observer, cold=False
            )
            port = await backend.start(HOST)
            zone = traffic.ZONES[k % len(traffic.ZONES)]
            self.checker.add_backend(name, k % len(traffic.ZONES), k % RACKS)
            endpoint_list.put(EndpointEntry(name, f"{HOST}:{port}", zone, "std", k % RACKS))
        listen_ports = free_ports(plan.gateways, socket.SOCK_STREAM)
        peers = [f"{HOST}:{p}" for p in free_ports(plan.gateways, socket.SOCK_DGRAM)]
        for k, port in enumerate(listen_ports):
            agent = DiscoveryAgent(loop, endpoint_list, f"g{k}", self.observer)
            discovery_port = await agent.start(HOST)
            self._start_gateway(
                traffic.configuration(
                    plan,
                    k,
                    f"{HOST}:{port}",
                    f"{HOST}:{discovery_port}",
                    peers,
                    rng.getrandbits(64),
                    agent.snapshot(),
                )
            )
        load_balancer = ClientLoadBalancer(
            loop, rng, self.observer, {f"g{k}": (HOST, p) for k, p in enumerate(listen_ports)}
        )
        load_balancer.watch_gateways()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(load_balancer.healthy.values()):
            if time.monotonic() > deadline or any(p.poll() is not None for p in self.processes):
                down = [n for n, up in load_balancer.healthy.items() if not up]
                print(
                    f"zincstile: demo: gateways not ready: {', '.join(down)}; ends of their logs:",
                    file=sys.stderr,
                )
                for path in sorted(self.folder.glob("*.log")):
                    sys.stderr.write(path.read_text()[-2000:])
                return None
            await asyncio.sleep(0.05)
        return load_balancer

    def _start_gateway(self, table: dict) -> None:
        """Starts the program as a service manager does, without arguments."""
        path = self.folder / f"{table['name']}.json"
        path.write_text(json.dumps(table), encoding="utf-8")
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env["PYTHONPATH"] = str(Path(__file__).resolve().parents[2])
        with open(path.with_suffix(".log"), "w", encoding="utf-8") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "zincstile"],
                    stderr=log,
                    cwd=self.folder,
                    env=env | {"RELAY_CONFIG": str(path)},
                )
            )

    async def _play_load(self, load_balancer: ClientLoadBalancer) -> None:
        loop = asyncio.get_running_loop()
        # the gateways exchange their first heartbeats before the load begins
        requests = traffic.planned_requests(self.plan, loop.time() + 0.5)
        for request in requests:
            loop.call_at(request.at_s, load_balancer.send, request)
        deadline = requests[-1].at_s + DRAIN_TIMEOUT_S
        while loop.time() < deadline and (
            loop.time() < requests[-1].at_s or load_balancer.in_flight or load_balancer.retries_waiting
        ):
            await asyncio.sleep(0.05)
            self.checker.check_due(time.monotonic_ns())

    def _report(self, load_balancer: ClientLoadBalancer) -> int:
        outcomes = ("served", "denied", "failed", "unreached")
        table = Table(
            title=f"{load_balancer.requests_sent} tries by {GATEWAYS} gateways to {BACKENDS} guide boxes"
        )
        for column in ("plan", *outcomes):
            table.add_column(column, justify="left" if column == "plan" else "right")
        for plan in traffic.PLANS:
            table.add_row(
                plan, *(str(load_balancer.outcomes.get((plan, outcome), 0)) for outcome in outcomes)
            )
        self.console.print(table)
        latencies = sorted(load_balancer.latencies_s)
        if latencies:
            median, p99 = (1000 * latencies[int(len(latencies) * share)] for share in (0.5, 0.99))
            self.console.print(
                f"half of the served had their answer within {median:.0f} ms, 99 in 100 within "
                f"{p99:.0f} ms"
            )
        for breach in self.checker.violations:
            self.console.print(f"rule {breach.rule} broken: {breach.text}")
            for line in breach.history:
                self.console.print(f"  {line}")
        if load_balancer.in_flight:
            self.console.print(f"{load_balancer.in_flight} requests were never answered")
        ok = not self.checker.violations and not load_balancer.in_flight and bool(latencies)
        self.console.print("every rule held" if ok else "not every rule held")
        return 0 if ok else 1

    def _stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
