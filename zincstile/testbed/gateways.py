"""The gateways of a run: real processes, started, signalled and upgraded as the platform does it."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import socket
from pathlib import Path
from typing import Any

from ..emulators.misbehaving_client import MisbehavingClient
from ..simulation import traffic
from . import places
from .counter_names import by_stored_name
from .members import Seat
from .programs import Program, told
from .shim_control import Knob
from .testbed import MS, Testbed

GONE_S = 12.0  # a process that was told to end may take so long
UPGRADE_S = 10.0  # an upgrade waits so long for its new version


class GatewayProcesses(Testbed):
    """Starts, stops and disturbs the gateways, as a plan's faults ask for it, and reads their logs."""

    # ---- configuration

    def _listening_socket(self, seat: Seat) -> socket.socket:
        """The clients' socket, held here for all versions of a gateway."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((places.gateway(self.block, seat.number), places.CLIENTS_PORT))
        sock.listen(1024)
        return sock

    def _write_configuration(self, seat: Seat, half: bool = False) -> Path:
        """Writes a gateway's configuration file as it has to be now, or half of it."""
        plan, number = self.plan, seat.number
        seed = random.Random(f"{seat.name} {plan.seed} {seat.starts}").getrandbits(64)
        table = traffic.configuration(
            plan,
            number,
            seat.listen,
            seat.discovery,
            self.datagrams.peers(number),
            seed,
            self._known_list(seat),
        )
        if self.features:
            table["features"] = self.features
        if self.counters:
            table["counter"] = self.counters[seat.counter][1].address(number)
        if self._operated:
            seat.operators = f"{places.gateway(self.block, number)}:{places.CONTROL_PORT + seat.starts}"
            table["control"] = seat.operators
        path = seat.folder / "config.json"
        text = json.dumps(table)
        path.write_text(text[: len(text) // 2] if half else text, encoding="utf-8")
        return path

    def _known_list(self, seat: Seat) -> dict[str, Any]:
        """The list that a gateway starts with."""
        return seat.agent.snapshot() if self.plan.known else {}

    # ---- processes

    def start_gateway(self, seat: Seat) -> None:
        """Starts it as the platform does: from nothing but its file and the last list. Not once the run ends:
        what a plan starts late would be told of the end by nobody."""
        if self.ending:
            return
        self._keep_counters(seat)
        seat.starts += 1
        seat.stopping, seat.may_die = False, bool(seat.shim.get(Knob.KILL_IN_WRITE))
        if seat.socket is not None:  # the platform's: it has taken connections on
            self.checker.excuse_gateway(seat.name)
        self.checker.gateway_started(seat.name)
        seat.program = self._start_program(seat)

    def _start_program(self, seat: Seat) -> Program:
        env = {"RELAY_CONFIG": str(self._write_configuration(seat)), "TMPDIR": str(seat.folder / "tmp")}
        words = ["-m", "zincstile"]
        if seat.skew_ns:
            seat.shim.set(Knob.WALL_OFFSET_S, seat.skew_ns / 1e9)
        if self._shimmed:
            words = ["-m", "zincstile.testbed.shim", str(seat.folder / "shim")]
        if seat.socket is not None:
            env["RELAY_SOCKET_FD"] = str(seat.socket.fileno())
        return Program(
            words,
            env,
            seat.folder / "log",
            self.folder,
            seat.socket.fileno() if seat.socket is not None else None,
        )

    def _keep_counters(self, seat: Seat) -> None:
        """Adds what the process that ends has counted to what is kept of its gateway."""
        if seat.program is not None:
            self._read_log(seat)
            for name, n in seat.latest.items():
                seat.counters[name] = seat.counters.get(name, 0) + n
            seat.latest = {}

    def died_as_planned(self, name: str) -> bool:
        """Its process was killed in the middle of a write, as the plan had it."""
        seat = self.seats[self.names.index(name)]
        program = seat.program
        return (
            seat.may_die
            and program is not None
            and not program.alive
            and program.process.returncode == -signal.SIGKILL
        )

    def running(self, seat: Seat) -> bool:
        """A process of it is alive."""
        return seat.program is not None and seat.program.alive

    def kill(self, seat: Seat) -> None:
        """SIGKILL."""
        if self.running(seat):
            self.checker.gateway_ended(seat.name)
            seat.program.kill()

    def terminate(self, seat: Seat) -> None:
        """SIGTERM, once for each process."""
        if self.running(seat) and not seat.stopping:
            seat.stopping = True
            self.checker.record_event(f"{seat.name} gets SIGTERM")
            seat.program.terminate()

    def pause(self, seat: Seat, ms: float) -> None:
        """It gets no processor time for so long."""
        self.checker.gateway_paused(seat.name, int(ms * MS))
        seat.program.signal(signal.SIGSTOP)
        self.after(ms, seat.program.signal, signal.SIGCONT)

    def reload(self, seat: Seat, half: bool = False) -> None:
        """SIGHUP, with the file as it has to be now, or half of it; not half where a start reads it first."""
        if half and not seat.program.up:
            return
        self._write_configuration(seat, half)
        seat.program.signal(signal.SIGHUP)

    def step_clock(self, seat: Seat, seconds: float) -> None:
        """The wall clock of its machine is off by so much from now on, for later processes too."""
        self.checker.record_event(f"the wall clock of {seat.name} is {seconds:+g} s off")
        seat.shim.set(Knob.WALL_OFFSET_S, seconds)

    def set_knob(self, seat: Seat, name: str, value: float) -> None:
        """A value of the shim of its processes."""
        seat.shim.set(Knob[name], value)
        if name == Knob.KILL_IN_WRITE.name:
            seat.may_die = seat.may_die or bool(value)

    def move_discovery(self, seat: Seat) -> None:
        """Its discovery listens at a new address too, which the file names from now on."""
        self._spawn(self._move_discovery(seat))

    async def _move_discovery(self, seat: Seat) -> None:
        await seat.agent.start("")
        seat.discovery = seat.proxy.address(seat.number)

    def upgrade(self, seat: Seat) -> None:
        """The next version takes over on the same socket, unless one is doing so already."""
        if self.running(seat) and seat.older is None and not seat.stopping:
            self._spawn(self._upgrade(seat))

    async def _upgrade(self, seat: Seat) -> None:
        """The next version starts beside this one; once it is ready, this one gets SIGTERM."""
        seat.starts += 1
        seat.older, seat.program = seat.program, self._start_program(seat)
        newer, older = seat.program, seat.older
        text = b" ready with "
        await self._wait_for(
            lambda: newer.log.read_bytes().count(text) >= seat.starts or not newer.alive, UPGRADE_S
        )
        older.terminate()
        await self._wait_for(lambda: not older.alive, GONE_S)
        older.kill()
        self._read_log(seat)
        seat.older = None

    def rude(self, seat: Seat, client: MisbehavingClient) -> None:
        """A client that keeps to no protocol connects."""
        self._spawn(self._connect_rude(seat, client))

    async def _connect_rude(self, seat: Seat, client: MisbehavingClient) -> None:
        host, port = seat.listen.split(":")
        with contextlib.suppress(OSError):
            await self.loop.create_connection(lambda: client, host, int(port))

    # ---- logs

    def _check_exits(self) -> None:
        """Reports processes that ended without having been told to."""
        for seat in self.seats:
            program = seat.program
            gone = program is not None and not program.alive
            if (
                seat.socket is not None
                and seat.stopping
                and gone
                and seat.name not in self.checker.ended_gateways
            ):
                self.checker.gateway_ended(
                    seat.name
                )  # the platform's socket takes connections on, for nobody
            if program is not None and not program.alive and not program.asked_to_end:
                program.asked_to_end = True
                if self.died_as_planned(seat.name):
                    self.checker.gateway_ended(seat.name)
                    continue
                code = program.process.returncode
                self.checker.report_fault(seat.name, f"the process ended by itself, exit {code}")
                self.checker.gateway_ended(seat.name)

    def _read_log(self, seat: Seat) -> None:
        """Takes in what its processes have logged since the last time: faults, counters, state."""
        for program in (seat.older, seat.program):
            for line in program.news() if program is not None else ():
                program.up = program.up or " start listening on " in line
                if " fault " in line:
                    self.checker.report_fault(seat.name, line.split(" fault ", 1)[1])
                if " late held up " in line:
                    self.checker.record_event(
                        f"{seat.name} says at {line.split()[0]}: {line.split(' late ', 1)[1]}"
                    )
                if " violated " in line:
                    self.checker.report_invariant(seat.name, line.split(" violated ", 1)[1])
                found = told(line, "counters")
                if found is not None and program is seat.program:
                    seat.latest = by_stored_name(found)
                    self._record_figures(seat, seat.latest)
                believed = told(line, "state")
                if believed is not None and program is seat.program:
                    seat.believes = believed
                    self._record_figures(seat, believed)

    def _record_figures(self, seat: Seat, found: dict[str, float]) -> None:
        key = int(self.loop.time() - self.began_s), seat.name
        self.series.figures.setdefault(key, {}).update(found)
