"""Real processes of two gateways, played until one has stored all that it stores for its next version.

Used by `test_stored_data`, and as a command by which tests/data/stored was recorded:

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

from scenario import ROOT, RespConnection, encode_command, settings

GATEWAY = "n0"  # by the name that stands in the stored files
BASE = f"zincstile-{GATEWAY}"  # of the files that its processes share
HANDOVER, MEMORY, SPENT = f"{BASE}.handover", f"{BASE}.memory", f"{BASE}.spent"
STORED = (HANDOVER, MEMORY, SPENT)
CONFIG = "config.json"
OLD_SEED, NEW_SEED, PEER_SEED = "8c1f01", "8c1f02", "8c1f03"
EMPTIED, HALF_USED, USED_LATER = 0xB4D65521, 0xB4D65522, 0xB4D65523  # customers
QUOTA_UNITS = 12  # of plan `small`
REFILL_PER_S = 1e-6  # next to nothing comes back while a test runs
PATIENCE_S = 15.0
BACKENDS = ("s-a", "s-b", "s-c")
ANSWER = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
SETTLED_S = 0.5  # several of the beats by which gateways tell each other, and of the looks at shared files


def until(holds: Callable[[], bool]) -> None:
    """Waits until it holds; AssertionError where it doesn't in time."""
    end = time.monotonic() + PATIENCE_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.02)


class Backend:
    """A backend server that answers every call, or closes each connection at its first one."""

    def __init__(self, spoilt: bool = False) -> None:
        self.socket, self.spoilt, self.calls = socket.create_server(("127.0.0.1", 0)), spoilt, 0
        self.address = "{}:{}".format(*self.socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        line = RespConnection(connection)
        with contextlib.suppress(OSError, ValueError, IndexError):
            while line.read_message() and not self.spoilt:
                self.calls += 1
                connection.sendall(ANSWER)
        line.close()


class Process:
    """One process of a gateway, on a listening socket that it inherits."""

    def __init__(self, folder: Path, table: dict, listening: socket.socket) -> None:
        self.folder, self.listening = folder, listening
        self.control = ("127.0.0.1", free_port(socket.SOCK_STREAM))
        self.log = folder / f"log-{table['seed']}"
        path = folder / f"config-{table['seed']}.json"
        path.write_text(json.dumps(table))
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

    def said(self, text: str) -> bool:
        """A line of its log holds that text."""
        return text in self.log.read_text()

    def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        """Status and text of an operator's call; status 0 where nobody answers."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            with socket.create_connection(self.control, timeout=2) as connection:
                connection.sendall(head.encode() + body)
                answer = connection.makefile("rb").read().decode()
        except OSError:
            return 0, ""
        return int(answer.split()[1]), answer.partition("\r\n\r\n")[2].strip()

    def until_ready(self) -> None:
        """Waits until it takes clients."""

        def ready() -> bool:
            assert self.program.poll() is None, self.log.read_text()
            return self.call("GET", "/status")[0] == 200

        until(ready)

    def ask(self, customer: int, number: int, plan: str = "small") -> str:
        """The first line of the answer to one request of one unit, by a customer known at both gateways."""
        fields = f"c=look,t={plan},d=2000,units=1,spread=2,first=0"
        with socket.create_connection(self.listening.getsockname(), timeout=PATIENCE_S) as connection:
            connection.sendall(encode_command(["CALL.GET", f"{customer:016x}", f"{number:016x}", fields]))
            return connection.makefile("rb").readline().decode().strip()

    def stop(self) -> None:
        """Ends it as the platform does, and waits until it has ended by itself."""
        self.program.send_signal(signal.SIGTERM)
        assert self.program.wait(PATIENCE_S) == 0

    def kill(self) -> None:
        """Ends it at once, if it lives."""
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()


class Fleet:
    """Two gateways that hear each other, their backend servers, and a discovery that says nothing."""

    def __init__(self, folder: Path, spoilt: str = "") -> None:
        """spoilt: the backend server that closes every connection."""
        self.folder, self.processes = folder, []
        self.backends = {name: Backend(name == spoilt) for name in BACKENDS}
        self.silent = socket.create_server(("127.0.0.1", 0))
        self.listening = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(2)]

    def table(self, ordinal: int, seed: str) -> dict:
        """The configuration of a process of gateway `n<ordinal>`."""
        small, *others = reversed(settings()["plans"])
        plans = [*others, small | {"burst": float(QUOTA_UNITS), "refill": REFILL_PER_S}]
        return {
            "name": f"n{ordinal}",
            "listen": "{}:{}".format(*self.listening[ordinal].getsockname()),
            "discovery": "{}:{}".format(*self.silent.getsockname()),
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

    def start(self, ordinal: int, seed: str) -> Process:
        """Starts a process of gateway `n<ordinal>` and waits until it takes clients."""
        process = Process(self.folder, self.table(ordinal, seed), self.listening[ordinal])
        self.processes.append(process)
        process.until_ready()
        return process

    def end(self) -> None:
        """Ends all that was started."""
        for process in self.processes:
            process.kill()
        for one in (self.silent, *self.listening, *(b.socket for b in self.backends.values())):
            one.close()


@contextlib.contextmanager
def fleet(folder: Path, spoilt: str = "") -> Iterator[Fleet]:
    """A fleet that is ended at the end."""
    made = Fleet(folder, spoilt)
    try:
        yield made
    finally:
        made.end()


def free_port(kind: int) -> int:
    """A port of loopback that nobody has by now."""
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def record(folder: Path) -> None:
    """Plays an upgrade of gateway n0, and leaves in the folder what its old process stored for the new one.

    s-a is under maintenance and s-b back from it. Customer EMPTIED has used its quota up; HALF_USED has used
    4 units here and 2 at the other gateway; USED_LATER 3 before the memory was written, and 4 from then until
    the old process ended.
    """
    with tempfile.TemporaryDirectory() as shared, fleet(Path(shared), spoilt="s-c") as made:
        peer, old = made.start(1, PEER_SEED), made.start(0, OLD_SEED)
        _use(old, EMPTIED, QUOTA_UNITS, 100)
        _use(old, HALF_USED, QUOTA_UNITS // 2 - 2, 200)
        _use(peer, HALF_USED, 2, 300)
        _use(old, USED_LATER, 3, 400)
        for path, name in (("enter", b"s-a"), ("enter", b"s-b"), ("exit", b"s-b")):
            assert old.call("POST", f"/maintenance/{path}", name)[0] == 200
        time.sleep(SETTLED_S)
        _keep(HANDOVER, made.folder, folder)
        new = made.start(0, NEW_SEED)
        until((made.folder / MEMORY).exists)
        _keep(MEMORY, made.folder, folder)
        new.kill()  # what clients ask from here on, the old process alone takes
        _use(old, USED_LATER, 4, 500)
        old.stop()
        _keep(SPENT, made.folder, folder)
        (folder / CONFIG).write_text(json.dumps(made.table(0, NEW_SEED), indent=1) + "\n")


def _use(process: Process, customer: int, units: int, first: int) -> None:
    for number in range(first, first + units):
        assert process.ask(customer, number) == "$2"


def _keep(name: str, source: Path, folder: Path) -> None:
    (folder / name).write_bytes((source / name).read_bytes())


if __name__ == "__main__":
    record(Path(sys.argv[1]))
