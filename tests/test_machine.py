"""Real processes on a faulty machine: stepped clocks, system calls that fail temporarily, folders that reject
writes; each during a shutdown, a restart or an upgrade. Events force the order."""

from __future__ import annotations

import contextlib
import json
import os
import re
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from ports import reserve_port
from scenario import (
    LOOPBACK_ADDRESS,
    ROOT,
    SECOND,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
)

from zincstile.testbed.shim_control import Knob, ShimControl

CALLS = 20  # each goes to the only server that accepts, unless that is under maintenance
# Time without requests after SIGTERM until the listening socket closes: longer than a busy machine's delays.
QUIET_S = 1.5
CONFIRMED, UNAVAILABLE = 200, 503
# One watch per process, however slow the machine is.
LONG_WATCH_TIMEOUTS = {
    "table_answer_ns": 60 * SECOND,
    "table_silence_ns": 60 * SECOND,
}


class Machine(GatewayHarness):
    """A gateway process under the shim, with an admin endpoint."""

    def __init__(self, folder, listening=None, **config):
        """listening: the clients' socket, inherited from the platform."""
        self.shim, self.listening = ShimControl(folder / "shim"), listening
        self.admin_address = (LOOPBACK_ADDRESS, reserve_port(LOOPBACK_ADDRESS))
        super().__init__(folder, {"control": "{}:{}".format(*self.admin_address)} | config)

    def command(self):
        return [sys.executable, "-m", "zincstile.testbed.shim", str(self.config_path.parent / "shim")]

    def extra_environment(self):
        return {} if self.listening is None else {"RELAY_SOCKET_FD": str(self.listening.fileno())}

    def inherited_descriptors(self):
        return () if self.listening is None else (self.listening.fileno(),)

    def tmpdir(self):
        folder = self.config_path.parent / "tmp"
        folder.mkdir(exist_ok=True)
        return folder

    def request_change(self, path: str, name: str, within_s: float = 5.0) -> int:
        """Send a request to the admin endpoint; return the status of the response."""
        body = name.encode()
        with socket.create_connection(self.admin_address, timeout=within_s) as sock:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
            return int(sock.makefile("rb").readline().split()[1])

    def enter_maintenance(self, name: str) -> int:
        return self.request_change("/maintenance/enter", name)

    def exit_maintenance(self, name: str) -> int:
        return self.request_change("/maintenance/exit", name)

    def restart(self, end_signal: int = signal.SIGKILL) -> None:
        """End the process and start it again in the same folder."""
        self.program.send_signal(end_signal)
        self.program.wait()
        self.launch()
        self.wait_for_log("ready *")

    def tear_down(self):
        super().tear_down()
        self.shim.close()


@contextlib.contextmanager
def machine(folder, **config):
    folder.mkdir(exist_ok=True)
    harness = Machine(folder, known_servers="ab", **config)
    try:
        harness.wait_for_log("ready *")
        yield harness
    finally:
        harness.tear_down()


def count_calls_at_a(harness, calls: int = CALLS) -> int:
    """Send calls, each on its own connection, while server b refuses connections; return how many reach a.
    Each is answered."""
    harness.refuse("b")
    harness.listeners["a"].setblocking(False)
    received, servers = 0, []
    selector = selectors.DefaultSelector()
    selector.register(harness.listeners["a"], selectors.EVENT_READ, "listener")
    for number in range(calls):
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(call_command("look", 1000 + number)))
        selector.register(client.sock, selectors.EVENT_READ, "client")
        answered = False
        until = time.monotonic() + 10
        while not answered and time.monotonic() < until:
            for key, _ in selector.select(0.1):
                if key.data == "client":
                    answered = True
                elif key.data == "listener":
                    servers.append(key.fileobj.accept()[0])
                    selector.register(servers[-1], selectors.EVENT_READ, "server")
                elif key.fileobj.recv(4096):
                    received += 1
                    key.fileobj.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
                else:
                    selector.unregister(key.fileobj)
        assert answered
        selector.unregister(client.sock)
        client.close()
    selector.close()
    for sock in servers:
        sock.close()
    return received


# ---- maintenance


def test_maintenance_outlasts_a_restart_although_the_wall_clock_is_stepped(tmp_path):
    """The clock is stepped while no process runs, both ways, by seconds and by an hour. The file also has
    another server that returned from maintenance."""
    calls_by_step = {}
    for step_s in (0, 7, -7, 3600, -3600):
        with machine(tmp_path / f"step{step_s}") as harness:
            assert (
                harness.enter_maintenance("s-b")
                == harness.exit_maintenance("s-b")
                == harness.enter_maintenance("s-a")
                == CONFIRMED
            )
            harness.program.kill()
            harness.program.wait()
            harness.shim.set(Knob.WALL_OFFSET_S, step_s)
            harness.launch()
            harness.wait_for_log("ready *")
            calls_by_step[step_s] = count_calls_at_a(harness)
    assert calls_by_step == dict.fromkeys(calls_by_step, 0)


def test_maintenance_that_cant_be_saved_is_not_confirmed_and_is_saved_once_writes_succeed(tmp_path):
    """A change is confirmed only if it outlasts a kill; failed writes are retried soon."""
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        began = time.monotonic()
        first = harness.enter_maintenance("s-a")
        assert time.monotonic() - began < 1.0
        assert count_calls_at_a(harness) == 0  # applies at once, although it is not confirmed
        harness.shim.set(Knob.WRITE_SHARE, 0.0)
        time.sleep(0.3)
        harness.restart()
        assert first == UNAVAILABLE and count_calls_at_a(harness) == 0


def test_maintenance_is_confirmed_if_writes_succeed_before_the_timeout(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        with socket.create_connection(harness.admin_address, timeout=5) as sock:
            sock.sendall(b"POST /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\ns-a")
            harness.wait_for_log("handover can't write *")
            harness.shim.set(Knob.WRITE_SHARE, 0.0)
            assert int(sock.makefile("rb").readline().split()[1]) == CONFIRMED
        harness.restart()
        assert count_calls_at_a(harness) == 0


def test_confirmed_maintenance_outlasts_failing_writes_for_longer_than_a_file_is_valid(tmp_path):
    """The running process touches the file, which it can't rewrite; then it is killed."""
    limits = {"handover_stale_ns": 2 * SECOND, "handover_keep_ns": SECOND // 4}
    with machine(tmp_path / "m", limits=limits) as harness:
        assert harness.enter_maintenance("s-a") == CONFIRMED
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        time.sleep(3.0)
        harness.restart()
        assert count_calls_at_a(harness) == 0


def test_a_start_retries_reading_the_handover_file(tmp_path):
    with machine(tmp_path / "m") as harness:
        assert harness.enter_maintenance("s-a") == CONFIRMED
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.READ_SHARE, 1.0)
        threading.Timer(0.7, harness.shim.set, (Knob.READ_SHARE, 0.0)).start()
        harness.launch()
        harness.wait_for_log("ready *")
        time.sleep(0.2)
        assert count_calls_at_a(harness) == 0
        harness.restart()
        assert count_calls_at_a(harness) == 0


def test_a_kill_during_a_write_keeps_the_old_file_and_the_temporary_file_is_removed(tmp_path):
    with machine(tmp_path / "m") as harness:
        assert harness.enter_maintenance("s-a") == CONFIRMED
        harness.shim.set(Knob.KILL_IN_WRITE, 1.0)
        with contextlib.suppress(OSError, IndexError, ValueError):
            harness.enter_maintenance("s-b")
        harness.program.wait()
        harness.launch()
        harness.wait_for_log("ready *")
        assert count_calls_at_a(harness) == 0
        names = [n for n in os.listdir(harness.tmpdir()) if n.startswith("zincstile-n0.handover")]
        assert names == ["zincstile-n0.handover"]


def test_a_new_process_that_becomes_ready_keeps_maintenance_requested_at_the_old_one(tmp_path):
    """The old process gets the request while the new one, which has read the file, is stopped. The list
    from discovery makes the new one write the file before its next poll."""
    with machine(tmp_path / "m", limits=LONG_WATCH_TIMEOUTS) as harness:
        harness.expect("d1", "request")
        old, old_admin_address = harness.program, harness.admin_address
        harness.admin_address = (LOOPBACK_ADDRESS, reserve_port(LOOPBACK_ADDRESS))
        table = harness.config | {"control": "{}:{}".format(*harness.admin_address), "seed": "77"}
        harness.config_path.write_text(json.dumps(table | {"known": {}}))
        harness.launch()
        try:
            harness.expect("d2", "request")
            harness.program.send_signal(signal.SIGSTOP)
            os.waitpid(harness.program.pid, os.WUNTRACED)
            harness.admin_address, new_admin_address = old_admin_address, harness.admin_address
            assert harness.enter_maintenance("s-a") == CONFIRMED
            harness.send("d2", "full", "a=Ready", "b=Ready")
            harness.program.send_signal(signal.SIGCONT)
            harness.wait_for_log("ready *from discovery")
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            harness.admin_address = new_admin_address
            assert count_calls_at_a(harness) == 0
        finally:
            old.kill()
            old.wait()


# ---- start, shutdown and the accept queue


def test_shutdown_accepts_all_queued_connections_although_accept_fails_for_some(tmp_path):
    """In one loop iteration the listening socket is due to close and twenty clients have sent requests."""
    with machine(tmp_path / "m", limits={"drain_quiet_ns": int(QUIET_S * SECOND)}) as harness:
        harness.send("gw", "TERM")
        harness.wait_for_log("stop *")
        harness.program.send_signal(signal.SIGSTOP)
        os.waitpid(harness.program.pid, os.WUNTRACED)
        time.sleep(QUIET_S + 0.1)
        harness.shim.set(Knob.ACCEPT_SHARE, 0.5)
        clients = [RespConnection(socket.create_connection(harness.address, 5)) for _ in range(20)]
        for client in clients:
            client.sock.sendall(encode_command(["PING"]))
        harness.program.send_signal(signal.SIGCONT)
        answers = []
        for client in clients:
            try:
                answers.append(client.read_message())
            except OSError as err:
                answers.append(type(err).__name__)
            client.close()
        assert answers == ["+PONG"] * 20
        assert harness.program.wait(20) == 0


def test_accept_without_free_descriptors_does_not_spin(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.ACCEPT_SHARE, 1.0)
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        before = harness.counters()["cpu_ms"]
        time.sleep(1.0)
        spent_ms = harness.counters()["cpu_ms"] - before
        harness.shim.set(Knob.ACCEPT_SHARE, 0.0)
        assert client.read_message() == "+PONG"
        client.close()
        assert spent_ms < 300


def test_a_start_retries_when_sockets_are_temporarily_unavailable(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.SOCKET_SHARE, 0.7)
        for _ in range(4):
            harness.launch()
            harness.wait_for_log("ready *")
            harness.program.kill()
            harness.program.wait()


def test_the_time_in_the_accept_queue_is_subtracted_from_the_timeout_of_a_request(tmp_path):
    """The platform keeps the listening socket: connections made while no process runs wait in its queue."""
    waited_ms, wait_ms, slack_ms = 1200, 3000, 150
    with (
        socket.create_server((LOOPBACK_ADDRESS, 0)) as listening,
        machine(tmp_path / "m", listening=listening) as harness,
    ):
        harness.program.kill()
        harness.program.wait()
        client = RespConnection(socket.create_connection(listening.getsockname(), 5))
        client.sock.sendall(encode_command(call_command("look", 1, f"d={wait_ms}")))
        came = time.monotonic()
        time.sleep(waited_ms / 1000)
        harness.refuse("b")
        harness.launch()
        server = RespConnection(harness.listeners["a"].accept()[0])
        sent_timeout_ms = int(re.search(rb"(?:^|,)d=(\d+)", server.read_message()[3]).group(1))
        remaining_ms = wait_ms - (time.monotonic() - came) * 1000
        assert sent_timeout_ms <= remaining_ms + slack_ms
        server.close()
        client.close()


def test_a_queued_request_of_unknown_age_is_rejected(tmp_path):
    """Two requests on one connection, 1.2 s apart: the kernel reports only when the last bytes arrived."""
    with (
        socket.create_server((LOOPBACK_ADDRESS, 0)) as listening,
        machine(tmp_path / "m", listening=listening) as harness,
    ):
        harness.program.kill()
        harness.program.wait()
        client = RespConnection(socket.create_connection(listening.getsockname(), 5))
        client.sock.sendall(encode_command(call_command("look", 1, "d=3000")))
        time.sleep(1.2)
        client.sock.sendall(encode_command(call_command("look", 2, "d=3000")))
        came = time.monotonic()
        harness.refuse("b")
        harness.launch()
        server = RespConnection(harness.listeners["a"].accept()[0])
        words = server.read_message()
        sent_timeout_ms = int(re.search(rb"(?:^|,)d=(\d+)", words[3]).group(1))
        assert int(words[2], 16) == 2 and sent_timeout_ms <= 3000 - (time.monotonic() - came) * 1000 + 150
        server.sock.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
        assert client.read_message().startswith("-BUSY")
        assert client.read_message() == b"ok"
        server.close()
        client.close()


def test_a_client_that_stops_in_the_middle_of_a_request_gets_an_error_within_3_s(tmp_path):
    with machine(tmp_path / "m") as harness:
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        assert client.read_message() == "+PONG"
        began = time.monotonic()
        client.sock.sendall(encode_command(call_command("look", 1))[:20])
        assert client.read_message().startswith("-ERR ")
        assert time.monotonic() - began < 3.0
        client.close()


def test_a_client_that_writes_slowly_but_steadily_is_served(tmp_path):
    """A byte every 50 ms, for more than 3 s."""
    with machine(tmp_path / "m") as harness:
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        assert client.read_message() == "+PONG"
        data = encode_command(call_command("look", 1))
        began = time.monotonic()
        for k in range(len(data)):
            client.sock.sendall(data[k : k + 1])
            time.sleep(0.05 if k < 64 else 0)
        assert time.monotonic() - began > 3.0
        harness.refuse("b")
        server = RespConnection(harness.listeners["a"].accept()[0])
        server.read_message()
        server.sock.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
        assert client.read_message() == b"ok"
        server.close()
        client.close()


# ---- slow start


def count_calls_by_server(harness, calls: int) -> dict[str, int]:
    """Send calls and answer each; return how many reached each server."""
    selector, came, servers = selectors.DefaultSelector(), {"a": 0, "b": 0}, {}
    for name in came:
        harness.listeners[name].setblocking(False)
        selector.register(harness.listeners[name], selectors.EVENT_READ, name)
    client = RespConnection(socket.create_connection(harness.address, 5))
    selector.register(client.sock, selectors.EVENT_READ, "client")
    for number in range(calls):
        client.sock.sendall(encode_command(call_command("look", 1000 + number)))
        answered = False
        while not answered:
            ready = selector.select(10)
            assert ready
            for key, _ in ready:
                if key.data == "client":
                    client.read_message()
                    answered = True
                elif key.data in came:
                    sock = key.fileobj.accept()[0]
                    servers[sock] = key.data
                    selector.register(sock, selectors.EVENT_READ, "server")
                elif key.fileobj.recv(4096):
                    came[servers[key.fileobj]] += 1
                    key.fileobj.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
                else:
                    selector.unregister(key.fileobj)
    selector.close()
    for sock in servers:
        sock.close()
    client.close()
    return came


COLD = {"obligations": {"start_capacity": 0.05, "warm_up_ns": 60 * SECOND, "fall_ns": 3 * SECOND}}


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_a_server_that_starts_while_the_wall_clock_is_wrong_gets_a_slow_start(tmp_path, step_s):
    """The clock is off when the process starts; discovery then tells that one of two servers has started."""
    with machine(tmp_path / "m", settings=COLD, limits=LONG_WATCH_TIMEOUTS) as harness:
        harness.expect("d1", "request")
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.WALL_OFFSET_S, step_s)
        harness.launch()
        harness.expect("d2", "request")
        harness.send("d2", "full", "a=Ready", "b=Ready")
        harness.wait_for_log("ready *")
        harness.send("d2", "change", f"a=Ready@{int(time.time() * 1000)}")
        harness.wait("gw", "tables=3")
        came = count_calls_by_server(harness, 100)
        assert came["b"] and came["a"] < 30  # half of them without the slow start


def test_old_servers_are_soon_warm_although_the_wall_clock_is_an_hour_behind(tmp_path):
    """By this clock they start in the future: their slow start begins now and doesn't last an hour."""
    settings = {"obligations": COLD["obligations"] | {"warm_up_ns": SECOND // 2}}
    with machine(tmp_path / "m", settings=settings, limits=LONG_WATCH_TIMEOUTS) as harness:
        harness.expect("d1", "request")
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.WALL_OFFSET_S, -3600)
        harness.launch()
        harness.expect("d2", "request")
        long_ago_ms = int((time.time() - 600) * 1000)
        harness.send("d2", "full", f"a=Ready@{long_ago_ms}", f"b=Ready@{long_ago_ms + 30_000}")
        harness.wait_for_log("ready *")
        time.sleep(0.7)  # longer than a warm-up
        harness.counters()
        state = json.loads(harness.wait_for_log("state *").split(" ", 1)[1])
        assert state["good"] == 2.0  # in warm ones


# ---- temporary faults of this machine


def test_a_lack_of_local_sockets_is_not_counted_against_a_server(tmp_path):
    """Servers that got no request are not suspected."""
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.SOCKET_SHARE, 1.0)
        client = RespConnection(socket.create_connection(harness.address, 5))
        for number in range(6):
            client.sock.sendall(encode_command(call_command("look", number)))
            assert client.read_message().startswith("-BUSY")
        counted = harness.counters()
        state = json.loads(harness.wait_for_log("state *").split(" ", 1)[1])
        client.close()
        assert counted["connect_failed"] == 0 < counted["not_sent"]
        assert state["doubted"] == 0


def test_sigterm_during_a_start_ends_it_at_once(tmp_path):
    """SIGTERM comes while the start waits for the state of an older process; no client is accepted."""
    with machine(tmp_path / "m", limits={"inherit_wait_ns": 3 * SECOND}) as harness:
        harness.program.kill()
        harness.program.wait()
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(harness.config_path), "TMPDIR": str(harness.tmpdir())}
        program = subprocess.Popen(harness.command(), env=env, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        try:
            while " handover: " not in program.stderr.readline():
                pass
            time.sleep(0.1)
            program.send_signal(signal.SIGTERM)
            began = time.monotonic()
            assert program.wait(20) == 0
            assert time.monotonic() - began < 1.0
            assert "start listening" not in program.stderr.read()
        finally:
            program.kill()
            program.wait()


class MachineWithFileInTmpdir(Machine):
    """Its configuration is in the folder in which the shim makes reads fail."""

    def tmpdir(self):
        return self.config_path.parent


def test_a_reload_is_retried_while_its_file_can_not_be_read(tmp_path):
    """The signal is not repeated, so without a retry the new address of discovery would be missed."""
    harness = MachineWithFileInTmpdir(tmp_path, known_servers="ab")
    try:
        harness.wait_for_log("ready *")
        harness.shim.set(Knob.READ_SHARE, 1.0)
        harness.send("gw", "reload", "e")
        time.sleep(0.4)
        harness.shim.set(Knob.READ_SHARE, 0.0)
        harness.wait_for_log("reload discovery at *")
        harness.expect("e1", "request")
    finally:
        harness.tear_down()
