"""Operators' tasks on loopback with the real program: an upgrade under load on an inherited socket,
standby and back, and callers of the admin endpoint that send nothing. This file has stubs of the backend
server and of discovery."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

from ports import reserve_port
from scenario import (
    CUSTOMER,
    ROOT,
    RespConnection,
    address_of,
    encode_command,
    minimal_config,
    open_listener,
    run_until_exit,
    settings,
)

VALUE = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"


class Backend:
    """A stub that answers every request at once, on any number of connections."""

    pieces = [VALUE]

    def __init__(self) -> None:
        self.sock, self.calls = open_listener(), 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.sock.accept()
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        line = RespConnection(conn)
        with contextlib.suppress(OSError, ValueError, IndexError):
            while True:
                words = line.read_message()
                if not words:
                    return
                self.calls += 1
                for piece in self.pieces:
                    conn.sendall(piece)


def http(address: tuple[str, int], method: str, path: str, body: bytes = b"") -> int:
    with socket.create_connection(address, timeout=2) as s:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        s.sendall(head.encode() + body)
        return int(s.makefile("rb").readline().split()[1])


class Gateway:
    """A gateway process on the inherited socket, with its own admin endpoint."""

    def __init__(
        self,
        folder,
        listening: socket.socket,
        backend: Backend,
        silent: socket.socket,
        limits: dict[str, int],
    ) -> None:
        self.admin_address = ("127.0.0.1", reserve_port("127.0.0.1"))
        endpoint = {
            "name": "s-a",
            "address": address_of(backend.sock),
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        table = {
            "name": "n0",
            "listen": address_of(listening),
            "discovery": address_of(silent),
            "seed": f"8c1f{self.admin_address[1]:x}",  # differs for each start
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
            "peer_listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:1", "127.0.0.1:2"],
            "settings": settings(),
            "known": {"index": 1, "snapshot": True, "endpoints": [endpoint]},
        }
        path = folder / f"config-{self.admin_address[1]}.json"
        path.write_text(json.dumps(table))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {
            "RELAY_CONFIG": str(path),
            "RELAY_CONTROL": "{}:{}".format(*self.admin_address),
            "RELAY_SOCKET_FD": str(listening.fileno()),
            "TMPDIR": str(folder),
        }
        self.program = subprocess.Popen(
            [sys.executable, "-m", "zincstile"],
            cwd=ROOT,
            env=env,
            pass_fds=(listening.fileno(),),
            stderr=subprocess.DEVNULL,
        )

    def status(self) -> int:
        try:
            return http(self.admin_address, "GET", "/status")
        except OSError:
            return 0

    def wait_until_ready(self, within_s: float = 10) -> float:
        began = time.monotonic()
        while self.status() != 200:
            assert time.monotonic() - began < within_s and self.program.poll() is None
            time.sleep(0.02)
        return time.monotonic() - began

    def end(self) -> None:
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()


@contextlib.contextmanager
def fleet(tmp_path, backend: Backend | None = None, **limits: int):
    """Yields the listening socket of the platform and a function that starts processes of gateway n0, with a
    backend server and a discovery that doesn't answer; ends all processes afterwards."""
    listening, silent = socket.create_server(("127.0.0.1", 0)), open_listener()
    backend = backend or Backend()
    started: list[Gateway] = []

    def start() -> Gateway:
        started.append(Gateway(tmp_path, listening, backend, silent, limits))
        return started[-1]

    try:
        yield listening, start
    finally:
        for g in started:
            g.end()
        listening.close()


def request(number: int, plan: str = "team") -> bytes:
    return encode_command(
        ["CALL.GET", CUSTOMER, f"{number:016x}", f"c=look,t={plan},d=2000,units=1,spread=1,first=0"]
    )


class Clients:
    """Send requests, each on a new connection; count refused, reset and unread connections."""

    def __init__(self, address: tuple[str, int], threads: int = 4) -> None:
        self.address, self.served, self.broken, self.other = address, 0, 0, 0
        self.running, self.numbers, self.last_other = True, itertools.count(1), b""
        self.threads = [threading.Thread(target=self._run, daemon=True) for _ in range(threads)]
        for t in self.threads:
            t.start()

    def _run(self) -> None:
        while self.running:
            number = next(self.numbers)  # atomic under the GIL
            try:
                with socket.create_connection(self.address, timeout=3) as s:
                    s.sendall(request(number))
                    answer = s.makefile("rb").readline()
                if answer == b"$2\r\n":
                    self.served += 1
                elif not answer:
                    self.broken += 1  # the connection was closed before the request was read
                else:
                    self.other += 1
                    self.last_other = answer
            except OSError:
                self.broken += 1
            time.sleep(0.002)

    def stop(self) -> None:
        self.running = False
        for t in self.threads:
            t.join(5)


def test_an_upgrade_under_load_refuses_or_resets_no_connection(tmp_path):
    with fleet(tmp_path) as (listening, start):
        old = start()
        old.wait_until_ready()
        clients = Clients(listening.getsockname())
        time.sleep(1.0)
        assert http(old.admin_address, "POST", "/maintenance/enter", b"s-a") == 200
        new = start()
        ready_s = new.wait_until_ready()
        old.program.send_signal(signal.SIGTERM)
        assert old.program.wait(5) == 0  # ends by itself, before any SIGKILL
        assert http(new.admin_address, "GET", "/status") == 200
        assert (
            http(new.admin_address, "POST", "/maintenance/exit", b"s-a") == 200
        )  # maintenance was handed over
        time.sleep(1.0)
        clients.stop()
        print(
            f"new version ready after {ready_s:.2f} s; served {clients.served}, "
            f"refused or reset or unread {clients.broken}, others {clients.other} ({clients.last_other!r})"
        )
        assert clients.served > 100 and clients.broken <= 2


def test_two_processes_with_many_idle_clients_use_no_more_descriptors_than_one_may(tmp_path):
    def count_descriptors() -> list[int]:
        return [len(os.listdir(f"/proc/{g.program.pid}/fd")) for g in (old, new) if g.program.poll() is None]

    with fleet(tmp_path, sockets=128) as (listening, start), contextlib.ExitStack() as stack:

        def crowd(count: int) -> None:  # clients that connect and send nothing
            for _ in range(count):
                stack.enter_context(socket.create_connection(listening.getsockname(), timeout=3))

        old = start()
        old.wait_until_ready()
        crowd(100)
        new = start()
        new.wait_until_ready()
        peak = [0, 0]
        for step in range(40):
            crowd(10)
            current = count_descriptors()
            peak = max(peak, current, key=sum)
            if step == 10:
                old.program.send_signal(signal.SIGTERM)
            time.sleep(0.01)
        assert old.program.wait(5) == 0
        clients = Clients(listening.getsockname())
        time.sleep(1.0)
        clients.stop()
        print(f"{peak} descriptors at most at once, served {clients.served}, {clients.broken} broken")
        assert 40 < sum(peak) <= 128 and clients.served > 20


def test_large_values_are_complete_and_in_time_beside_many_idle_clients_in_half_the_memory(tmp_path):
    """Thousands of clients are idle, some with half a request, while values of 4 MiB arrive in pieces: each
    value is complete, its first bytes are in time, and the process uses at most half the memory."""
    size, count, first, whole = 4 << 20, 6, [], []
    callers = min(2000, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 124)

    class Large(Backend):
        pieces = [b"*3\r\n$%d\r\n" % size] + [b"v" * 16384] * (size // 16384) + [b"\r\n$-1\r\n$-1\r\n"]

    def read(number: int) -> None:
        with socket.create_connection(listening.getsockname(), timeout=20) as s:
            s.sendall(request(number))
            began, reader = time.monotonic(), s.makefile("rb")
            assert reader.readline() == b"$%d\r\n" % size
            first.append(time.monotonic() - began)
            whole.append(len(reader.read(size + 2)) == size + 2)

    with (
        fleet(tmp_path, Large(), memory_mb=96, sockets=192) as (listening, start),
        contextlib.ExitStack() as stack,
    ):
        gw = start()
        gw.wait_until_ready()
        readers = [threading.Thread(target=read, args=(n,)) for n in range(count)]
        for k in range(callers):
            s = stack.enter_context(socket.create_connection(listening.getsockname(), timeout=10))
            if k % 50 == 0:
                s.sendall(request(1000 + k)[:40])
            if k % (callers // count) == 100:
                readers[k // (callers // count)].start()
        for r in readers:
            r.join(30)
        with open(f"/proc/{gw.program.pid}/status") as f:
            peak_kb = next(int(line.split()[1]) for line in f if line.startswith("VmHWM"))
        print(
            f"{sum(whole)} of {count} values whole, first bytes after {max(first):.3f} s at most, "
            f"{peak_kb} KB at most"
        )
        assert whole == [True] * count and max(first) < 2.0 and peak_kb < 48 * 1024


def test_a_used_up_quota_stays_used_up_after_an_upgrade(tmp_path):
    """The new process inherits the token buckets of the customers."""

    def send_request(number: int) -> bytes:
        with socket.create_connection(listening.getsockname(), timeout=3) as s:
            s.sendall(request(number, plan="small"))
            return s.makefile("rb").readline()

    with fleet(tmp_path) as (listening, start):
        old = start()
        old.wait_until_ready()
        assert send_request(1) == b"$2\r\n" and send_request(2).startswith(b"-BUSY")
        new = start()
        new.wait_until_ready()
        old.program.send_signal(signal.SIGTERM)
        assert old.program.wait(5) == 0
        assert send_request(3).startswith(b"-BUSY")


def test_during_an_upgrade_maintenance_requested_at_either_process_applies_in_both(tmp_path):
    def status(gw: Gateway) -> bytes:
        with socket.create_connection(gw.admin_address, timeout=2) as s:
            s.sendall(b"GET /status HTTP/1.1\r\n\r\n")
            return s.makefile("rb").read()

    def wait_for_state(gw: Gateway, under_maintenance: bool) -> float:
        began = time.monotonic()
        while (b"s-a" in status(gw)) != under_maintenance:
            assert time.monotonic() - began < 5
        return time.monotonic() - began

    with fleet(tmp_path) as (_, start):
        old = start()
        old.wait_until_ready()
        new = start()
        new.wait_until_ready()
        assert http(new.admin_address, "POST", "/maintenance/enter", b"s-a") == 200
        enter_s = wait_for_state(old, True)
        assert http(old.admin_address, "POST", "/maintenance/exit", b"s-a") == 200
        exit_s = wait_for_state(new, False)
        print(f"applied by the other process after {enter_s:.3f} s, ended after {exit_s:.3f} s")
        assert max(enter_s, exit_s) < 0.25  # the required bound


def test_standby_closes_idle_connections_and_active_accepts_clients_again(tmp_path):
    with fleet(tmp_path) as (listening, start):
        gw = start()
        gw.wait_until_ready()
        kept = [socket.create_connection(listening.getsockname(), timeout=3) for _ in range(20)]
        for k, s in enumerate(kept[:10]):  # half of them sent one request, the others none
            s.sendall(request(10_000 + k))
            assert s.makefile("rb").readline() == b"$2\r\n"
        assert http(gw.admin_address, "POST", "/standby") == 200
        ping = socket.create_connection(listening.getsockname(), timeout=3)
        ping.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert ping.makefile("rb").readline().startswith(b"-")  # not ready: any answer but +PONG
        time.sleep(4.0)
        open_idle = 0
        for s in kept:
            s.setblocking(False)
            try:
                open_idle += s.recv(1) != b""
            except BlockingIOError:
                open_idle += 1  # neither data nor end: still open
            except OSError:
                pass
        print(f"after 4 s of standby: {open_idle} of {len(kept)} idle connections still open")
        assert open_idle == 0
        assert http(gw.admin_address, "GET", "/status") == 503
        assert http(gw.admin_address, "POST", "/active") == 200
        assert http(gw.admin_address, "GET", "/status") == 200
        client = socket.create_connection(listening.getsockname(), timeout=3)
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert client.makefile("rb").readline() == b"+PONG\r\n"


def test_admin_callers_that_send_nothing_or_half_a_request_do_not_block_others(tmp_path):
    with fleet(tmp_path) as (listening, start):
        gw = start()
        gw.wait_until_ready()
        silent = [socket.create_connection(gw.admin_address, timeout=5) for _ in range(40)]
        for s in silent[::2]:
            s.sendall(b"POST /maintenance/enter HTTP/1.1\r\nContent-Le")
        began = time.monotonic()
        assert gw.status() == 200
        assert time.monotonic() - began < 1.0
        assert http(gw.admin_address, "POST", "/maintenance/enter", b"s-never") == 404
        assert http(gw.admin_address, "GET", "/nothing") == 404
        with socket.create_connection(gw.admin_address, timeout=2) as s:
            s.sendall(b"junk junk\r\n\r\n")
            assert s.makefile("rb").readline().split()[1] == b"400"
        statuses = []
        for s in silent:
            with contextlib.suppress(OSError):
                line = s.makefile("rb").readline()
                statuses.append(int(line.split()[1]) if line else 0)
        assert all(code in (0, 408, 503) for code in statuses) and 408 in statuses
        assert gw.program.poll() is None


def test_many_admin_callers_at_once_need_no_tcp_retry_of_their_connect(tmp_path):
    """A gateway that was stopped for a moment finds all callers in its accept queue. With a short queue, the
    callers' TCP would retry after 1 s, which makes the response late."""
    with fleet(tmp_path) as (_, start), contextlib.ExitStack() as stack:
        gw = start()
        gw.wait_until_ready()
        gw.program.send_signal(signal.SIGSTOP)
        crowd = [stack.enter_context(socket.socket()) for _ in range(100)]
        for s in crowd:
            s.setblocking(False)
            s.connect_ex(gw.admin_address)
        gw.program.send_signal(signal.SIGCONT)
        crowd[-1].settimeout(0.9)
        crowd[-1].sendall(b"GET /status HTTP/1.1\r\n\r\n")
        assert crowd[-1].makefile("rb").readline().split()[1] == b"200"


def test_a_value_that_is_half_forwarded_at_standby_is_completed_before_its_connection_closes(tmp_path):
    """Standby is entered, left and entered again while the value is forwarded."""
    slow = open_listener()

    class Slow:
        sock = slow

    with fleet(tmp_path, Slow) as (listening, start):
        gw = start()
        gw.wait_until_ready()
        client = socket.create_connection(listening.getsockname(), timeout=5)
        client.sendall(request(1))
        backend, _ = slow.accept()
        backend.settimeout(5)
        RespConnection(backend).read_message()
        size = 1 << 20
        backend.sendall(b"*3\r\n$%d\r\n" % size + b"v" * 100_000)
        reader = client.makefile("rb")
        assert reader.readline() == b"$%d\r\n" % size
        for call in ("/standby", "/active", "/standby"):
            assert http(gw.admin_address, "POST", call) == 200
        backend.sendall(b"v" * (size - 100_000) + b"\r\n$-1\r\n$-1\r\n")
        assert len(reader.read(size + 2)) == size + 2  # complete
        assert reader.read() == b""  # then closed, because of standby
        ping = socket.create_connection(listening.getsockname(), timeout=3)
        ping.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert ping.makefile("rb").readline() == b"-ERR standby\r\n"


def test_an_invalid_admin_address_or_socket_gives_one_line_and_exit_code_2(tmp_path):
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        for env, table, message in [
            ({"RELAY_CONTROL": "nowhere"}, None, "control: not an address"),
            ({}, {"control": "127.0.0.1:99999"}, "control: not an address"),
            ({"RELAY_SOCKET_FD": "x"}, None, "not a file descriptor number"),
            ({"RELAY_SOCKET_FD": str(udp.fileno())}, None, "not a listening TCP"),
        ]:
            path = tmp_path / "config.json"
            path.write_text(json.dumps(minimal_config() | (table or {})))
            done = run_until_exit(path, env)
            lines = done.stderr.strip().splitlines()
            assert done.returncode == 2 and len(lines) == 1 and message in lines[0], (env, table, done.stderr)
    finally:
        udp.close()


def test_the_handover_file_of_another_gateway_is_ignored(tmp_path):
    (tmp_path / "zincstile-n0.handover").write_text(
        '{"form": 1, "gateway": "n9", "version": 5, ' '"written_ns": 0, "banned": ["s-a"]}'
    )
    with fleet(tmp_path) as (listening, start):
        gw = start()
        gw.wait_until_ready()
        with socket.create_connection(gw.admin_address, timeout=2) as s:
            s.sendall(b"GET /status HTTP/1.1\r\n\r\n")
            text = s.makefile("rb").read()
        assert b"maintenance" not in text  # another gateway's maintenance is not adopted
        client = socket.create_connection(listening.getsockname(), timeout=3)
        client.sendall(request(1))
        assert client.makefile("rb").readline() == b"$2\r\n"  # s-a is not under maintenance


def test_sigterm_before_the_new_process_is_ready_refuses_no_connection(tmp_path):
    with fleet(tmp_path) as (listening, start):
        old = start()
        old.wait_until_ready()
        clients = Clients(listening.getsockname())
        time.sleep(0.5)
        new = start()
        old.program.send_signal(signal.SIGTERM)  # the new process is still starting
        assert old.program.wait(5) == 0
        new.wait_until_ready()
        time.sleep(0.5)
        clients.stop()
        print(f"served {clients.served}, refused or reset or unread {clients.broken}, others {clients.other}")
        assert clients.served > 50 and clients.broken <= 2
