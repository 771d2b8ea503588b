"""Runs two gateways as real processes until one has written every file that it stores for its next process.

`test_stored_data` uses it. As a command it recorded tests/data/stored:

    python tests/stored_gateway.py FOLDER
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from ports import reserve_port
from scenario import ROOT, RespConnection, encode_command, settings

GATEWAY = "n0"  # its name in the stored files
# Counters that were added after the results of the testbed in tests/data/stored were recorded
COUNTERS_SINCE_STORED = {"buffered", "buffer_waits"}
FILE_PREFIX = f"zincstile-{GATEWAY}"  # of the files that successive processes share
HANDOVER_FILE, MEMORY_FILE, SPENT_FILE = (
    f"{FILE_PREFIX}.handover",
    f"{FILE_PREFIX}.memory",
    f"{FILE_PREFIX}.spent",
)
STORED_FILES = (HANDOVER_FILE, MEMORY_FILE, SPENT_FILE)
CONFIG_FILE = "config.json"
OLD_PROCESS_SEED, NEW_PROCESS_SEED, PEER_SEED = "8c1f01", "8c1f02", "8c1f03"
# See `record` for the units that each customer has used.
EXHAUSTED_CUSTOMER, HALF_USED_CUSTOMER, LATE_USE_CUSTOMER = 0xB4D65521, 0xB4D65522, 0xB4D65523
QUOTA_UNITS = 12  # of plan `small`
REFILL_PER_S = 1e-6  # the quota refills by a negligible amount during a test
TIMEOUT_S = 15.0
BACKENDS = ("s-a", "s-b", "s-c")
ANSWER = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
SETTLING_S = 0.5  # several gossip intervals and several reads of the shared files


def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until the condition holds; raises AssertionError after the timeout."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


class StubBackend:
    """A backend that answers every call or, when broken, closes each connection at its first call."""

    def __init__(self, broken: bool = False) -> None:
        self.socket, self.broken, self.calls = socket.create_server(("127.0.0.1", 0)), broken, 0
        self.address = "{}:{}".format(*self.socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        client_connection = RespConnection(connection)
        with contextlib.suppress(OSError, ValueError, IndexError):
            while client_connection.read_message() and not self.broken:
                self.calls += 1
                connection.sendall(ANSWER)
        client_connection.close()


class GatewayProcess:
    """One process of a gateway on an inherited listening socket."""

    def __init__(self, folder: Path, config: dict, listening: socket.socket) -> None:
        self.folder, self.listening = folder, listening
        self.control = ("127.0.0.1", reserve_port("127.0.0.1"))
        self.log = folder / f"log-{config['seed']}"
        path = folder / f"config-{config['seed']}.json"
        path.write_text(json.dumps(config))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {
            "RELAY_CONFIG": str(path),
            "RELAY_CONTROL": "{}:{}".format(*self.control),
            "RELAY_SOCKET_FD": str(listening.fileno()),
            "TMPDIR": str(folder),
        }
        with self.log.open("wb") as log:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "zincstile"],
                cwd=ROOT,
                env=environment,
                pass_fds=(listening.fileno(),),
                stderr=log,
            )

    def has_logged(self, text: str) -> bool:
        """Whether a line of the log contains this text."""
        return text in self.log.read_text()

    def operator_call(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        """Status and body of a call to the admin endpoint; status 0 if the connection fails."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            with socket.create_connection(self.control, timeout=2) as connection:
                connection.sendall(head.encode() + body)
                answer = connection.makefile("rb").read().decode()
        except OSError:
            return 0, ""
        return int(answer.split()[1]), answer.partition("\r\n\r\n")[2].strip()

    def wait_until_ready(self) -> None:
        """Waits until the process accepts clients."""

        def ready() -> bool:
            assert self.program.poll() is None, self.log.read_text()
            return self.operator_call("GET", "/status")[0] == 200

        wait_until(ready)

    def request(self, customer: int, number: int, plan: str = "small") -> str:
        """The first reply line to a request of one unit by a customer that both gateways serve."""
        fields = f"c=look,t={plan},d=2000,units=1,spread=2,first=0"
        with socket.create_connection(self.listening.getsockname(), timeout=TIMEOUT_S) as connection:
            connection.sendall(encode_command(["CALL.GET", f"{customer:016x}", f"{number:016x}", fields]))
            return connection.makefile("rb").readline().decode().strip()

    def stop(self) -> None:
        """Sends SIGTERM, as the platform does, and waits for exit code 0."""
        self.program.send_signal(signal.SIGTERM)
        assert self.program.wait(TIMEOUT_S) == 0

    def kill(self) -> None:
        """Kills the process if it still runs."""
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()


class Fleet:
    """Two gateways that are peers, their backends, and a discovery that connects but never answers."""

    def __init__(self, folder: Path, broken: str = "") -> None:
        """broken: name of the backend that closes every connection."""
        self.folder, self.processes = folder, []
        self.backends = {name: StubBackend(name == broken) for name in BACKENDS}
        self.silent_discovery = socket.create_server(("127.0.0.1", 0))
        self.listening = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.peers = free_datagram_addresses(2)

    def config(self, ordinal: int, seed: str) -> dict:
        """The configuration of a process of gateway `n<ordinal>`."""
        small, *others = reversed(settings()["plans"])
        plans = [*others, small | {"burst": float(QUOTA_UNITS), "refill": REFILL_PER_S}]
        return {
            "name": f"n{ordinal}",
            "listen": "{}:{}".format(*self.listening[ordinal].getsockname()),
            "discovery": "{}:{}".format(*self.silent_discovery.getsockname()),
            "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": self.peers[ordinal],
            "peers": self.peers,
            "settings": settings() | {"ordinal": ordinal, "plans": plans},
            "known": {"index": 1, "snapshot": True, "endpoints": [self._entry(name) for name in BACKENDS]},
        }

    def _entry(self, name: str) -> dict:
        return {
            "name": name,
            "address": self.backends[name].address,
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }

    def start(self, ordinal: int, seed: str) -> GatewayProcess:
        """Starts a process of gateway `n<ordinal>` and waits until it accepts clients."""
        process = GatewayProcess(self.folder, self.config(ordinal, seed), self.listening[ordinal])
        self.processes.append(process)
        process.wait_until_ready()
        return process

    def tear_down(self) -> None:
        """Kills all processes and closes all sockets."""
        for process in self.processes:
            process.kill()
        for listener in (self.silent_discovery, *self.listening, *(b.socket for b in self.backends.values())):
            listener.close()


@contextlib.contextmanager
def running_fleet(folder: Path, broken: str = "") -> Iterator[Fleet]:
    """A fleet that is torn down on exit."""
    started_fleet = Fleet(folder, broken)
    try:
        yield started_fleet
    finally:
        started_fleet.tear_down()


def free_datagram_addresses(count: int) -> list[str]:
    """Different loopback addresses for datagrams that are free at the moment."""
    with contextlib.ExitStack() as probes:
        sockets = [
            probes.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)
        ]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return ["{}:{}".format(*sock.getsockname()) for sock in sockets]


def record(folder: Path) -> None:
    """Upgrades gateway n0 and copies the files that its old process stored for the new one to the folder.

    s-a is under maintenance, and s-b has returned from it. Used units: EXHAUSTED_CUSTOMER its whole quota;
    HALF_USED_CUSTOMER 4 at n0 and 2 at the other gateway; LATE_USE_CUSTOMER 3 before the memory file was
    written, and 4 more before the old process ended.
    """
    with tempfile.TemporaryDirectory() as shared, running_fleet(Path(shared), broken="s-c") as started_fleet:
        peer, old = started_fleet.start(1, PEER_SEED), started_fleet.start(0, OLD_PROCESS_SEED)
        _use_units(old, EXHAUSTED_CUSTOMER, QUOTA_UNITS, 100)
        _use_units(old, HALF_USED_CUSTOMER, QUOTA_UNITS // 2 - 2, 200)
        _use_units(peer, HALF_USED_CUSTOMER, 2, 300)
        _use_units(old, LATE_USE_CUSTOMER, 3, 400)
        for path, name in (("enter", b"s-a"), ("enter", b"s-b"), ("exit", b"s-b")):
            assert old.operator_call("POST", f"/maintenance/{path}", name)[0] == 200
        time.sleep(SETTLING_S)
        _copy_file(HANDOVER_FILE, started_fleet.folder, folder)
        new = started_fleet.start(0, NEW_PROCESS_SEED)
        wait_until((started_fleet.folder / MEMORY_FILE).exists)
        _copy_file(MEMORY_FILE, started_fleet.folder, folder)
        new.kill()  # from here on the old process alone serves clients
        _use_units(old, LATE_USE_CUSTOMER, 4, 500)
        old.stop()
        _copy_file(SPENT_FILE, started_fleet.folder, folder)
        (folder / CONFIG_FILE).write_text(
            json.dumps(started_fleet.config(0, NEW_PROCESS_SEED), indent=1) + "\n"
        )


def _use_units(process: GatewayProcess, customer: int, units: int, first: int) -> None:
    for number in range(first, first + units):
        assert process.request(customer, number) == "$2"


def _copy_file(name: str, source: Path, folder: Path) -> None:
    (folder / name).write_bytes((source / name).read_bytes())


if __name__ == "__main__":
    record(Path(sys.argv[1]))
