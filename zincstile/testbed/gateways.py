"""The gateways of a run: starts, signals and upgrades real processes as the platform does."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import socket
from pathlib import Path
from typing import Any, Final

from ..emulators.misbehaving_client import MisbehavingClient
from ..simulation import traffic
from . import places
from .counter_names import by_stored_name
from .members import Node
from .programs import Program, parse_log_line
from .shim_control import Knob
from .testbed import MS, Testbed

EXIT_TIMEOUT_S: Final = 12.0  # for a process to exit after SIGTERM
UPGRADE_TIMEOUT_S: Final = 10.0  # for the new version to get ready in an upgrade


class GatewayProcesses(Testbed):
    """Starts, stops and disturbs the gateways as the plan's faults require, and reads their logs."""

    # ---- configuration

    def open_listening_socket(self, node: Node) -> socket.socket:
        """Returns the listening socket for clients, which stays open here across versions of a gateway."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((places.gateway_address(self.block, node.number), places.CLIENTS_PORT))
        sock.listen(1024)
        return sock

    def _write_configuration(self, node: Node, half: bool = False) -> Path:
        """Writes a gateway's current configuration file; with `half` only its first half."""
        plan, number = self.plan, node.number
        seed = random.Random(f"{node.name} {plan.seed} {node.starts}").getrandbits(64)
        table = traffic.configuration(
            plan,
            number,
            node.listen,
            node.discovery,
            self.datagrams.peers(number),
            seed,
            self.known_list(node),
        )
        if self.features:
            table["features"] = self.features
        if self.quota_services:
            table["counter"] = self.quota_services[node.quota_service_number][1].address(number)
        if self.has_admin_endpoint:
            node.admin_address = (
                f"{places.gateway_address(self.block, number)}:{places.CONTROL_PORT + node.starts}"
            )
            table["control"] = node.admin_address
        path = node.folder / "config.json"
        text = json.dumps(table)
        path.write_text(text[: len(text) // 2] if half else text, encoding="utf-8")
        return path

    def known_list(self, node: Node) -> dict[str, Any]:
        """Returns the endpoint list that a gateway starts with."""
        return node.agent.snapshot() if self.plan.known else {}

    # ---- processes

    def start_gateway(self, node: Node) -> None:
        """Starts a gateway as the platform does, from its configuration and the last list. Does nothing once
        the run is ending, as no one would stop the process."""
        if self.ending:
            return
        self._keep_counters(node)
        node.starts += 1
        node.stopping, node.may_die = False, bool(node.shim.get(Knob.KILL_IN_WRITE))
        if node.socket is not None:  # the platform's socket has queued connections meanwhile
            self.checker.waive_answer_deadlines(node.name)
        self.checker.gateway_started(node.name)
        node.program = self._start_program(node)

    def _start_program(self, node: Node) -> Program:
        env = {"RELAY_CONFIG": str(self._write_configuration(node)), "TMPDIR": str(node.folder / "tmp")}
        arguments = ["-m", "zincstile"]
        if node.skew_ns:
            node.shim.set(Knob.WALL_OFFSET_S, node.skew_ns / 1e9)
        if self.uses_shim:
            arguments = ["-m", "zincstile.testbed.shim", str(node.folder / "shim")]
        if node.socket is not None:
            env["RELAY_SOCKET_FD"] = str(node.socket.fileno())
        return Program(
            arguments,
            env,
            node.folder / "log",
            self.folder,
            node.socket.fileno() if node.socket is not None else None,
        )

    def _keep_counters(self, node: Node) -> None:
        """Adds the counters of the ended process to the totals of its gateway."""
        if node.program is not None:
            self.read_log(node)
            for name, count in node.latest.items():
                node.counters[name] = node.counters.get(name, 0) + count
            node.latest = {}

    def died_as_planned(self, name: str) -> bool:
        """Returns whether its process was killed during a write, as planned."""
        node = self.nodes[self.names.index(name)]
        program = node.program
        return (
            node.may_die
            and program is not None
            and not program.alive
            and program.process.returncode == -signal.SIGKILL
        )

    def is_running(self, node: Node) -> bool:
        """Returns whether a process of the gateway is alive."""
        return node.program is not None and node.program.alive

    def kill(self, node: Node) -> None:
        """Sends SIGKILL."""
        if self.is_running(node):
            self.checker.gateway_ended(node.name)
            node.program.kill()

    def terminate(self, node: Node) -> None:
        """Sends SIGTERM, once for each process."""
        if self.is_running(node) and not node.stopping:
            node.stopping = True
            self.checker.record_event(f"{node.name} gets SIGTERM")
            node.program.terminate()

    def pause(self, node: Node, ms: float) -> None:
        """Stops the process for this time with SIGSTOP."""
        self.checker.gateway_paused(node.name, int(ms * MS))
        node.program.signal(signal.SIGSTOP)
        self.after(ms, node.program.signal, signal.SIGCONT)

    def reload(self, node: Node, half: bool = False) -> None:
        """Writes the configuration and sends SIGHUP. Does nothing for `half` before the process listens,
        since its start would read the half file."""
        if half and not node.program.listening:
            return
        self._write_configuration(node, half)
        node.program.signal(signal.SIGHUP)

    def step_clock(self, node: Node, seconds: float) -> None:
        """Sets the offset of the wall clock for the running process and later ones."""
        self.checker.record_event(f"the wall clock of {node.name} is {seconds:+g} s off")
        node.shim.set(Knob.WALL_OFFSET_S, seconds)

    def set_knob(self, node: Node, name: str, value: float) -> None:
        """Sets a value of the shim of its processes."""
        node.shim.set(Knob[name], value)
        if name == Knob.KILL_IN_WRITE.name:
            node.may_die = node.may_die or bool(value)

    def move_discovery(self, node: Node) -> None:
        """Lets its discovery listen at a new address too, which the configuration names from now on."""
        self.spawn(self._move_discovery(node))

    async def _move_discovery(self, node: Node) -> None:
        await node.agent.start("")
        node.discovery = node.proxy.address(node.number)

    def upgrade(self, node: Node) -> None:
        """Starts an upgrade to the next version on the same socket, unless one is in progress."""
        if self.is_running(node) and node.older is None and not node.stopping:
            self.spawn(self._upgrade(node))

    async def _upgrade(self, node: Node) -> None:
        """Starts the next version beside the running one, which gets SIGTERM once the next one is ready."""
        node.starts += 1
        node.older, node.program = node.program, self._start_program(node)
        newer, older = node.program, node.older
        ready_text = b" ready with "
        await self.wait_for(
            lambda: newer.log.read_bytes().count(ready_text) >= node.starts or not newer.alive,
            UPGRADE_TIMEOUT_S,
        )
        older.terminate()
        await self.wait_for(lambda: not older.alive, EXIT_TIMEOUT_S)
        older.kill()
        self.read_log(node)
        node.older = None

    def connect_misbehaving_client(self, node: Node, client: MisbehavingClient) -> None:
        """Connects a client that violates the protocol."""
        self.spawn(self._connect_misbehaving_client(node, client))

    async def _connect_misbehaving_client(self, node: Node, client: MisbehavingClient) -> None:
        host, port = node.listen.split(":")
        with contextlib.suppress(OSError):
            await self.loop.create_connection(lambda: client, host, int(port))

    # ---- logs

    def check_exits(self) -> None:
        """Reports processes that exited without being asked to."""
        for node in self.nodes:
            program = node.program
            exited = program is not None and not program.alive
            if (
                node.socket is not None
                and node.stopping
                and exited
                and node.name not in self.checker.ended_gateways
            ):
                # The platform's socket queues connections, but no process accepts them.
                self.checker.gateway_ended(node.name)
            if program is not None and not program.alive and not program.asked_to_end:
                program.asked_to_end = True
                if self.died_as_planned(node.name):
                    self.checker.gateway_ended(node.name)
                    continue
                code = program.process.returncode
                self.checker.report_fault(node.name, f"the process exited unexpectedly with code {code}")
                self.checker.gateway_ended(node.name)

    def read_log(self, node: Node) -> None:
        """Reads new log lines of its processes: faults, counters and state."""
        for program in (node.older, node.program):
            for line in program.new_lines() if program is not None else ():
                program.listening = program.listening or " start listening on " in line
                if " fault " in line:
                    self.checker.report_fault(node.name, line.split(" fault ", 1)[1])
                if " late event loop delayed by " in line:
                    self.checker.record_event(
                        f"{node.name} says at {line.split()[0]}: {line.split(' late ', 1)[1]}"
                    )
                if " violated " in line:
                    self.checker.report_invariant(node.name, line.split(" violated ", 1)[1])
                counters = parse_log_line(line, "counters")
                if counters is not None and program is node.program:
                    node.latest = by_stored_name(counters)
                    self._record_figures(node, node.latest)
                state = parse_log_line(line, "state")
                if state is not None and program is node.program:
                    node.state = state
                    self._record_figures(node, state)

    def _record_figures(self, node: Node, values: dict[str, float]) -> None:
        key = int(self.loop.time() - self.began_s), node.name
        self.series.figures.setdefault(key, {}).update(values)
