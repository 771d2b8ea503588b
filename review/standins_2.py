"""Stand-ins and the frame of the review's cases 6 to 10: discovery's agent, backends, clients, one gateway process.

Standard library only. All of it runs in one event loop; the gateways are processes that the command `run` of the deploy
file starts. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
FIRST_OUTGOING_PORT = 32768  # of a Linux machine that is not configured otherwise


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on at present, for TCP and for UDP.

    They lie below those that the system gives to outgoing connections, or one of these could take a port
    before its gateway does.
    """
    rng, ports = random.SystemRandom(), []
    for _ in range(10000):
        port = rng.randrange(10000, FIRST_OUTGOING_PORT)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def settings(gateways: int, number: int, **changes: Any) -> dict[str, Any]:
    """The example of WIRE for a deployment like banqiao-hq; `changes` replace top-level keys."""
    every = {
        "balancers": gateways,
        "classes": [
            {
                "aim_ns": 1000000000,
                "deadline_ns": 3000000000,
                "effect": "free",
                "gain": 2.0,
                "group": "all",
                "late_worth": 0.2,
                "name": "guide-read",
                "stream": False,
                "window_ns": 5000000000,
            },
            {
                "aim_ns": 600000000,
                "deadline_ns": 1500000000,
                "effect": "free",
                "gain": 1.0,
                "group": "all",
                "late_worth": 0.2,
                "name": "settings-save",
                "stream": False,
                "window_ns": 5000000000,
            },
            {
                "aim_ns": 750000000,
                "deadline_ns": 3000000000,
                "effect": "guarded",
                "gain": 2.0,
                "group": "cell",
                "late_worth": 0.0,
                "name": "ppv-order",
                "stream": False,
                "window_ns": 6000000000,
            },
        ],
        "clients": {"marks_retry": False},
        "discovery": "pushed",
        "domain": {
            "call_price": 0.02,
            "cost_after": False,
            "counter_timeout_ns": 50000000,
            "meter_period_ns": 0,
            "peer_intake": 60.0,
            "shared_counter": True,
            "units_top": 6,
        },
        "layers": ["guide-fleet"],
        "limits": {
            "cancel": True,
            "connect_timeout_ns": 250000000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "idle_close_ns": 30000000000,
            "max_open": 20000,
            "max_retry_after_ns": 1000000000,
            "may_duplicate": True,
            "multiplex": 100,
            "peers": True,
            "probes": True,
            "retry_after": False,
            "send_cap": 6,
        },
        "obligations": {
            "ask_within_ns": 10000000000,
            "drain_grace_ns": 250000000,
            "fall_ns": 3000000000,
            "grace_to_answer_ns": 8000000,
            "overload_factor": 2.0,
            "start_capacity": 0.25,
            "warm_up_ns": 18000000000,
        },
        "ordinal": number,
        "plans": [
            {
                "beyond_costs": 0.6,
                "burst": 12.0,
                "concurrency": 0,
                "hard_burst": 0.0,
                "name": "basic",
                "never_over_rate": 0.0,
                "over_worth": 0.0,
                "price": 0.55,
                "refill": 1.9,
                "tolerance": 0.0,
            },
            {
                "beyond_costs": 1.2,
                "burst": 27.0,
                "concurrency": 0,
                "hard_burst": 0.0,
                "name": "standard",
                "never_over_rate": 0.0,
                "over_worth": 0.0,
                "price": 0.8,
                "refill": 5.8,
                "tolerance": 0.0,
            },
            {
                "beyond_costs": 1.2,
                "burst": 41.0,
                "concurrency": 3,
                "hard_burst": 71.0,
                "name": "plus",
                "never_over_rate": 30.0,
                "over_worth": 0.0,
                "price": 1.3,
                "refill": 16.0,
                "tolerance": 7.0,
            },
            {
                "beyond_costs": 1.0,
                "burst": 79.0,
                "concurrency": 0,
                "hard_burst": 0.0,
                "name": "premium",
                "never_over_rate": 0.0,
                "over_worth": 0.0,
                "price": 1.8,
                "refill": 60.0,
                "tolerance": 0.0,
            },
        ],
        "prices": {
            "connection": 0.0,
            "cross_zone": 0.0091,
            "discovery": 0.0,
            "handshake": 0.0,
            "late_fail": 0.08,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.021,
            "probe": 0.0074,
            "waste": 0.03,
        },
        "result_mix": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "round_ns": 2000000,
        "skus": ["std-4", "old-4"],
        "telemetry": {"fields": ["rif", "lat_ms", "q"], "via": "piggyback"},
        "tier": 0,
        "weights": "silent",
        "workload": "gate",
        "zone": number % 3,
        "zones": ["floor-3", "floor-4", "floor-5"],
    }
    return every | changes


class Record:
    """What was sent, answered and run; written to `record.txt` beside the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.start = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")
        self.broken: list[str] = []

    def line(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.line(text)
        self.file.flush()
        print(text, flush=True)

    def breaks(self, text: str) -> None:
        self.broken.append(text)
        self.say(f"RULE BROKEN: {text}")


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


# ---- RESP


class Commands:
    """Reads RESP2 arrays of bulk strings from chunks."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        self.buffer += data
        found = []
        while (one := self._take()) is not None:
            found.append(one)
        return found

    def _take(self) -> list[bytes] | None:
        at = self.buffer.find(b"\r\n")
        if at < 0:
            return None
        count, at, words = int(self.buffer[1:at]), at + 2, []
        for _ in range(count):
            end = self.buffer.find(b"\r\n", at)
            if end < 0:
                return None
            size = int(self.buffer[at + 1 : end])
            at = end + 2
            if len(self.buffer) < at + size + 2:
                return None
            words.append(bytes(self.buffer[at : at + size]))
            at += size + 2
        del self.buffer[:at]
        return words


def command(*words: bytes | str) -> bytes:
    raw = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in raw)


# ---- discovery's agent


class Agent:
    """The agent on one gateway's machine. What it has it tells at once on each open watch."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.calls = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def put(self, entry: dict[str, Any], *, tell: bool = True) -> None:
        """The agent has a change from now on; with `tell` False its watches end instead of telling it."""
        self.index += 1
        if entry["status"] == "Gone":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        self.record.line(f"{self.name} has index {self.index}: {entry['name']} {entry['status']}")
        for writer in list(self.watches):
            if tell:
                self._tell(writer)
            else:
                self.end(writer)

    def end(self, writer: asyncio.StreamWriter) -> None:
        """Ends one watch in order: the last chunk, then the end of the connection."""
        if self.watches.pop(writer, None) is not None:
            writer.write(b"0\r\n\r\n")
            writer.close()
            self.record.line(f"{self.name} ends a watch")

    def reset(self) -> None:
        """Resets all open watches."""
        for writer in list(self.watches):
            self.watches.pop(writer)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            self.record.line(f"{self.name} resets a watch")

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        since = self.watches[writer]
        latest = {entry["name"]: entry for index, entry in self.changes if index > since}
        if latest:
            self.watches[writer] = self.index
            self._chunk(
                writer,
                json.dumps(
                    {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
                ).encode(),
            )

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            target = head.split(b" ", 2)[1].decode()
            self.record.line(f"{self.name} gets the call {target}")
            if "stream=1" not in target:
                body = json.dumps(self.known()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            asked = int(target.partition("index=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[writer] = self.index
            if 0 < asked <= self.index:  # it has every change since the list it started with
                self.watches[writer] = asked
                self._tell(writer)
            else:
                self._chunk(writer, json.dumps(self.known()).encode())
            while writer in self.watches:
                await asyncio.sleep(2)
                if writer in self.watches:
                    self._chunk(writer, b"")
        self.watches.pop(writer, None)


def entry(name: str, port: int, number: int, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
    return {
        "name": name,
        "address": f"{HOST}:{port}",
        "zone": f"floor-{3 + number % 3}",
        "type": "std-4" if number % 3 else "old-4",
        "group": number % 3,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


# ---- backends


class Backend:
    """One backend that serves each command after `work_s`. `draining`: it turns new commands away.

    `answer(connection, words)` may be replaced; it returns the bytes of the answer, or None if it wrote itself.
    """

    def __init__(self, record: Record, name: str, number: int, work_s: float = 0.02) -> None:
        self.record, self.name, self.number, self.work_s = record, name, number, work_s
        self.draining = False
        self.port = 0
        self.made = 0
        self.open = 0
        self.commands: list[tuple[float, bytes]] = []  # when the first byte came, and the request's id
        self.answer: Callable[[asyncio.StreamWriter, list[bytes]], Awaitable[bytes | None]] = self.value
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    def entry(self, status: str = "Ready") -> dict[str, Any]:
        return entry(self.name, self.port, self.number, status)

    def report(self) -> bytes:
        return b"inflight=%d,latency_ms=%.1f,queue=0" % (self.open, 1000 * self.work_s)

    def whole(self, value: bytes) -> bytes:
        report = self.report()
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)

    async def value(self, writer: asyncio.StreamWriter, words: list[bytes]) -> bytes | None:
        await asyncio.sleep(self.work_s)
        self.made += 1
        return self.whole(b"%b:%b:%d" % (self.name.encode(), words[2], self.made))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands, first = Commands(), 0.0
        with contextlib.suppress(OSError), contextlib.closing(writer):
            while data := await reader.read(65536):
                now = time.monotonic()
                first = first or now
                for words in commands.feed(data):
                    await self._handle(writer, words, first)
                    first = now if commands.buffer else 0.0

    async def _handle(self, writer: asyncio.StreamWriter, words: list[bytes], first: float) -> None:
        verb = words[0].upper()
        if verb in (b"CALL.GET", b"CALL.POST"):
            self.commands.append((first, words[2]))
            self.record.line(f"{self.name} gets {b' '.join(words[:4]).decode()}")
            if self.draining:
                writer.write(b"-BUSY\r\n")
                return
            self.open += 1
            try:
                answer = await self.answer(writer, words)
            finally:
                self.open -= 1
            if answer is not None:
                writer.write(answer)
                await writer.drain()
        elif verb == b"PING":
            writer.write(b"+PONG\r\n")
        elif verb == b"INFO":
            writer.write(b"$%d\r\n%b\r\n" % (len(self.report()), self.report()))
        else:
            writer.write(b"-ERR unknown\r\n")


# ---- clients

PLANS = {"basic": 1, "standard": 1, "plus": 1, "premium": 4}


class Call:
    """One request of a client: its words, and what came of it."""

    def __init__(
        self,
        rng: random.Random,
        name: str,
        plan: str,
        timeout_ms: int,
        spread: int,
        first: int,
        units: int = 1,
        customer: int | None = None,
    ) -> None:
        self.id = b"%016x" % rng.getrandbits(64)
        self.customer = b"%016x" % (rng.getrandbits(32) if customer is None else customer)
        self.timeout_s = timeout_ms / 1000
        fields = f"c={name},t={plan},d={timeout_ms},"
        keyed = name == "ppv-order"
        fields += f"k={rng.getrandbits(64):016x}," if keyed else ""
        fields += f"units={units},spread={spread},first={first}"
        words = ["CALL.POST" if keyed else "CALL.GET", self.customer, self.id, fields]
        self.bytes = command(*words, *(["order"] if keyed else []))
        self.outcome = "none"
        self.text = b""
        self.sent = 0.0
        self.answered = 0.0


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Reads one whole reply of a gateway; raises IncompleteReadError where the connection ends before."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line[1:2] != b"-":
        return line + await reader.readexactly(int(line[1:-2]) + 2)
    return line


def kind(reply: bytes) -> str:
    if reply[:1] == b"$" and reply[:2] != b"$-":
        return "served"
    return "refused" if reply.startswith(b"-BUSY") else "failed"


class Front:
    """Keeps connections to one gateway; a request takes one that rests, or a new one."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.rest: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.counts: dict[str, int] = {}

    async def ping(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command("PING"))
                reply = await read_reply(reader)
                writer.close()
                return reply == b"+PONG\r\n"
        return False

    async def send(self, call: Call) -> None:
        """Sends one request and waits for its answer for as long as its client would."""
        for attempt in range(2):
            pair = None
            while self.rest and pair is None:
                reader, writer = self.rest.pop()
                if not reader.at_eof() and not writer.is_closing():
                    pair = reader, writer
            try:
                reader, writer = pair or await asyncio.open_connection(HOST, self.port)
                call.sent = call.sent or time.monotonic()
                writer.write(call.bytes)
                async with asyncio.timeout(call.timeout_s):
                    reply = await read_reply(reader)
            except TimeoutError:
                call.outcome = "given up"
                writer.close()
                break
            except (OSError, asyncio.IncompleteReadError):
                call.outcome = "closed"
                if pair is not None and attempt == 0:
                    continue  # a resting connection was closed: sent once more on a new one
                break
            call.outcome, call.text = kind(reply), reply
            self.rest.append((reader, writer))
            break
        call.answered = time.monotonic()
        self.counts[call.outcome] = self.counts.get(call.outcome, 0) + 1
        self.record.line(
            f"client {call.id.decode()} {call.outcome} after "
            f"{1000 * (call.answered - call.sent):.1f} ms {call.text[:60]!r}"
        )

    def close(self) -> None:
        for _, writer in self.rest:
            writer.close()


# ---- gateways


class Gateway:
    """One gateway process, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, number: int, table: dict[str, Any]) -> None:
        self.record, self.number, self.table = record, number, table
        self.name = table["name"]
        self.folder = folder / self.name
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "tmp").mkdir(exist_ok=True)
        self.process: subprocess.Popen | None = None

    def write(self) -> Path:
        path = self.folder / "config.json"
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(self.table), encoding="utf-8")
        fresh.replace(path)
        return path

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {
            "RELAY_CONFIG": str(self.write()),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.table["listen"],
            "RELAY_DISCOVERY": self.table["discovery"],
            "TMPDIR": str(self.folder / "tmp"),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.line(f"{self.name} started as {self.process.pid}")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.line(f"{self.name} gets {signal.Signals(number).name}")

    def ended(self) -> int | None:
        return None if self.process is None else self.process.poll()

    def memory_kb(self, key: str = "VmRSS") -> int:
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(key + ":"):
                    return int(line.split()[1])
        return 0

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")


class Fleet:
    """Some gateways, each with an agent of its own, and the backends that all agents list."""

    def __init__(self, record: Record, folder: Path, rng: random.Random) -> None:
        self.record, self.folder, self.rng = record, folder, rng
        self.agents: list[Agent] = []
        self.gateways: list[Gateway] = []
        self.fronts: list[Front] = []
        self.backends: list[Backend] = []

    async def start(
        self,
        gateways: int,
        backends: int,
        *,
        limits: dict[str, Any] | None = None,
        work_s: float = 0.02,
        **changes: Any,
    ) -> None:
        for number in range(backends):
            await self.add_backend(work_s)
        ports = free_ports(2 * gateways)
        peers = [f"{HOST}:{port}" for port in ports[gateways:]]
        for number in range(gateways):
            agent = Agent(self.record, f"agent-{number}")
            agent.entries = {one.name: one.entry() for one in self.backends}
            await agent.start()
            self.agents.append(agent)
            table = {
                "name": f"n{number}",
                "listen": f"{HOST}:{ports[number]}",
                "discovery": f"{HOST}:{agent.port}",
                "seed": f"{self.rng.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
                "peer_listen": peers[number],
                "peers": peers,
                "known": agent.known(),
                "settings": settings(gateways, number, **changes),
            }
            self.gateways.append(Gateway(self.record, self.folder, number, table))
            self.fronts.append(Front(self.record, ports[number]))
            self.gateways[-1].start()
        await self.ready()

    async def add_backend(self, work_s: float = 0.02) -> Backend:
        backend = Backend(self.record, f"s-{self.rng.getrandbits(32):08x}", len(self.backends), work_s)
        await backend.start()
        self.backends.append(backend)
        return backend

    async def ready(self) -> None:
        until = time.monotonic() + 20
        for gateway in self.gateways:  # another program may have taken its port, and even answer there
            while "start listening on" not in gateway.log():
                if gateway.ended() is not None or time.monotonic() > until:
                    raise CannotRun(f"{gateway.name} does not listen; ended with {gateway.ended()}")
                await asyncio.sleep(0.05)
        for front in self.fronts:
            while not await front.ping():
                if time.monotonic() > until:
                    raise CannotRun("a gateway does not get ready")
                await asyncio.sleep(0.05)

    def check_alive(self) -> None:
        for gateway in self.gateways:
            if gateway.ended() is not None:
                self.record.breaks(f"crash: {gateway.name} has ended by itself with {gateway.ended()}")

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.stop()


def play(file: str, case: Callable[[Record, Path], Awaitable[None]], most_s: float = 110) -> None:
    """Plays one case and exits with its result."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))
    record.say(f"{folder.name}: {'with' if TROUBLE else 'without'} the disruption")
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the processes of the case end with it

    async def bounded() -> None:
        async with asyncio.timeout(most_s):
            await case(record, work)

    try:
        asyncio.run(bounded())
        code = BROKEN if record.broken else HELD
    except CannotRun as err:
        record.say(f"could not run: {err}")
    except TimeoutError:
        record.say("could not run: out of time")
    except OSError as err:
        record.say(f"could not run: {err}")
    finally:
        for log in sorted(work.glob("*/log")):
            record.line(f"log of {log.parent.name}:")
            record.file.write(log.read_text(encoding="utf-8", errors="replace")[-20000:])
        shutil.rmtree(work, ignore_errors=True)
        record.say({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
        record.file.close()
    sys.exit(code)
