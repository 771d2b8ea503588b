"""Stand-ins for the review cases: clients, backends, discovery and the platform. Standard library only.

They follow the operators' pages: PROTOCOL-zincstile.md for clients, backends and discovery, DEPLOY-zincstile.md and
operation/DAYS.md for the platform. Where a page is silent they behave like a sound program. Every address is on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000
S = 1000 * MS


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class CannotRun(Exception):
    """The case could not be played (exit code 2)."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def line(self, who: str, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {who:<12} {text}\n")

    def close(self) -> None:
        self._file.close()


# ---- RESP2


def command(*words: bytes | str) -> bytes:
    parts = [w.encode() if isinstance(w, str) else w for w in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command; raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes | list | None:
    """Reads one answer: an error or status line with its prefix, a value (bytes), a list, or None for null."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind in b"+-:":
        return line[:-2]
    if kind == b"$":
        size = int(rest)
        return None if size < 0 else b"$" + (await reader.readexactly(size + 2))[:-2]
    return [await read_answer(reader) for _ in range(int(rest))]


# ---- backends


class Backend:
    """One backend: it runs a call once its last byte has arrived, and answers with the value made for that call.

    `values`: size of the value by class. `work_s`: time of a run by class. `on_call(call, writer)` may answer in its place
    and returns True then.
    """

    def __init__(self, record: Record, name: str, group: int = 1) -> None:
        self.record = record
        self.name = name
        self.group = group
        self.port = 0
        self.work_s: dict[str, float] = {}
        self.values: dict[str, int] = {}
        self.on_call = None
        self.runs: list[tuple[float, str, str]] = []  # time, id, class
        self.made: dict[str, list[bytes]] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """The process dies: its connections are reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.line(self.name, "process died")

    def value(self, call_id: str, kind: str) -> bytes:
        text = f"{self.name}|{call_id}|{len(self.runs)}|".encode()
        value = text + b"v" * max(0, self.values.get(kind, 0) - len(text))
        self.made.setdefault(call_id, []).append(value)
        return value

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                words = await read_command(reader)
                await self._handle(words, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _handle(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] == b"PING":
            writer.write(b"+PONG\r\n")
        elif words[0] == b"INFO":
            report = self.report()
            writer.write(b"$%d\r\n%b\r\n" % (len(report), report))
        elif words[0] in (b"CALL.GET", b"CALL.POST"):
            fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
            call_id, kind = words[2].decode(), fields["c"]
            self.runs.append((self.record.now(), call_id, kind))
            self.record.line(self.name, f"runs {call_id} c={kind} d={fields['d']} k={fields.get('k', '-')}")
            if self.on_call is not None and await self.on_call(call_id, kind, writer):
                return
            await asyncio.sleep(self.work_s.get(kind, 0.01))
            writer.write(self.answer(self.value(call_id, kind)))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        else:
            writer.write(b"-ERR\r\n")

    def report(self) -> bytes:
        return b"inflight=1,latency_ms=10.0,queue=0"

    def answer(self, value: bytes) -> bytes:
        report = self.report()
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset, as when its process dies."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


# ---- discovery


class Discovery:
    """The agent of discovery: the whole list, then changes, and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 1
        self.entries: dict[str, dict] = {}
        self.port = 0
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    def add(self, backend: Backend, status: str = "Ready", since_ms: int = 0) -> None:
        self.entries[backend.name] = {
            "name": backend.name,
            "address": f"{HOST}:{backend.port}",
            "zone": "floor-3",
            "type": "std-4",
            "group": backend.group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def snapshot(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def tell(self, name: str, **changes: object) -> None:
        """Writes a change of one entry to every watch."""
        entry = self.entries[name]
        entry.update(changes)
        self.index += 1
        self.record.line("discovery", f"tells {name} {changes}")
        self._write({"index": self.index, "snapshot": False, "endpoints": [entry]})
        if entry["status"] == "Gone":
            del self.entries[name]

    def _write(self, message: dict | None) -> None:
        line = b"\n" if message is None else json.dumps(message).encode() + b"\n"
        for writer in self._watches:
            with contextlib.suppress(Exception):
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(2)
            self._write(None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = json.dumps(self.snapshot()).encode()
            if "stream=1" not in head.split("\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\n\r\n" % (len(body) + 1, body))
            self._watches.add(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


# ---- settings of a small deployment, by WIRE-zincstile.md


def request_class(name: str, effect: str, aim_s: float, deadline_s: float, gain: float, group: str = "all") -> dict:
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "gain": gain,
        "stream": False,
        "aim_ns": int(aim_s * S),
        "deadline_ns": int(deadline_s * S),
        "late_worth": 0.2 if effect == "free" else 0.0,
        "window_ns": 6 * S,
    }


CLASSES = [
    request_class("guide-read", "free", 1.0, 3.0, 2.0),
    request_class("settings-save", "free", 0.6, 1.5, 1.0),
    request_class("ppv-order", "guarded", 0.75, 3.0, 2.0, "cell"),
    request_class("bulk-send", "single_shot", 1.5, 3.0, 2.0),
]


def settings(ordinal: int = 0, gateways: int = 1, classes: list[dict] | None = None) -> dict:
    return {
        "balancers": gateways,
        "ordinal": ordinal,
        "tier": 0,
        "layers": ["guide-fleet"],
        "workload": "gate",
        "classes": classes or CLASSES,
        "clients": {"marks_retry": False},
        "discovery": "pushed",
        "domain": {
            "call_price": 0.02,
            "cost_after": False,
            "counter_timeout_ns": 50 * MS,
            "meter_period_ns": 0,
            "peer_intake": 60.0,
            "shared_counter": True,
            "units_top": 6,
        },
        "limits": {
            "cancel": True,
            "connect_timeout_ns": 250 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "idle_close_ns": 30 * S,
            "max_open": 20000,
            "max_retry_after_ns": S,
            "may_duplicate": True,
            "multiplex": 100,
            "peers": True,
            "probes": True,
            "retry_after": False,
            "send_cap": 6,
        },
        "obligations": {
            "ask_within_ns": 10 * S,
            "drain_grace_ns": 250 * MS,
            "fall_ns": 3 * S,
            "grace_to_answer_ns": 8 * MS,
            "overload_factor": 2.0,
            "start_capacity": 0.25,
            "warm_up_ns": 18 * S,
        },
        "plans": [
            {
                "name": "premium",
                "price": 1.8,
                "refill": 400.0,
                "burst": 800.0,
                "concurrency": 0,
                "never_over_rate": 0.0,
                "hard_burst": 0.0,
                "tolerance": 0.0,
                "over_worth": 0.0,
                "beyond_costs": 1.0,
            }
        ],
        "prices": {"late_fail": 0.08, "peer": 0.021, "probe": 0.0074, "waste": 0.03},
        "result_mix": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "round_ns": 2 * MS,
        "skus": ["std-4", "old-4"],
        "telemetry": {"fields": ["rif", "lat_ms", "q"], "via": "piggyback"},
        "weights": "silent",
        "zone": 0,
        "zones": ["floor-3", "floor-4", "floor-5"],
    }


# ---- the platform


class Gateway:
    """One gateway, started by the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery, name: str = "n0", **config: object) -> None:
        self.record = record
        self.name = name
        self.folder = folder / name
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(parents=True)
        self.port = free_port()
        self.control = free_port()
        peer = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peer,
            "peers": [peer],
            "control": f"{HOST}:{self.control}",
            "known": discovery.snapshot(),
            "settings": settings(),
        } | config
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self, *, socket_fd: int | None = None) -> None:
        """Starts a process: `$TMPDIR` is private, and the seed is new."""
        self.starts += 1
        path = self.folder / f"config-{self.starts}.json"
        path.write_text(json.dumps(self.config | {"seed": secrets.token_hex(8)}), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(path), "RELAY_NAME": self.name, "TMPDIR": str(self.tmp)}
        env |= {"RELAY_LISTEN": self.config["listen"], "RELAY_DISCOVERY": self.config["discovery"]}
        env |= {"PYTHONDONTWRITEBYTECODE": "1"}
        if socket_fd is not None:
            env["RELAY_SOCKET_FD"] = str(socket_fd)
        log = (self.folder / f"log-{self.starts}").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=[socket_fd] if socket_fd is not None else [],
        )
        self.record.line(self.name, f"started, process {self.process.pid}")

    async def ready(self, timeout_s: float = 30) -> None:
        """Waits until PING is answered with +PONG, as the front does."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended at its start with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command("PING"))
                answer = await read_answer(reader)
                writer.close()
                if answer == b"+PONG":
                    self.record.line(self.name, "ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {timeout_s} s")

    def signal(self, number: int) -> None:
        self.record.line(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def ended(self) -> bool:
        return self.process.poll() is not None

    async def call(self, method: str, path: str, body: str = "") -> int:
        """Makes an operators' call; returns its status."""
        reader, writer = await asyncio.open_connection(HOST, self.control)
        data = body.encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        writer.close()
        self.record.line("operator", f"{method} {path} {body} -> {status}")
        return status


class Case:
    """A folder for temporary files, the stand-ins that were started, and the end of all of them."""

    def __init__(self, folder: str) -> None:
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways: list[Gateway] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.line("case", f"trouble={'yes' if self.trouble else 'no'}")

    def gateway(self, discovery: Discovery, name: str = "n0", **config: object) -> Gateway:
        gateway = Gateway(self.record, self.folder, discovery, name, **config)
        self.gateways.append(gateway)
        return gateway

    def close(self) -> None:
        for gateway in self.gateways:
            process = gateway.process
            if process is not None:
                if process.poll() is None:
                    process.kill()
                process.wait()
                self.record.line(gateway.name, f"ended, code {process.returncode}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(play, folder: str, timeout_s: float = 110) -> None:
    """Plays a case: `play(case)` returns the breaks it saw. Exits with 0 (none), 1 (some) or 2 (could not run)."""
    case = Case(folder)
    code = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(play(case), timeout_s))
        code = 1 if breaks else 0
        for text in breaks:
            case.record.line("BROKEN", text)
            print(f"broken: {text}")
        case.record.line("case", "rule broken" if breaks else "rule held")
        print("rule broken" if breaks else "rule held")
    except Exception as err:
        case.record.line("case", f"could not run: {type(err).__name__}: {err}")
        print(f"could not run: {type(err).__name__}: {err}")
    finally:
        case.close()
    sys.exit(code)
